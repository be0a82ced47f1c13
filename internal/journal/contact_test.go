package journal_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/bootclock/clocktest"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

// Guards against a silence that changes when the wall clock is set ahead or back, or that leaves
// out the time for which the machine was suspended.
func TestSilenceIncludesTimeSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := clocktest.New()
		follower := journal.NewKeyedFollower(journaltest.New(), followed, &values{}, 3*time.Second, zap.NewNop())
		follower.SetClock(clock.Now)
		is.True(follower.Silence() > 24*time.Hour) // no answer yet
		go follower.Run(ctx)
		synctest.Wait()
		is.True(follower.Synced())
		is.Equal(follower.Silence(), time.Duration(0))
		clock.Suspend(time.Minute)
		is.Equal(follower.Silence(), time.Minute)
		time.Sleep(time.Second) // the journal answers meanwhile
		is.True(follower.Silence() < time.Second)
		cancel()
		synctest.Wait()
	})
}

// Guards against a daemon clock that reads the wall clock.
func TestLastContactIgnoresTheWallClock(t *testing.T) {
	is := is.New(t)
	contact := journal.NewLastContact(bootclock.Now)
	contact.Record()
	is.True(contact.Silence() < time.Minute)
	is.True(time.Until(bootclock.Now()).Abs() > 24*time.Hour) // bootclock.Now is not the time of day
}
