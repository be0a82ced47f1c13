package logging

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// queuedBytes bounds what waits to be written.
	queuedBytes = 1 << 20
	// flushTime is how long a stop waits for what is queued.
	flushTime = 300 * time.Millisecond
	// droppedPrefix begins the line that says how many lines were dropped.
	droppedPrefix = "level=warn event=\"log lines dropped\" lines="
)

// AsyncWriter writes in the background and never blocks its callers: what does
// not fit the queue, or is refused by the target, is dropped and counted. A line says
// how much was dropped once there is room again.
type AsyncWriter struct {
	target io.Writer

	mu      sync.Mutex
	waiting bytes.Buffer
	dropped int
	wake    chan struct{}
	busy    bool
	// torn is true while the target has the beginning of a line without its end.
	torn bool
}

// NewAsyncWriter returns a writer and starts its background work, which lasts
// as long as the process.
func NewAsyncWriter(target io.Writer) *AsyncWriter {
	w := &AsyncWriter{target: target, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write implements io.Writer.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting.Len()+len(line) > queuedBytes {
		w.dropped++
		return len(line), nil
	}
	if w.torn {
		w.torn = false
		w.waiting.WriteByte('\n')
	}
	if w.dropped > 0 {
		w.waiting.WriteString(droppedPrefix + strconv.Itoa(w.dropped) + "\n")
		w.dropped = 0
	}
	w.waiting.Write(line)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *AsyncWriter) run() {
	for range w.wake {
		for {
			batch := w.take()
			if len(batch) == 0 {
				break
			}
			if n, err := w.target.Write(batch); err != nil {
				w.refused(batch, n)
			}
		}
	}
}

// refused counts the lines of a batch that the target did not take whole, and those
// that the batch told of as dropped.
func (w *AsyncWriter) refused(batch []byte, written int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if written > 0 {
		w.torn = batch[written-1] != '\n'
	} else {
		w.torn = w.torn || batch[0] == '\n'
	}
	begin := bytes.LastIndexByte(batch[:written], '\n') + 1
	for line := range bytes.Lines(batch[begin:]) {
		w.dropped += linesOf(line)
	}
}

// linesOf is for how many lines of the log a line of a batch stands.
func linesOf(line []byte) int {
	if len(line) == 1 {
		return 0 // the end of a torn line
	}
	if rest, found := bytes.CutPrefix(line, []byte(droppedPrefix)); found {
		if n, err := strconv.Atoi(string(bytes.TrimSpace(rest))); err == nil {
			return n
		}
	}
	return 1
}

func (w *AsyncWriter) take() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := bytes.Clone(w.waiting.Bytes())
	w.waiting.Reset()
	w.busy = len(batch) > 0
	return batch
}

// Sync implements zapcore.WriteSyncer. It waits a short while for what is
// queued.
func (w *AsyncWriter) Sync() error {
	for end := time.Now().Add(flushTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		w.mu.Lock()
		done := w.waiting.Len() == 0 && !w.busy
		w.mu.Unlock()
		if done {
			break
		}
	}
	return nil
}

var _ zapcore.WriteSyncer = (*AsyncWriter)(nil)
