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

// retryAfterOf returns the Retry-After of an answer.
func retryAfterOf(t *testing.T, header http.Header) time.Duration {
	t.Helper()
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(seconds * float64(time.Second))
}

// Guards against a Retry-After that is longer than the time the request has left.
func TestRetryAfterIsAtMostAThirdOfTheTimeLeft(t *testing.T) {
	cases := map[string]struct {
		timeout, after, retryAfter time.Duration
	}{
		"much time left":   {10 * time.Second, 0, refusal.NoReplica.RetryAfter},
		"little time left": {325 * time.Millisecond, 0, 100 * time.Millisecond},
		"some time used":   {time.Second, 675 * time.Millisecond, 100 * time.Millisecond},
		"no time left":     {time.Second, 2 * time.Second, 0},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r, recorder := newTestRequest(t.Context(), newStop(), route.Safe, one.timeout)
				time.Sleep(one.after)
				r.refusePlain(&forward.Failure{Certainty: forward.NotRun})
				is.Equal(recorder.Code, http.StatusServiceUnavailable)
				is.Equal(retryAfterOf(t, recorder.Header()), one.retryAfter)
			})
		})
	}
}

// A submission, or a call that ends a batch, is refused with a 503 only if it certainly had no
// effect. A stopping daemon has its clients retry soon.
func TestRunnerErrorsMapToStatuses(t *testing.T) {
	cases := map[string]struct {
		err        error
		status     int
		retryAfter time.Duration
	}{
		"not done": {errors.Wrap(runner.ErrNotDone, "refused"), http.StatusServiceUnavailable, refusal.JournalTimeout.RetryAfter},
		"stopping": {runner.ErrStopping, http.StatusServiceUnavailable, refusal.Stopping.RetryAfter},
		"unknown":  {errors.Wrap(runner.ErrUnknown, "silent"), http.StatusGatewayTimeout, 0},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, recorder := newTestRequest(t.Context(), newStop(), route.Batch, time.Minute)
			r.refuseUnrecorded(one.err)
			is.Equal(recorder.Code, one.status)
			if one.status == http.StatusServiceUnavailable {
				is.Equal(retryAfterOf(t, recorder.Header()), one.retryAfter)
			}
		})
	}
}

// Guards against a body that never ends and occupies memory indefinitely.
func TestReadingABodyIsBoundedByTheTimeout(t *testing.T) {
	is := is.New(t)
	cfg, err := route.New(route.Definition{Version: 1, Routes: []route.Route{{
		Name: "r", Host: "h", PathPrefix: "/x/", Kind: route.Safe, Timeout: 100 * time.Millisecond, Shares: []route.Share{{Service: "s", Weight: 1}}}}})
	is.NoErr(err)
	handler := newTestHandler(time.Now)
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
	is.True(response.Close) // the rest of the body must not be parsed as a request
}
