package cli

import (
	"errors"
	"os"
	"reflect"
	"runtime/debug"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/daemon/settings"
	"woodworks/internal/daemon/signals"
	"woodworks/internal/requests/holding"
)

// A reload read the settings in the loop that takes the signals: one that was held up by
// its file hid a SIGTERM, so that the supervisor killed the daemon at the end of the grace.
func TestAStopWaitsForNoSettings(t *testing.T) {
	is := is.New(t)
	d := start(t)
	d.give(d.reading(), withPorts(t, settingsText))
	d.until("event=started")
	d.signal(syscall.SIGHUP)
	file := d.reading() // and nothing is ever written
	d.signal(syscall.SIGTERM)
	is.NoErr(d.end())
	is.True(strings.Contains(d.written.String(), "event=stopped"))
	is.NoErr(file.Close())
}

// Nothing of a changed file came into force without a restart, and the log did not say
// what had changed.
func TestAReloadSaysWhatComesIntoForce(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t)
	text := withPorts(t, settingsText)
	write := func(text string) { is.NoErr(os.WriteFile(d.settings, []byte(text), 0o600)) }
	write(text)
	d.command.Stdout, d.command.Stderr = d.written, d.written
	d.start()
	d.until("event=started")
	write(strings.Replace(text, "zone: z", "zone: y", 1) + "log: {level: debug}\n")
	d.signal(syscall.SIGHUP)
	d.until("in_force=log.level needs_restart=zone")
	write(strings.Replace(text, "8s", "soon", 1))
	d.signal(syscall.SIGHUP)
	d.until("soon")
	is.True(strings.Contains(d.written.String(), `event="reload refused"`))
	write(text + "limits: {memory_mb: 300}\n")
	d.signal(syscall.SIGTERM) // the file may change without a signal
	d.until(`in_force="limits.memory_mb log.level"`)
	is.NoErr(d.end())
}

// The headroom of the collector comes into force with a reload, and a file that names none,
// as it may be half written, leaves it.
func TestAReloadChangesTheMemoryHeadroom(t *testing.T) {
	is := is.New(t)
	before := debug.SetGCPercent(100)
	defer debug.SetGCPercent(before)
	l := &live{inForce: settings.Defaults(), logger: zap.NewNop()}
	again := settings.Defaults()
	again.Limits.MemoryHeadroom = 37
	l.take(reading{settings: again})
	is.Equal(debug.SetGCPercent(37), 37)
	l.take(reading{settings: settings.Defaults()})
	is.Equal(debug.SetGCPercent(100), 37)
}

// What may be held on behalf of clients follows the memory, unless it is named.
func TestAReloadChangesWhatMayBeHeld(t *testing.T) {
	is := is.New(t)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	var held holding.Limits
	l := &live{inForce: settings.Defaults(), setHeld: func(limits holding.Limits) { held = limits }, logger: zap.NewNop()}
	again := settings.Defaults()
	again.Limits.MemoryMB = 100
	l.take(reading{settings: again})
	is.Equal(held.Total, int64(35<<20))
	is.True(held.PerAccount < held.Total)
	again.Limits.HeldMB, again.Limits.HeldPerClientMB = 20, 3
	l.take(reading{settings: again})
	is.Equal(held.Total, int64(20<<20))
	is.Equal(held.PerAccount, int64(3<<20))
}

// Signals that storm in during a stop are one line at most each and delay nothing.
func TestAStormOfReloadsDelaysNoStop(t *testing.T) {
	is := is.New(t)
	d := start(t)
	d.give(d.reading(), withPorts(t, settingsText))
	d.until("event=started")
	d.signal(syscall.SIGTERM)
	for range 1000 {
		d.signal(syscall.SIGHUP)
	}
	is.NoErr(d.end())
	is.True(strings.Contains(d.written.String(), "event=stopped"))
}

// graced is a daemon that notes the grace with which it is stopped.
type graced struct{ grace, stopped time.Duration }

func (g *graced) setStopGrace(grace time.Duration) { g.grace = grace }

func (g *graced) Stop() { g.stopped = g.grace }

// stopWith stops a daemon that goes by a grace of 8 s by a SIGTERM and returns the grace
// with which it was stopped.
func stopWith(t *testing.T, load func() (settings.Settings, error)) (stopped time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		running := &graced{}
		inForce := settings.Defaults()
		inForce.Timing.StopGrace = settings.Duration(8 * time.Second)
		stops := make(chan os.Signal, 1)
		stops <- syscall.SIGTERM
		l := &live{inForce: inForce, setStopGrace: running.setStopGrace, logger: zap.NewNop()}
		is.New(t).NoErr(untilStopped(running, &signals.Taken{Stops: stops}, newReloader(load), l))
		stopped = running.stopped
		time.Sleep(time.Minute) // for a reading that still goes on
	})
	return stopped
}

// A stop went by the grace that was read at the start, also where the file had named
// another since; with a shorter one the supervisor killed the daemon first.
func TestAStopGoesByTheGraceOfTheFile(t *testing.T) {
	is := is.New(t)
	is.Equal(stopWith(t, func() (settings.Settings, error) {
		again := settings.Defaults()
		again.Timing.StopGrace = settings.Duration(5 * time.Second)
		return again, nil
	}), 5*time.Second)
}

// A file with a fault changes nothing, nor does one that lacks the grace, as it may be
// half written.
func TestAStopKeepsTheGraceWithoutASoundFile(t *testing.T) {
	is := is.New(t)
	is.Equal(stopWith(t, func() (settings.Settings, error) { return settings.Settings{}, errors.New("a fault") }), 8*time.Second)
	is.Equal(stopWith(t, func() (settings.Settings, error) { return settings.Defaults(), nil }), 8*time.Second)
}

// A file that is held up costs the stop a bounded part of its grace.
func TestAStopCountsTheTimeForTheFile(t *testing.T) {
	is := is.New(t)
	is.Equal(stopWith(t, func() (settings.Settings, error) {
		time.Sleep(time.Second)
		return settings.Defaults(), nil
	}), 8*time.Second-settingsTime)
}

func TestChangedSettingsAreNamedAsInTheFile(t *testing.T) {
	is := is.New(t)
	before, after := settings.Defaults(), settings.Defaults()
	after.Zone = "y"
	after.Platform.Store.Partitions = 9
	after.Operators = []settings.OperatorKey{{Name: "o"}}
	is.Equal(changedKeys("", reflect.ValueOf(before), reflect.ValueOf(after)), []string{"zone", "platform.store.partitions", "operators"})
	is.Equal(len(changedKeys("", reflect.ValueOf(before), reflect.ValueOf(before))), 0)
}
