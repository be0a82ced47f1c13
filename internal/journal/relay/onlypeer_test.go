//go:build !race

// The race detector's runtime fails on this test, which has 56 daemons behind links in a synctest
// bubble.

package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/journal/journaltest"
)

// If the store refuses all daemons of all zones but one, that one must still relay at the rate of its
// link, and its answers must arrive before their callers have given up.
func TestTheOnlyPeerLeftRelaysAtTheRateOfItsLink(t *testing.T) {
	const (
		zone, partitionBytes = 28, 2 << 20
		bytesPerSecond       = 60e6 / 8
		// recoveryTimeout is twice the time that the link takes for all partitions.
		recoveryTimeout = 2 * zone * partitionBytes * time.Second / bytesPerSecond
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := journaltest.New()
		store.RecordBytes = 256 << 10
		fillPartitions(ctx, t, store, zone, partitionBytes)
		d := newLinkedDaemons(ctx, t, store, zone, zone-1, bytesPerSecond)
		for _, ownPath := range d.ownPaths[zone:] {
			ownPath.fault.Store(faultRefused)
		}
		folds := d.startFollowers(ctx, zone)
		go writeConfigurations(ctx, store)
		began, read := time.Now(), 0
		for read < zone && time.Since(began) < recoveryTimeout {
			time.Sleep(100 * time.Millisecond)
			read = 0
			for _, fold := range folds {
				if fold.IsFresh() {
					read++
				}
			}
		}
		only := d.relays[zone-1]
		t.Logf("%d of %d partitions read after %v, %d MB read, %d calls refused", read, zone, time.Since(began), store.Usage().ReadBytes>>20, only.RefusedRelays.Load())
		is.Equal(read, zone)
	})
}
