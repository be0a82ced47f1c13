package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Where the store is busy, each call to each peer ended in a line: 143 a second of one
// daemon, and more than half of all lines of a day.
func TestSuspensionsAreLoggedAsSummaries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		core, logged := observer.New(zapcore.InfoLevel)
		p := newPeers(Options{Name: "self"}, zap.New(core))
		for i := range 90 {
			p.byName[daemonName(i)] = &peer{}
		}
		const seconds, aSecond = 10, 140
		for i := range seconds * aSecond {
			p.suspend(daemonName(i%90), pathLostRetryDelay, "has lost the journal as well", nil)
			time.Sleep(time.Second / aSecond)
		}
		time.Sleep(time.Minute)
		lines := logged.FilterMessage("peer left alone").All()
		is.True(len(lines) <= seconds+2)
		is.Equal(lines[0].ContextMap()["peer"], daemonName(0))
		last := lines[len(lines)-1].ContextMap()
		is.Equal(last["times"], int64(seconds*aSecond))
		is.Equal(last["peers"], int64(90))
	})
}
