package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// newPeersOf returns the peers "b" and "c" of a daemon, which are reached by dial.
func newPeersOf(dial dialFunc) *peers {
	p := newPeers(Options{Name: "a"}, zap.NewNop())
	p.byName["b"], p.byName["c"] = &peer{Address: "b"}, &peer{Address: "c"}
	p.dial = dial
	return p
}

// A suspension must not be ended early by a shorter one, and calls to the journal that a peer could
// not make must not keep other calls from it.
func TestSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPeersOf(nil)
		p.suspend("b", unreachableRetryDelay, reasonNotReached, nil)
		p.suspend("b", noAnswerRetryDelay, reasonNoAnswer, nil)
		p.suspend("b", pathLostRetryDelay, reasonPathLost, nil)
		p.suspend("c", noAnswerRetryDelay, reasonRelayNoAnswer, nil)
		is.Equal(p.candidates(time.Now()), []string(nil))
		is.True(p.getAvailable("b") == nil)
		is.True(p.getAvailable("c") != nil)
		time.Sleep(noAnswerRetryDelay)
		is.Equal(p.candidates(time.Now()), []string{"c"})
		is.True(p.getAvailable("b") == nil)
		time.Sleep(unreachableRetryDelay - noAnswerRetryDelay)
		is.Equal(len(p.candidates(time.Now())), 2)
	})
}
