package logging

import (
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// lines collects what is written.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(content []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(content)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func newTestLogger(target io.Writer, now func() time.Time) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.MessageKey = "event"
	core := newBoundedCore(zaplogfmt.NewEncoder(encoding), zapcore.AddSync(target), zapcore.InfoLevel)
	core.now = now
	return zap.New(core)
}

func TestAFloodIsBoundedByKindAndTold(t *testing.T) {
	is := is.New(t)
	written := &lines{}
	now := time.Unix(1000, 0)
	logger := newTestLogger(written, func() time.Time { return now })
	for i := 0; i < 10*linesPerSecond; i++ {
		logger.Info("request", zap.String("outcome", "refused"), zap.Int("n", i))
	}
	logger.Info("request", zap.String("outcome", "failed"))
	is.Equal(strings.Count(written.String(), "outcome=refused"), linesPerSecond)
	is.Equal(strings.Count(written.String(), "outcome=failed"), 1)
	now = now.Add(time.Second)
	logger.Info("request", zap.String("outcome", "refused"))
	is.True(strings.Contains(written.String(), `event="log lines left out" of=request reason="refused " lines=1800`))
}

func TestAnErrorIsOneLine(t *testing.T) {
	is := is.New(t)
	written := &lines{}
	logger := newTestLogger(written, time.Now)
	logger.With(zap.Error(errors.New("outer"))).Info("happened", zap.NamedError("cause", errors.Wrap(errors.New("inner"), "around")), zap.Error(nil))
	is.Equal(strings.Count(written.String(), "\n"), 1)
	is.True(strings.Contains(written.String(), `error=outer`))
	is.True(strings.Contains(written.String(), `cause="around: inner"`))
}

// A reader that never reads stops nothing: what does not fit is dropped, and
// counted in a line once there is room.
func TestAStuckReaderBlocksNobody(t *testing.T) {
	is := is.New(t)
	reader, stuck := io.Pipe()
	w := NewAsyncWriter(stuck)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	total := 3 * queuedBytes / len(line)
	for range total {
		count, err := w.Write(line)
		is.NoErr(err)
		is.Equal(count, len(line))
	}
	read := &lines{}
	go func() { _, _ = io.Copy(read, reader) }()
	for !strings.Contains(read.String(), "log lines dropped") {
		_, _ = w.Write([]byte("after\n"))
		total++
		time.Sleep(time.Millisecond)
	}
	// Two queues at most were on their way, so that a third of the lines must be
	// missing, and each that is missing is told of.
	for {
		whole, told := linesAndDrops(read.String())
		if whole+told < total {
			time.Sleep(time.Millisecond)
			continue
		}
		is.Equal(whole+told, total)
		is.True(told >= total/4)
		return
	}
}

// linesAndDrops counts the whole lines of an output and those told as dropped.
func linesAndDrops(output string) (whole, told int) {
	for _, line := range strings.SplitAfter(output, "\n") {
		_, count, found := strings.Cut(line, "lines dropped\" lines=")
		switch lost, err := strconv.Atoi(strings.TrimSpace(count)); {
		case found && err == nil:
			told += lost
		case strings.HasSuffix(line, "\n"):
			whole++
		}
	}
	return whole, told
}

// A value that the encoder knows no way to write must not end the process.
func TestAnyValueIsOneLine(t *testing.T) {
	is := is.New(t)
	written := &lines{}
	logger := newTestLogger(written, time.Now)
	type part struct{ Name string }
	logger.With(zap.Any("held", []part{{"x"}})).Info("happened", zap.Any("parts", []part{{"a"}, {"b"}}), zap.Any("nothing", nil))
	is.Equal(strings.Count(written.String(), "\n"), 1)
	is.True(strings.Contains(written.String(), `parts="[{a} {b}]"`))
}

// failing is a target whose first writes fail, as a disk that is full for a while.
type failing struct {
	lines
	failures int
}

func (f *failing) Write(p []byte) (int, error) {
	if f.failures > 0 {
		f.failures--
		return 0, errors.New("no space")
	}
	return f.lines.Write(p)
}

// Lines that the output refused were lost without a word. They are told as dropped like
// those for which the queue had no room.
func TestLinesThatTheOutputRefusedAreTold(t *testing.T) {
	is := is.New(t)
	target := &failing{failures: 1}
	w := NewAsyncWriter(target)
	_, _ = w.Write([]byte("one\ntwo\n"))
	is.NoErr(w.Sync())
	for !strings.Contains(target.String(), "three") {
		_, _ = w.Write([]byte("three\n"))
		time.Sleep(time.Millisecond)
	}
	is.True(strings.HasPrefix(target.String(), `level=warn event="log lines dropped" lines=`))
	whole, told := linesAndDrops(target.String())
	is.True(whole >= 1)
	is.True(told >= 2)
}

// tearing is a target that first takes the beginning of a line, then nothing, then all.
type tearing struct {
	lines
	calls int
}

func (t *tearing) Write(p []byte) (int, error) {
	t.calls++
	switch t.calls {
	case 1:
		n, _ := t.lines.Write(p[:2])
		return n, errors.New("no space")
	case 2:
		return 0, errors.New("no space")
	default:
		return t.lines.Write(p)
	}
}

// After a line of which the output took a part the next one begins on its own.
func TestATornLineIsEndedAndCountedOnce(t *testing.T) {
	is := is.New(t)
	target := &tearing{}
	w := NewAsyncWriter(target)
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		_, _ = w.Write([]byte(line))
		for w.waitsOrWrites() {
			time.Sleep(time.Millisecond)
		}
	}
	is.Equal(target.String(), "on\n"+droppedPrefix+"2\nthree\n")
}

func (w *AsyncWriter) waitsOrWrites() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.waiting.Len() > 0 || w.busy
}
