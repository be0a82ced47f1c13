package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/batches/batch"
	"woodworks/internal/requests/route"
)

// configured is an operator that has given one configuration.
type configured struct {
	unaware
	configuration *route.Configuration
}

func (c configured) Configuration() *route.Configuration { return c.configuration }

// agedJob is a batch with one waiting item, accepted by a daemon whose clock shows
// another time of day than the owner's.
func agedJob(t *testing.T, behind, maxQueue time.Duration) *job {
	t.Helper()
	configuration, err := route.New(route.Declared{Routes: []route.Route{{
		Name: "r", Host: "h", PathPrefix: "/p/", Kind: route.Batch, MaxQueue: maxQueue, Shares: []route.Share{{Service: "s", Weight: 1}}}}})
	if err != nil {
		t.Fatal(err)
	}
	j, it := movedJob(t)
	j.r.operator = configured{configuration: configuration}
	j.submission = &batch.Submission{ID: "x", Host: "h", Path: "/p/x", AcceptedAtMs: time.Now().Add(-behind).UnixMilli()}
	j.adoptedAt, j.listWake = time.Now(), make(chan struct{}, 1)
	it.state, it.buffering, it.cancel = itemWaiting, false, nil
	return j
}

// The accepting daemon's time of day stood in the batch's record, and its owner took the
// difference to its own for the batch's age. Where the owner's clock was ahead by more
// than the route lets items wait (60 s), every item that waited was listed as dead 0.35 s
// after the owner had begun; where it was behind, none was ever given up. How old a batch
// is says the owner's steady clock.
func TestItemsAreGivenUpByTheOwnersSteadyClock(t *testing.T) {
	const maxQueue = time.Minute
	for _, behind := range []time.Duration{-time.Hour, -time.Minute, 0, 3 * time.Minute, time.Hour} {
		t.Run(behind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				j := agedJob(t, behind, maxQueue)
				j.giveUpTooOld()
				is.Equal(len(j.results), 0) // nothing is old at the start
				time.Sleep(maxQueue - time.Millisecond)
				j.giveUpTooOld()
				is.Equal(len(j.results), 0)
				time.Sleep(2 * time.Millisecond)
				j.giveUpTooOld()
				is.Equal(len(j.results), 1)
				is.Equal(j.results[0].Outcome, batch.Dead)
			})
		})
	}
}
