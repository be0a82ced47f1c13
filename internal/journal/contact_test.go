package journal_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

// The last contact was kept as a time of day. A clock set ahead by 2 s made a daemon that
// heard the journal all along call itself not ready, until the next answer; one set back
// by a minute during an outage made a configuration look confirmed a minute longer, and
// callers were denied what a newer one allowed. A time that keeps its reading of the
// steady clock differs from itself without it. Times of a bubble of synctest have none.
func TestTheLastContactIsOfTheSteadyClock(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	follower := journal.NewKeyedFollower(journaltest.New(), followed, &values{}, 3*time.Second, zap.NewNop())
	is.True(time.Since(follower.LastContact()) > 24*time.Hour) // there was none
	go follower.Run(ctx)
	for !follower.Synced() {
		time.Sleep(time.Millisecond)
	}
	last := follower.LastContact()
	is.True(last != last.Round(0)) // without a steady clock's reading
}
