package node

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"woodworks/internal/daemon/settings"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/requests/upstream"
)

// A settings file with a removed setting is accepted, and the daemon logs a warning.
func TestSettingWithoutEffectIsLogged(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	loaded := settings.Defaults()
	loaded.Handoff.Enabled = true
	n, err := New(loaded, func(settings.Settings, *upstream.Pool) (Drivers, error) {
		return Drivers{Journal: journaltest.New()}, nil
	}, zap.New(core))
	is.NoErr(err)
	n.cancel()
	is.Equal(logs.FilterMessage("setting has no effect").FilterField(zap.String("setting", "handoff.enabled")).Len(), 1)
}
