package cli

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon"
	"woodworks/internal/logging"
	"woodworks/internal/settings"
)

// loadSettings reads the file over the defaults and the flags over the file.
func loadSettings(chosen *options) (settings.Settings, error) {
	loaded := settings.Defaults()
	if chosen.config != "" {
		var err error
		if loaded, err = settings.Load(chosen.config); err != nil {
			return settings.Settings{}, withCode(ExitUsage, err)
		}
	}
	override := func(value string, target *string) {
		if value != "" {
			*target = value
		}
	}
	override(chosen.name, &loaded.Name)
	override(chosen.zone, &loaded.Zone)
	override(chosen.region, &loaded.Region)
	override(chosen.listenPublic, &loaded.Listen.Public)
	override(chosen.listenIntern, &loaded.Listen.Internal)
	override(chosen.listenPeer, &loaded.Listen.Peer)
	override(chosen.logLevel, &loaded.Log.Level)
	if err := loaded.Check(); err != nil {
		return settings.Settings{}, withCode(ExitUsage, err)
	}
	return loaded, nil
}

func runServe(chosen *options) error {
	loaded, err := loadSettings(chosen)
	if err != nil {
		return err
	}
	if chosen.checkOnly {
		_, _ = fmt.Fprintln(chosen.stdout, "settings are valid")
		return nil
	}
	logger, err := logging.New(loaded.Log.Level, loaded.Name)
	if err != nil {
		return err
	}
	stops := make(chan os.Signal, 2)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	running, err := daemon.New(loaded, logger)
	if err != nil {
		return err
	}
	if err := running.Start(); err != nil {
		return err
	}
	received := <-stops
	logger.Info("signal", zap.String("signal", received.String()))
	done := make(chan error, 1)
	go func() { done <- running.Stop() }()
	select {
	case err := <-done:
		return err
	case <-stops:
		return errors.New("stopped at once by a second signal; requests in flight were cut off")
	}
}

func runVersion(chosen *options) error {
	_, err := fmt.Fprintln(chosen.stdout, "woodworks "+Version)
	return err
}
