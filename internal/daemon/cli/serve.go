package cli

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"syscall"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/logging"
	"woodworks/internal/daemon/node"
	"woodworks/internal/daemon/settings"
	"woodworks/internal/daemon/signals"
)

// loadSettings reads the file over the defaults and the flags over the file.
func loadSettings(o *options) (settings.Settings, error) {
	loaded := settings.Defaults()
	var fileFaults error
	if o.config != "" {
		loaded, fileFaults = settings.Load(o.config)
		if errors.Is(fileFaults, settings.ErrUnreadable) {
			return loaded, withCode(ExitUsage, fileFaults)
		}
	}
	loaded.Name = cmp.Or(o.over.Name, loaded.Name)
	loaded.Zone = cmp.Or(o.over.Zone, loaded.Zone)
	loaded.Region = cmp.Or(o.over.Region, loaded.Region)
	loaded.Listen.Public = cmp.Or(o.over.Listen.Public, loaded.Listen.Public)
	loaded.Listen.Internal = cmp.Or(o.over.Listen.Internal, loaded.Listen.Internal)
	loaded.Log.Level = cmp.Or(o.over.Log.Level, loaded.Log.Level)
	return loaded, withCode(ExitUsage, together(fileFaults, loaded.Check()))
}

// together is one error of what is wrong with a file's keys and with the values,
// so that nobody mends one fault to learn of the next.
func together(fileFaults, valueFaults error) error {
	switch {
	case fileFaults == nil:
		return valueFaults
	case valueFaults == nil:
		return fileFaults
	default:
		return errors.Errorf("%v; %v", fileFaults, valueFaults)
	}
}

func runServe(o *options) error {
	if o.checkOnly {
		return checkSettings(o)
	}
	o.signals.Daemon()
	loaded, stopped, err := firstSettings(o)
	if err != nil {
		return err
	}
	logger, err := logging.New(loaded.Log.Level, loaded.Name)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }() // there is nowhere left to tell of a failure
	if stopped != nil {
		logSignal(logger, stopped, notStarted)
		return nil
	}
	return serveDaemon(o, loaded, logger)
}

func checkSettings(o *options) error {
	o.signals.EndProcess()
	if _, err := loadSettings(o); err != nil {
		return err
	}
	fmt.Fprintln(o.stdout, "settings are valid")
	return nil
}

// firstSettings reads the settings. A signal that stops the daemon meanwhile is returned
// with the defaults, as the file may never be read.
func firstSettings(o *options) (settings.Settings, os.Signal, error) {
	type outcome struct {
		loaded settings.Settings
		err    error
	}
	read := make(chan outcome, 1)
	go func() {
		loaded, err := loadSettings(o)
		read <- outcome{loaded, err}
	}()
	select {
	case got := <-read:
		return got.loaded, nil, got.err
	case s := <-o.signals.Stops:
		return settings.Defaults(), s, nil
	}
}

// What is done about a signal, as the log says it.
const (
	notStarted   = "the daemon does not start"
	stopBegins   = "a planned stop begins"
	stopGoesOn   = "the stop under way goes on"
	settingsRead = "the settings are read again"
	nothingDone  = "nothing is done"
)

func logSignal(logger *zap.Logger, s os.Signal, done string) {
	logger.Info("signal", zap.String("signal", s.String()), zap.String("done", done))
}

// serveDaemon runs a daemon until it is told to stop.
func serveDaemon(o *options, loaded settings.Settings, logger *zap.Logger) error {
	connect := o.drivers[loaded.Platform.Driver]
	if connect == nil {
		return usagef("platform.driver: this build has no driver %q", loaded.Platform.Driver)
	}
	limitMemory(loaded.Limits)
	running, err := node.New(loaded, connect, logger)
	if err != nil {
		return err
	}
	taken := o.signals
	select {
	case s := <-taken.Stops:
		logSignal(logger, s, notStarted)
		return nil
	default:
	}
	if err := running.Start(); err != nil {
		return err
	}
	taken.TakeUser()
	l := &live{inForce: loaded, setStopGrace: running.SetStopGrace, setHeld: running.SetHoldingLimits, logger: logger}
	return untilStopped(running, taken, newReloader(func() (settings.Settings, error) { return loadSettings(o) }), l)
}

// untilStopped serves the signals of a running daemon until one has stopped it.
func untilStopped(running stopper, taken *signals.Taken, reloads *reloader, l *live) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go reloads.run(ctx)
	for {
		select {
		case s := <-taken.Stops:
			logSignal(l.logger, s, stopBegins)
			go tellOthers(ctx, taken.Reloads, taken.Others, l.logger)
			reloadForStop(reloads, l)
			return stop(running, l.logger, taken.Stops)
		case s := <-taken.Reloads:
			logSignal(l.logger, s, settingsRead)
			reloads.ask()
		case got := <-reloads.read:
			l.take(got)
		case s := <-taken.Others:
			logSignal(l.logger, s, nothingDone)
		}
	}
}

// stopper is a daemon that can be stopped by plan.
type stopper interface{ Stop() }

// stop ends a daemon by plan. An interrupt meanwhile, as from a terminal, ends it at
// once. A supervisor that repeats SIGTERM does not mean that: requests in flight, and
// items that run for seconds, still have the grace of the settings.
func stop(running stopper, logger *zap.Logger, stops <-chan os.Signal) error {
	done := make(chan struct{})
	go func() {
		running.Stop()
		close(done)
	}()
	for {
		select {
		case <-done:
			return nil
		case received := <-stops:
			if received == syscall.SIGINT {
				return errors.New("stopped at once by an interrupt; requests in flight were cut off")
			}
			logSignal(logger, received, stopGoesOn)
		}
	}
}

func runVersion(o *options) error {
	_, err := fmt.Fprintln(o.stdout, "woodworks "+Version)
	return err
}
