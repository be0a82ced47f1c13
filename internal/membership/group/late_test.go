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

// lookupTimeout is within which time a question must have learned whom to ask: its caller
// leaves after 1.5 s.
const lookupTimeout = 1500 * time.Millisecond

// slowJournal is a journal that answers each call of a group after a time.
type slowJournal struct {
	*journaltest.Journal
	delay time.Duration
}

// wait lets the time wait that an answer takes, or reports false if the caller leaves.
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

// Where the journal takes 0.25 s an answer, no daemon learned who watches any partition: the list
// of owners was given up after 0.15 s, its answer thrown away, and asked for anew at the next
// question. So each daemon read partitions from their beginning for its questions, and the journal
// answered later still. In 1.5 s, which is all that a question has, ten reads of the list ended at
// their time-out and no owner was known; with 0.1 s an answer it was known after 101 ms.
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
				t.Logf("known %v after %v, asked for %d times", ok, time.Since(began), tries)
				is.True(ok)
			})
		})
	}
}
