// Package logging writes one line of key=value pairs an event through zap, and sends go-zero's own
// log lines the same way.
//
// A line never blocks who writes it: lines wait in a bounded queue, lines of one event, reason
// and route are bounded a second, and so are all lines together. What is left out is counted in a
// line of its own. Conditions that are found again and again are summed by Episodes.
//
// # Usage
//
//	logger, err := logging.New("info", "edge-1")
//	defer logger.Sync()
//	logger.Info("batch owned", zap.String("batch", id))
package logging

import (
	"fmt"
	"os"
	"strings"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// level is the process's: a reload may change it.
var level = zap.NewAtomicLevel()

// SetLevel changes the level of the loggers that New has returned.
func SetLevel(text string) error {
	parsed, err := zapcore.ParseLevel(text)
	if err != nil {
		return errors.Wrap(err, "logging: level")
	}
	level.SetLevel(parsed)
	return nil
}

// New returns a logger that writes to standard output at the given level
// (debug, info, warn or error) and takes over go-zero's logs. Writing never
// blocks, and lines of one event and reason are bounded; what is left out is
// counted and told.
func New(levelText, node string) (*zap.Logger, error) {
	if err := SetLevel(levelText); err != nil {
		return nil, err
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "time"
	encoding.MessageKey = "event"
	encoding.EncodeTime = func(at time.Time, encoder zapcore.PrimitiveArrayEncoder) {
		encoder.AppendString(at.UTC().Format("2006-01-02T15:04:05.000Z"))
	}
	output := NewAsyncWriter(os.Stdout)
	core := newBoundedCore(zaplogfmt.NewEncoder(encoding), output, level)
	logger := zap.New(core, zap.ErrorOutput(output)).With(zap.String("node", node))
	takeOver(logger)
	return logger, nil
}

// takeOver sends go-zero's logs to the logger, and those of the standard library, which
// would write to standard error and wait for its reader.
func takeOver(logger *zap.Logger) {
	if _, err := zap.RedirectStdLogAt(logger, zap.WarnLevel); err != nil {
		logger.Warn("standard log not taken over", zap.Error(err))
	}
	logx.SetWriter(frameworkWriter{logger: logger.With(zap.String("source", "go-zero"))})
}

// frameworkWriter turns go-zero's log calls into zap events.
type frameworkWriter struct{ logger *zap.Logger }

func (w frameworkWriter) fields(fields []logx.LogField) []zap.Field {
	converted := make([]zap.Field, 0, len(fields))
	for _, field := range fields {
		converted = append(converted, zap.String(field.Key, fmt.Sprint(field.Value)))
	}
	return converted
}

// Alert implements logx.Writer.
func (w frameworkWriter) Alert(value any) { w.logger.Error(fmt.Sprint(value)) }

// Close implements logx.Writer.
func (w frameworkWriter) Close() error { return nil }

// Debug implements logx.Writer.
func (w frameworkWriter) Debug(value any, fields ...logx.LogField) {
	w.logger.Debug(fmt.Sprint(value), w.fields(fields)...)
}

// requestPrefix starts httpc's line on each outbound request.
const requestPrefix = "[HTTP]"

// Error implements logx.Writer. Lines on single outbound requests go out at
// debug level: the layers above log what a failure means.
func (w frameworkWriter) Error(value any, fields ...logx.LogField) {
	text := fmt.Sprint(value)
	if strings.HasPrefix(text, requestPrefix) {
		w.Debug(text, fields...)
		return
	}
	w.logger.Error(text, w.fields(fields)...)
}

// Info implements logx.Writer. What go-zero says at this level is detail here.
func (w frameworkWriter) Info(value any, fields ...logx.LogField) { w.Debug(value, fields...) }

// Severe implements logx.Writer.
func (w frameworkWriter) Severe(value any) { w.logger.Error(fmt.Sprint(value)) }

// Slow implements logx.Writer.
func (w frameworkWriter) Slow(value any, fields ...logx.LogField) {
	w.logger.Warn(fmt.Sprint(value), w.fields(fields)...)
}

// Stack implements logx.Writer.
func (w frameworkWriter) Stack(value any) { w.logger.Error(fmt.Sprint(value)) }

// Stat implements logx.Writer. go-zero's periodic statistics repeat what
// /metrics says, so they go out at debug level.
func (w frameworkWriter) Stat(value any, fields ...logx.LogField) { w.Debug(value, fields...) }
