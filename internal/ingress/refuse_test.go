package ingress

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"woodworks/internal/forward"
	"woodworks/internal/route"
	"woodworks/internal/runner"
	"woodworks/internal/shutdown"
)

// secondsOf is the Retry-After of an answer.
func secondsOf(t *testing.T, header http.Header) time.Duration {
	t.Helper()
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(seconds * float64(time.Second))
}

// A client that is refused late was told to wait for longer than its request had left.
func TestNobodyIsToldToWaitForLongerThanAThirdOfItsTime(t *testing.T) {
	cases := map[string]struct {
		timeout, after, told time.Duration
	}{
		"much time left":   {10 * time.Second, 0, retryAfter},
		"little time left": {325 * time.Millisecond, 0, 100 * time.Millisecond},
		"held before":      {time.Second, 675 * time.Millisecond, 100 * time.Millisecond},
		"no time left":     {time.Second, 2 * time.Second, 0},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				asked, recorder := askedOf(t.Context(), nil, route.Safe, one.timeout)
				time.Sleep(one.after)
				asked.explain(&forward.Failure{Certainty: forward.NotRun})
				is.Equal(recorder.Code, http.StatusServiceUnavailable)
				is.Equal(secondsOf(t, recorder.Header()), one.told)
			})
		})
	}
}

// What became of a submission or an end decides its answer: a refusal promises that it has
// not happened, and nothing else does. A daemon that stops sends its callers to others soon.
func TestBatchCallsAreAnsweredWithWhatIsCertain(t *testing.T) {
	cases := map[string]struct {
		err    error
		status int
		told   time.Duration
	}{
		"not done": {errors.Wrap(runner.ErrNotDone, "refused"), http.StatusServiceUnavailable, storeRetryAfter},
		"stopping": {runner.ErrStopping, http.StatusServiceUnavailable, stopRetryAfter},
		"unknown":  {errors.Wrap(runner.ErrUnknown, "silent"), http.StatusGatewayTimeout, 0},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			asked, recorder := askedOf(t.Context(), shutdown.New(), route.Batch, time.Minute)
			asked.notKept(one.err)
			is.Equal(recorder.Code, one.status)
			if one.status == http.StatusServiceUnavailable {
				is.Equal(secondsOf(t, recorder.Header()), one.told)
			}
		})
	}
}
