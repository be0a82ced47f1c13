package group

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

// lookupTimeout bounds how long a question may take to find out the watcher.
const lookupTimeout = 1500 * time.Millisecond

// slowJournal is a journal that handles each call about a group only after a delay.
type slowJournal struct {
	*journaltest.Journal
	delay time.Duration
}

// wait waits for the delay. It returns false if the context ends first.
func (l slowJournal) wait(ctx context.Context) bool {
	select {
	case <-time.After(l.delay):
		return true
	case <-ctx.Done():
		return false
	}
}

func (l slowJournal) Join(ctx context.Context, request journal.Join) (journal.Assignment, error) {
	if !l.wait(ctx) {
		return journal.Assignment{}, journal.ErrUnknown
	}
	return l.Journal.Join(ctx, request)
}

func (l slowJournal) Owners(ctx context.Context, group string) ([]journal.Ownership, error) {
	if !l.wait(ctx) {
		return nil, journal.ErrUnknown
	}
	return l.Journal.Owners(ctx, group)
}

// A read of the list must continue after the caller's timeout. Otherwise no daemon would learn a
// watcher from a journal that takes longer to answer than a caller waits.
func TestWatcherIsKnownWithSlowJournal(t *testing.T) {
	for _, takes := range []time.Duration{4 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(takes.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				log := slowJournal{journaltest.New(), takes}
				start(ctx, log, "a/1")
				asking := New(log, "b/1", topics, zap.NewNop())
				time.Sleep(3 * takes)
				began, tries, ok := time.Now(), 0, false
				for !ok && time.Since(began) < lookupTimeout {
					tries++
					_, ok = asking.WatcherOf(ctx, journal.Partition{Topic: "t"})
					time.Sleep(time.Millisecond)
				}
				t.Logf("watcher known: %v, after %v and %d lookups", ok, time.Since(began), tries)
				is.True(ok)
			})
		})
	}
}
