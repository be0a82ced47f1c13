package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/journal"
)

// A read that waits for records must not keep others from the peer, and a peer that relays as much as
// it may must be asked again soon.
func TestABusyPeerIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d := newDaemons(ctx, t, 2)
		d.ownPaths[0].fault.Store(faultRefused)
		waitForLoss(ctx, d.relays[0])
		is.NoErr(appendOne(ctx, d.relays[1], "x", time.Second))
		waiting := journal.Partition{Topic: "empty"}
		for range 2 * maxBulkRelays {
			go func() {
				_, _ = d.relays[0].Read(ctx, journal.Read{Partition: waiting, Wait: time.Second}) // held
			}()
		}
		time.Sleep(100 * time.Millisecond)
		read, err := d.relays[0].Read(ctx, journal.Read{Partition: records})
		is.NoErr(err)
		is.True(len(read.Records) > 0)
		for range maxBulkRelays { // as if answers were on their way
			d.relays[1].bulkRelays <- struct{}{}
		}
		time.AfterFunc(200*time.Millisecond, func() { <-d.relays[1].bulkRelays })
		is.NoErr(appendOne(ctx, d.relays[0], "small calls are made", 10*time.Millisecond))
		began := time.Now()
		_, err = d.relays[0].Read(ctx, journal.Read{Partition: records})
		is.NoErr(err)
		took := time.Since(began)
		is.True(took >= 200*time.Millisecond && took <= 200*time.Millisecond+2*busyRetryDelay)
	})
}

// A caller whose zone has lost the journal must ask a peer of another zone among the first.
func TestCandidatesIncludeAnotherZone(t *testing.T) {
	is := is.New(t)
	p := newPeersOf(nil)
	p.options.Zone = "z"
	for i := range 20 {
		p.byName[daemonName(i)] = &peer{Zone: "z"}
	}
	p.byName["b"].Zone, p.byName["c"].Zone = "y", "z"
	names := p.candidates(time.Now())
	is.Equal(len(names), maxPeersTried)
	is.Equal(names[maxPeersTried-1], "b")
}
