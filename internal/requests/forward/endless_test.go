package forward

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"woodworks/internal/requests/quarantine"
)

// endlessHead answers with a header line without end.
func endlessHead(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }() // The peer has closed it.
	text := "HTTP/1.1 200 OK\r\nSignature: "
	for err == nil {
		_, err = io.WriteString(conn, text)
		text = "xxxxxxxxxxxxxxxx"
	}
}

// A replica that sends bytes without end has not ended: its later end, planned or not, must not be
// held against the content. The request may have run, and the replica is avoided.
func TestBytesWithoutEndAreNoEndOfTheReplica(t *testing.T) {
	is := is.New(t)
	f := newTestService(t, 1, endlessHead)
	var asked *Call
	_, err := f.call(t, func(call *Call) { asked = call })
	var failure *Failure
	is.True(errors.As(err, &failure))
	is.Equal(failure.Certainty, MayHaveRun)
	f.forwarder.Quarantine.Sweep(func(string) bool { return false }) // the replica is gone from the list
	is.Equal(f.forwarder.Quarantine.Suspicion(asked.content), quarantine.Unsuspected)
	is.True(f.forwarder.Quarantine.NoneSuspected())
}

// A repeatable request is answered by another replica.
func TestARequestSurvivesBytesWithoutEnd(t *testing.T) {
	is := is.New(t)
	f := newTestService(t, 2, endlessHead, answers)
	answer, err := f.call(t, func(call *Call) { call.Repeatable, call.MaxAttempts = true, 2 })
	is.NoErr(err)
	is.Equal(string(answer.Body), "whole")
	answer.Close()
}

// The body of a refusal must not be waited for: that the request has not run is known by then.
func TestARefusalCountsBeforeItsBodyEnds(t *testing.T) {
	is := is.New(t)
	f := newTestService(t, 2, func(w http.ResponseWriter, r *http.Request) {
		declines(w, r)
		_ = http.NewResponseController(w).Flush() // The body follows without end.
		for {
			if _, err := io.WriteString(w, "xxxxxxxxxxxxxxxx"); err != nil {
				return
			}
		}
	}, answers)
	answer, err := f.call(t, func(call *Call) { call.Repeatable, call.MaxAttempts = false, 1 })
	is.NoErr(err)
	is.Equal(string(answer.Body), "whole")
	answer.Close()
}
