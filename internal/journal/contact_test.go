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

// The last contact was kept as a time of day. A clock set ahead by 2 s made a daemon that
// heard the journal all along call itself not ready, until the next answer; one set back
// by a minute during an outage made a configuration look confirmed a minute longer, and
// callers were denied what a newer one allowed. Then it was kept by the steady clock, which
// stands still while a machine is suspended: one that slept for a minute took what it
// had heard before for fresh. It goes by a clock of its own that no time of day moves.
func TestASuspendedMachineHasHeardNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := clocktest.New()
		follower := journal.NewKeyedFollower(journaltest.New(), followed, &values{}, 3*time.Second, zap.NewNop())
		follower.SetClock(clock.Now)
		is.True(follower.Silence() > 24*time.Hour) // there was none
		go follower.Run(ctx)
		synctest.Wait()
		is.True(follower.Synced())
		is.Equal(follower.Silence(), time.Duration(0))
		clock.Suspend(time.Minute)
		is.Equal(follower.Silence(), time.Minute)
		time.Sleep(time.Second) // in which the journal answers
		is.True(follower.Silence() < time.Second)
		cancel()
		synctest.Wait()
	})
}

// The clock of a daemon is none that the time of day moves.
func TestTheLastContactIsNotOfTheTimeOfDay(t *testing.T) {
	is := is.New(t)
	contact := journal.NewLastContact(bootclock.Now)
	contact.Record()
	is.True(contact.Silence() < time.Minute)
	is.True(time.Until(bootclock.Now()).Abs() > 24*time.Hour) // by so much would it be off
}
