package logging

import (
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// linesPerSecond is how many lines of one event and reason are written in
	// a second.
	linesPerSecond = 200
	// maxKinds bounds the kinds of lines told apart.
	maxKinds = 500
	// linesInAll and bytesInAll are how much is written in a second of all kinds together.
	// A daemon writes some lines for each of its requests and items, and has a few hundred
	// of those a second; one whose every call fails writes no more than this either.
	linesInAll = 1000
	bytesInAll = 256 << 10
	// warningShare is one in so many of both that only warnings and errors may use: what is
	// wrong is told beside any flood of what is usual.
	warningShare = 5
)

// reasonKeys are the fields that tell lines of one event apart.
var reasonKeys = map[string]bool{"reason": true, "outcome": true, "route": true}

// kind is an event with its reason.
type kind struct{ event, reason string }

// count is what a kind has had in the current second.
type count struct {
	written, leftOut int
}

// limiter bounds the lines of each kind, and of all. What was left out is told once the
// second is over.
type limiter struct {
	mu     sync.Mutex
	second int64
	counts map[kind]*count
	// lines and bytes are what was written in the second of all kinds.
	lines, bytes int
}

// meter counts for the limiter what is written.
type meter struct {
	zapcore.WriteSyncer
	limits *limiter
}

// Write implements zapcore.WriteSyncer.
func (m meter) Write(line []byte) (int, error) {
	m.limits.mu.Lock()
	m.limits.bytes += len(line)
	m.limits.mu.Unlock()
	return m.WriteSyncer.Write(line)
}

// boundedCore passes lines on within the limits and writes errors as one line.
type boundedCore struct {
	zapcore.Core
	limiter *limiter
	now     func() time.Time
}

// newBoundedCore returns a core that writes to the target within the l.
func newBoundedCore(encoder zapcore.Encoder, target zapcore.WriteSyncer, enabled zapcore.LevelEnabler) *boundedCore {
	limits := &limiter{counts: map[kind]*count{}}
	return &boundedCore{Core: zapcore.NewCore(encoder, meter{target, limits}, enabled), limiter: limits, now: time.Now}
}

// With implements zapcore.Core.
func (c *boundedCore) With(fields []zapcore.Field) zapcore.Core {
	return &boundedCore{Core: c.Core.With(plainFields(fields)), limiter: c.limiter, now: c.now}
}

// Check implements zapcore.Core.
func (c *boundedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c *boundedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	fields = plainFields(fields)
	write, leftOut := c.limiter.admit(kindOf(entry.Message, fields), entry.Level, c.now())
	for _, each := range leftOut {
		told := entry
		told.Message = "log lines left out"
		of := []zapcore.Field{zap.String("of", each.event), zap.String("reason", each.reason), zap.Int("lines", each.lines)}
		if err := c.Core.Write(told, of); err != nil {
			return err
		}
	}
	if !write {
		return nil
	}
	return c.Core.Write(entry, fields)
}

// omission is how many lines of a kind were left out in a second.
type omission struct {
	kind
	lines int
}

// admit reports whether a line may be written, and what was left out in a
// second that is over.
func (l *limiter) admit(of kind, level zapcore.Level, now time.Time) (bool, []omission) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var leftOut []omission
	if second := now.Unix(); second != l.second {
		for each, counted := range l.counts {
			if counted.leftOut > 0 {
				leftOut = append(leftOut, omission{each, counted.leftOut})
			}
		}
		l.second, l.bytes = second, 0
		l.lines = len(leftOut)
		clear(l.counts)
	}
	counted := l.counts[of]
	if counted == nil {
		if len(l.counts) >= maxKinds {
			of = kind{event: of.event}
		}
		if counted = l.counts[of]; counted == nil {
			counted = &count{}
			l.counts[of] = counted
		}
	}
	if counted.written >= linesPerSecond || !l.room(level) {
		counted.leftOut++
		return false, leftOut
	}
	counted.written++
	l.lines++
	return true, leftOut
}

// room reports whether the second has room for a line of a level. The mutex is held.
func (l *limiter) room(level zapcore.Level) bool {
	lines, bytes := linesInAll, bytesInAll
	if level < zapcore.WarnLevel {
		lines, bytes = lines-lines/warningShare, bytes-bytes/warningShare
	}
	return l.lines < lines && l.bytes < bytes
}

func kindOf(event string, fields []zapcore.Field) kind {
	reason := ""
	for _, field := range fields {
		if field.Type == zapcore.StringType && reasonKeys[field.Key] {
			reason += field.String + " "
		}
	}
	return kind{event, reason}
}

// plainFields turns fields that the encoder cannot write on one line into texts. It
// would add a stack trace of many lines to an error, and it panics on values of other
// kinds, such as slices of structs. Fields without an error are dropped.
func plainFields(fields []zapcore.Field) []zapcore.Field {
	plain := make([]zapcore.Field, 0, len(fields))
	for _, field := range fields {
		switch field.Type {
		case zapcore.ErrorType:
			if err, ok := field.Interface.(error); ok && err != nil {
				plain = append(plain, zap.String(field.Key, err.Error()))
			}
		case zapcore.ReflectType:
			plain = append(plain, zap.String(field.Key, fmt.Sprint(field.Interface)))
		default:
			plain = append(plain, field)
		}
	}
	return plain
}
