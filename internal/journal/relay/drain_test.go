package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A planned stop must not interrupt calls made for peers, as their appends would have an unknown
// outcome. New calls go to another peer.
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
		appended := make(chan error, 1)
		go func() { appended <- appendOne(ctx, asker, "under way", time.Second) }()
		time.Sleep(100 * time.Millisecond)
		drained := make(chan time.Time, 1)
		go func() {
			stopping.Drain(ctx)
			drained <- time.Now()
		}()
		synctest.Wait()
		began := time.Now()
		is.NoErr(appendOne(ctx, asker, "meanwhile", time.Second))
		is.True(time.Since(began) < 100*time.Millisecond) // relayed by the other peer
		is.NoErr(<-appended)
		took := (<-drained).Sub(began)
		is.True(took >= 200*time.Millisecond) // the remaining time of the append
		is.True(took <= time.Second)          // at most that of a read that is held open for the peer
		stored, err := storedTexts(ctx, d.relays[2])
		is.NoErr(err)
		is.Equal(stored, []string{"meanwhile", "under way"})
	})
}

// A call that does not end must not keep Drain from returning when its context ends.
func TestDrainEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d := newDaemons(ctx, t, 2)
		d.ownPaths[0].fault.Store(faultSilent)
		waitForLoss(ctx, d.relays[0])
		d.ownPaths[1].appendDelay.Store(int64(time.Minute))
		go func() { _ = appendOne(ctx, d.relays[0], "never", time.Second) }() // times out
		time.Sleep(100 * time.Millisecond)
		bounded, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		began := time.Now()
		d.relays[1].Drain(bounded)
		is.Equal(time.Since(began), 200*time.Millisecond)
	})
}
