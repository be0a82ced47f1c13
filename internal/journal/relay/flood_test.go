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

// A busy store makes calls to all peers end in suspensions. They must not cause a log line each.
func TestSuspensionsAreLoggedAsSummaries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		core, logged := observer.New(zapcore.InfoLevel)
		p := newPeers(Options{Name: "self"}, zap.New(core))
		for i := range 90 {
			p.byName[daemonName(i)] = &peer{}
		}
		const seconds, perSecond = 10, 140
		for i := range seconds * perSecond {
			p.suspend(daemonName(i%90), pathLostRetryDelay, "has lost the journal as well", nil)
			time.Sleep(time.Second / perSecond)
		}
		time.Sleep(time.Minute)
		lines := logged.FilterMessage("peer suspended").All()
		is.True(len(lines) <= seconds+2)
		is.Equal(lines[0].ContextMap()["peer"], daemonName(0))
		last := lines[len(lines)-1].ContextMap()
		is.Equal(last["times"], int64(seconds*perSecond))
		is.Equal(last["peers"], int64(90))
	})
}
