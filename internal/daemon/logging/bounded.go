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

	mutex   sync.Mutex
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
	writer := &AsyncWriter{target: target, wake: make(chan struct{}, 1)}
	go writer.run()
	return writer
}

// Write implements io.Writer.
func (writer *AsyncWriter) Write(line []byte) (int, error) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if writer.waiting.Len()+len(line) > queuedBytes {
		writer.dropped++
		return len(line), nil
	}
	if writer.torn {
		writer.torn = false
		writer.waiting.WriteByte('\n')
	}
	if writer.dropped > 0 {
		writer.waiting.WriteString(droppedPrefix + strconv.Itoa(writer.dropped) + "\n")
		writer.dropped = 0
	}
	writer.waiting.Write(line)
	select {
	case writer.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (writer *AsyncWriter) run() {
	for range writer.wake {
		for {
			batch := writer.take()
			if len(batch) == 0 {
				break
			}
			if n, err := writer.target.Write(batch); err != nil {
				writer.refused(batch, n)
			}
		}
	}
}

// refused counts the lines of a batch that the target did not take whole, and those
// that the batch told of as dropped.
func (writer *AsyncWriter) refused(batch []byte, written int) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if written > 0 {
		writer.torn = batch[written-1] != '\n'
	} else {
		writer.torn = writer.torn || batch[0] == '\n'
	}
	begin := bytes.LastIndexByte(batch[:written], '\n') + 1
	for line := range bytes.Lines(batch[begin:]) {
		writer.dropped += linesOf(line)
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

func (writer *AsyncWriter) take() []byte {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	batch := bytes.Clone(writer.waiting.Bytes())
	writer.waiting.Reset()
	writer.busy = len(batch) > 0
	return batch
}

// Sync implements zapcore.WriteSyncer. It waits a short while for what is
// queued.
func (writer *AsyncWriter) Sync() error {
	for end := time.Now().Add(flushTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		writer.mutex.Lock()
		done := writer.waiting.Len() == 0 && !writer.busy
		writer.mutex.Unlock()
		if done {
			break
		}
	}
	return nil
}

var _ zapcore.WriteSyncer = (*AsyncWriter)(nil)
