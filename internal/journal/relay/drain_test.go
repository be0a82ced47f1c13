package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A daemon that stopped as planned ended the calls that it was making for a peer: the
// peer's appends were of unknown outcome, and a keyed request that had claimed its key by
// one could not be sent. Those under way are finished, and new ones are sent elsewhere.
func TestDrainFinishesTheCallsOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d := newDaemons(ctx, t, 3)
		asker, stopping := d.relays[0], d.relays[1]
		d.ownPaths[0].fault.Store(faultSilent)
		waitForLoss(ctx, asker)
		d.ownPaths[1].appendDelay.Store(int64(300 * time.Millisecond))
		asker.peers.mu.Lock()
		asker.peers.preferred = "b"
		asker.peers.mu.Unlock()
		under := make(chan error, 1)
		go func() { under <- appendOne(ctx, asker, "under way", time.Second) }()
		time.Sleep(100 * time.Millisecond)
		drained := make(chan time.Time, 1)
		go func() {
			stopping.Drain(ctx)
			drained <- time.Now()
		}()
		synctest.Wait()
		began := time.Now()
		is.NoErr(appendOne(ctx, asker, "meanwhile", time.Second))
		is.True(time.Since(began) < 100*time.Millisecond) // through the other peer
		is.NoErr(<-under)
		took := (<-drained).Sub(began)
		is.True(took >= 200*time.Millisecond) // the append's rest
		is.True(took <= time.Second)          // that of a read which is held for the peer
		stored, err := storedTexts(ctx, d.relays[2])
		is.NoErr(err)
		is.Equal(stored, []string{"meanwhile", "under way"})
	})
}

// A drain ends with its context, whatever is under way.
func TestDrainEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d := newDaemons(ctx, t, 2)
		d.ownPaths[0].fault.Store(faultSilent)
		waitForLoss(ctx, d.relays[0])
		d.ownPaths[1].appendDelay.Store(int64(time.Minute))
		go func() { _ = appendOne(ctx, d.relays[0], "never", time.Second) }() // it is given up
		time.Sleep(100 * time.Millisecond)
		bounded, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		began := time.Now()
		d.relays[1].Drain(bounded)
		is.Equal(time.Since(began), 200*time.Millisecond)
	})
}
