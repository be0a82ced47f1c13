package cli

import (
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
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
