package relay

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// newPeersOf returns the peers "b" and "c" of a daemon, which are reached by dial.
func newPeersOf(dial dialFunc) *peers {
	p := newPeers(Options{Name: "a"}, zap.NewNop())
	p.byName["b"], p.byName["c"] = &peer{Address: "b"}, &peer{Address: "c"}
	p.dial = dial
	return p
}

// Guards against a lock that is held during a dial: every call to any peer would wait for it.
func TestADialDelaysNoLookup(t *testing.T) {
	is := is.New(t)
	dialled, release := make(chan struct{}), make(chan struct{})
	p := newPeersOf(func(context.Context, string) (net.Conn, error) {
		close(dialled)
		<-release
		return nil, errors.New("no such host")
	})
	failed := make(chan error, 1)
	go func() {
		failed <- p.ask(t.Context(), "b", "Echo.Say", "x", new(string), reasonNoAnswer)
	}()
	<-dialled
	looked := make(chan []string)
	go func() {
		available := p.getAvailable("b") != nil && p.hasAvailable()
		names := p.candidates(time.Now())
		if !available {
			names = nil
		}
		looked <- names
	}()
	select {
	case names := <-looked:
		is.Equal(len(names), 2)
	case <-time.After(10 * time.Second):
		t.Error("lookups wait for a dial")
	}
	close(release)
	is.True(errors.Is(<-failed, ErrNotReached))
}

// Calls to a peer that is being dialled share the dial, and one whose time is over leaves it to the
// others.
func TestConcurrentCallsShareADial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dials := 0
		p := newPeersOf(func(ctx context.Context, _ string) (net.Conn, error) {
			dials++
			time.Sleep(100 * time.Millisecond)
			return nil, errors.New("refused")
		})
		hasty, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		began, ended := time.Now(), make(chan error, 4)
		go func() { ended <- p.ask(hasty, "b", "Echo.Say", "x", new(string), reasonNoAnswer) }()
		for range 3 {
			go func() { ended <- p.ask(t.Context(), "b", "Echo.Say", "x", new(string), reasonNoAnswer) }()
		}
		is.True(errors.Is(<-ended, ErrNotReached))
		is.Equal(time.Since(began), 50*time.Millisecond)
		is.True(p.getAvailable("b") != nil) // the caller's time was over, which says nothing of the peer
		for range 3 {
			is.True(errors.Is(<-ended, ErrNotReached))
		}
		is.Equal(time.Since(began), 100*time.Millisecond)
		is.Equal(dials, 1)
		is.True(p.getAvailable("b") == nil)
	})
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
