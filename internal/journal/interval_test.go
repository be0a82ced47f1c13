package journal_test

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

// fleet is a set of daemons that follow one partition with a shared interval.
type fleet struct {
	log  *journaltest.Journal
	seen []*values
}

const (
	// fleetFraction is the fraction of the permitted reads that the followers may use.
	fleetFraction = 0.1
	fleetBound    = 5 * time.Second
	// changesPerSecond is the rate of writes of 92 replicas that each write every 1.2 s.
	changesPerSecond = 77
)

func startFleet(ctx context.Context, daemons int, granted float64) *fleet {
	f := &fleet{log: journaltest.New()}
	f.log.Rates.ReadsPerSecond = granted
	for range daemons {
		seen := &values{values: map[string]string{}}
		follower := journal.NewKeyedFollower(f.log, followed, seen, fleetBound, zap.NewNop())
		follower.SetInterval(journal.SharedInterval(f.log.RateLimits().ReadsPerSecond*fleetFraction, func() int { return daemons }))
		go follower.Run(ctx)
		f.seen = append(f.seen, seen)
	}
	return f
}

// change writes changesPerSecond values per second for the given duration, and returns the last
// value.
func (f *fleet) change(t *testing.T, duration time.Duration) string {
	last := ""
	for began := time.Now(); time.Since(began) < duration; {
		last = strconv.FormatInt(time.Now().UnixNano(), 10)
		put(t, f.log, "key", last)
		time.Sleep(time.Second / changesPerSecond)
	}
	return last
}

// Guards against followers whose reads exceed their share of the read limit, and against an
// interval that delays changes beyond the contact bound.
func TestFollowersOfAFleetKeepToTheirShareOfReads(t *testing.T) {
	for _, daemons := range []int{12, 60, 300} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const granted, calm = 16000, 5 * time.Second
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := startFleet(ctx, daemons, granted)
				time.Sleep(time.Second)
				f.log.ResetUsage()
				last := f.change(t, calm)
				used := f.log.Usage()
				is.Equal(used.Throttled, 0)
				is.True(float64(used.Reads) <= granted*fleetFraction*calm.Seconds()*1.05)
				time.Sleep(fleetBound / 10)
				synctest.Wait()
				for _, seen := range f.seen {
					is.Equal(seen.get("key"), last)
				}
			})
		})
	}
}

// Guards against a rate of reads that grows with the rate of changes.
func TestReadRateDoesNotGrowWithChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := startFleet(ctx, 300, 2000)
		time.Sleep(fleetBound)
		reads := func(writers int) int {
			f.log.ResetUsage()
			for range writers {
				go f.change(t, 5*time.Second)
			}
			time.Sleep(6 * time.Second)
			return f.log.Usage().Reads
		}
		few, many := reads(1), reads(8)
		is.True(many <= few*11/10)
	})
}

// Guards against followers that retry together after an outage, are throttled, and miss the
// contact bound.
func TestThrottledFleetRecoversWithinContactBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const daemons, granted = 300, 500
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := startFleet(ctx, daemons, granted)
		time.Sleep(2 * fleetBound)
		f.log.SetFault(func(journaltest.Call) journaltest.Fault { return journaltest.Refuse })
		time.Sleep(3 * time.Second)
		f.log.SetFault(nil)
		put(t, f.log, "key", "back")
		time.Sleep(fleetBound)
		synctest.Wait()
		for _, seen := range f.seen {
			is.Equal(seen.get("key"), "back")
		}
	})
}
