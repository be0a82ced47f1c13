package cli

import (
	"context"
	"math"
	"os"
	"reflect"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/logging"
	"woodworks/internal/daemon/settings"
	"woodworks/internal/requests/holding"
)

const (
	// settingsTime is how long a planned stop waits for the settings file, of whose grace
	// it takes that much. Reading it takes about 1 ms; a file that is held up is left.
	settingsTime = 100 * time.Millisecond
	// memoryShare is the part of the memory bound that the heap may fill before
	// collecting gets eager.
	memoryShare = 0.7
)

// Settings that a running daemon can change.
const (
	keyStopGrace = "timing.stop_grace"
	keyMemory    = "limits.memory_mb"
	keyHeadroom  = "limits.memory_headroom"
	keyHeld      = "limits.held_mb"
	keyHeldEach  = "limits.held_per_client_mb"
	keyLogLevel  = "log.level"
)

// reading is one reading of the settings file.
type reading struct {
	settings settings.Settings
	err      error
	// asked is the number of the last request for a reading before this one began.
	asked int64
}

// reloader reads the settings in the background, one reading at a time, so that a file
// that is held up holds up nobody.
type reloader struct {
	load  func() (settings.Settings, error)
	asked atomic.Int64
	wake  chan struct{}
	read  chan reading
}

func newReloader(load func() (settings.Settings, error)) *reloader {
	return &reloader{load: load, wake: make(chan struct{}, 1), read: make(chan reading)}
}

// ask has the settings read again and returns the number of the request.
func (r *reloader) ask() int64 {
	asked := r.asked.Add(1)
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return asked
}

// run reads when asked until ctx ends.
func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		got := reading{asked: r.asked.Load()}
		got.settings, got.err = r.load()
		select {
		case r.read <- got:
		case <-ctx.Done():
			return
		}
	}
}

// live brings into force what can change while a daemon runs.
type live struct {
	// inForce is what the daemon goes by.
	inForce settings.Settings
	// setStopGrace sets the grace of the stop that follows.
	setStopGrace func(time.Duration)
	// setHeld sets what the daemon may hold on behalf of clients.
	setHeld func(holding.Limits)
	logger  *zap.Logger
}

// take brings a reading into force, as far as that can be, and logs it. Of a file with a
// fault nothing is.
func (l *live) take(got reading) {
	if got.err != nil {
		l.logger.Error("reload refused", zap.Error(got.err))
		return
	}
	var taken, kept []string
	for _, key := range changedKeys("", reflect.ValueOf(l.inForce), reflect.ValueOf(got.settings)) {
		if l.change(key, got.settings) {
			taken = append(taken, key)
		} else {
			kept = append(kept, key)
		}
	}
	l.logger.Info("reload", zap.String("in_force", strings.Join(taken, " ")),
		zap.String("needs_restart", strings.Join(kept, " ")))
}

// change brings one setting into force and reports whether it could. A file that is just
// being written may lack its end, so that for the bounds the default never replaces
// what a whole file has named: a longer grace would be cut by the supervisor.
func (l *live) change(key string, again settings.Settings) bool {
	defaults := settings.Defaults()
	switch {
	case key == keyStopGrace && again.Timing.StopGrace != defaults.Timing.StopGrace:
		l.inForce.Timing.StopGrace = again.Timing.StopGrace
		l.setStopGrace(again.Timing.StopGrace.Std())
	case key == keyMemory && again.Limits.MemoryMB != defaults.Limits.MemoryMB:
		l.inForce.Limits.MemoryMB = again.Limits.MemoryMB
		limitMemory(l.inForce.Limits)
		l.setHeld(l.inForce.Limits.Held())
	case key == keyHeld && again.Limits.HeldMB != defaults.Limits.HeldMB:
		l.inForce.Limits.HeldMB = again.Limits.HeldMB
		l.setHeld(l.inForce.Limits.Held())
	case key == keyHeldEach && again.Limits.HeldPerClientMB != defaults.Limits.HeldPerClientMB:
		l.inForce.Limits.HeldPerClientMB = again.Limits.HeldPerClientMB
		l.setHeld(l.inForce.Limits.Held())
	case key == keyHeadroom && again.Limits.MemoryHeadroom != defaults.Limits.MemoryHeadroom:
		l.inForce.Limits.MemoryHeadroom = again.Limits.MemoryHeadroom
		limitMemory(l.inForce.Limits)
	case key == keyLogLevel:
		if err := logging.SetLevel(again.Log.Level); err != nil {
			l.logger.Error("log level refused", zap.Error(err))
			return false
		}
		l.inForce.Log.Level = again.Log.Level
	default:
		return false
	}
	return true
}

// limitMemory has the heap collected as the headroom says, and in time for the bound, if
// there is one.
func limitMemory(limits settings.Limits) {
	limit := int64(math.MaxInt64)
	if limits.MemoryMB > 0 {
		limit = int64(memoryShare * float64(limits.MemoryMB) * (1 << 20))
	}
	debug.SetMemoryLimit(limit)
	debug.SetGCPercent(limits.MemoryHeadroom)
}

// changedKeys returns the settings in which two values differ, as they are named in
// the file.
func changedKeys(prefix string, before, after reflect.Value) []string {
	if before.Kind() != reflect.Struct {
		if reflect.DeepEqual(before.Interface(), after.Interface()) {
			return nil
		}
		return []string{prefix}
	}
	var keys []string
	for i := range before.NumField() {
		key := before.Type().Field(i).Tag.Get("yaml")
		if prefix != "" {
			key = prefix + "." + key
		}
		keys = append(keys, changedKeys(key, before.Field(i), after.Field(i))...)
	}
	return keys
}

// reloadForStop brings into force what the file says as a stop begins, since it may have
// changed without a signal. The grace of the stop is what this leaves of it.
func reloadForStop(reloads *reloader, l *live) {
	began := time.Now()
	defer func() { l.setStopGrace(l.inForce.Timing.StopGrace.Std() - time.Since(began)) }()
	asked := reloads.ask()
	late := time.NewTimer(settingsTime)
	defer late.Stop()
	for {
		select {
		case got := <-reloads.read:
			l.take(got)
			if got.asked >= asked {
				return
			}
		case <-late.C:
			l.logger.Warn("reload", zap.String("outcome", "the file is not read in time, the stop goes by what is in force"))
			return
		}
	}
}

// tellOthers logs the signals that change nothing about a stop under way.
func tellOthers(ctx context.Context, reloads, others <-chan os.Signal, logger *zap.Logger) {
	for {
		select {
		case s := <-reloads:
			logSignal(logger, s, stopGoesOn)
		case s := <-others:
			logSignal(logger, s, nothingDone)
		case <-ctx.Done():
			return
		}
	}
}
