package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"woodworks/internal/batches/runner"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/refusal"
	"woodworks/internal/requests/route"
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
		"much time left":   {10 * time.Second, 0, refusal.NoReplica.RetryAfter},
		"little time left": {325 * time.Millisecond, 0, 100 * time.Millisecond},
		"held before":      {time.Second, 675 * time.Millisecond, 100 * time.Millisecond},
		"no time left":     {time.Second, 2 * time.Second, 0},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r, recorder := askedOf(t.Context(), newStop(), route.Safe, one.timeout)
				time.Sleep(one.after)
				r.refusePlain(&forward.Failure{Certainty: forward.NotRun})
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
		"not done": {errors.Wrap(runner.ErrNotDone, "refused"), http.StatusServiceUnavailable, refusal.JournalTimeout.RetryAfter},
		"stopping": {runner.ErrStopping, http.StatusServiceUnavailable, refusal.Stopping.RetryAfter},
		"unknown":  {errors.Wrap(runner.ErrUnknown, "silent"), http.StatusGatewayTimeout, 0},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, recorder := askedOf(t.Context(), newStop(), route.Batch, time.Minute)
			r.refuseUnrecorded(one.err)
			is.Equal(recorder.Code, one.status)
			if one.status == http.StatusServiceUnavailable {
				is.Equal(secondsOf(t, recorder.Header()), one.told)
			}
		})
	}
}

// A request whose body never came whole was held for as long as its client liked.
func TestABodyHasTheTimeOfItsRequest(t *testing.T) {
	is := is.New(t)
	cfg, err := route.New(route.Definition{Version: 1, Routes: []route.Route{{
		Name: "r", Host: "h", PathPrefix: "/x/", Kind: route.Safe, Timeout: 100 * time.Millisecond, Shares: []route.Share{{Service: "s", Weight: 1}}}}})
	is.NoErr(err)
	handler := bare(time.Now)
	handler.Configuration = func() *route.Configuration { return cfg }
	server := httptest.NewServer(handler)
	defer server.Close()
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /x/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Close) // the rest of the body must not be taken for a request
}
