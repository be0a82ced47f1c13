package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/eventstream"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/upstream"
)

// Errors of opening or reading a stream.
var (
	// ErrDeclined: the replica did not run the request.
	ErrDeclined = errors.New("forward: replica declined the stream")
	// ErrStatus: the replica answered with a failure; see StatusError.
	ErrStatus = errors.New("forward: failure status")
)

// StatusError is a replica's own failure.
type StatusError struct{ Status int }

// Error implements error.
func (failure *StatusError) Error() string {
	return "forward: replica answered with status " + strconv.Itoa(failure.Status)
}

// Unwrap makes the error an ErrStatus.
func (failure *StatusError) Unwrap() error { return ErrStatus }

// Stream is an answer of events from one replica.
type Stream struct {
	Status int
	Header http.Header
	// Version is the version of the weights at the start, or 0.
	Version int64
	reader  *eventstream.Reader
	answer  *upstream.Answer
	// ended is told how the events ended, nil being their proper end, release that the
	// exchange is over.
	ended   func(err error)
	release func()
}

// Next returns the next whole event, or io.EOF at the stream's proper end.
func (stream *Stream) Next() (eventstream.Event, error) {
	event, err := stream.reader.Next()
	switch {
	case err == io.EOF:
		stream.ended(nil)
	case err != nil:
		stream.ended(err)
	}
	return event, err
}

// Close ends the exchange.
func (stream *Stream) Close() {
	stream.answer.Close()
	stream.release()
}

// StreamRequest is a request for events, maybe from the middle on.
type StreamRequest struct {
	RequestID string
	Method    string
	Target    string
	Host      string
	Header    http.Header
	Body      []byte
	// Caller is the tenant that sent the request, "" where there are none.
	Caller string
	// Repeatable requests may run more than once.
	Repeatable bool
	// After is the last event that is known; HasAfter says that there is one.
	After    int64
	HasAfter bool
	// Deadline is how long the replica may work; 0 names none.
	Deadline time.Duration
}

func (request *StreamRequest) content() *quarantine.Content {
	return &quarantine.Content{Caller: request.Caller, Method: request.Method, Host: request.Host, Target: request.Target, Body: request.Body}
}

// OpenStream sends a request for events to one replica. It returns when the
// head of the answer has come. A declined request gives ErrDeclined, a failure
// of the replica a *StatusError, a content that may not run now a *QuarantinedError, and
// anything else may have run unless it wraps upstream.ErrNotSent.
func (forwarder *Forwarder) OpenStream(ctx context.Context, request *StreamRequest, chosen replica.Replica) (*Stream, error) {
	names := forwarder.Names
	header := request.Header.Clone()
	header[http.CanonicalHeaderKey(names.ExpectReplica)] = []string{chosen.ID}
	if request.HasAfter {
		header[http.CanonicalHeaderKey(names.LastEventID)] = []string{strconv.FormatInt(request.After, 10)}
	}
	if request.Deadline > 0 {
		header[http.CanonicalHeaderKey(names.DeadlineMs)] = []string{strconv.FormatInt(request.Deadline.Milliseconds(), 10)}
	}
	content := request.content()
	release, refused := forwarder.admit(request.RequestID, content, chosen)
	if refused != nil {
		return nil, refused
	}
	began := time.Now()
	ended := func(err error) {
		if err == nil {
			forwarder.Quarantine.Answered(content)
			return
		}
		forwarder.explain(ctx, failedOffer{requestID: request.RequestID, content: content, chosen: chosen, outcome: offerOutcome(ctx, err),
			ran: !errors.Is(err, upstream.ErrNotSent), after: time.Since(began), err: err})
	}
	answer, err := forwarder.Pool.Exchange(ctx, chosen.Address, &upstream.Request{
		Method: request.Method, Target: request.Target, Host: request.Host, Header: header, Body: request.Body,
		EchoName: names.RequestID, EchoValue: request.RequestID,
		Repeatable: request.Repeatable, MaxOpen: forwarder.maxOpen(chosen),
	})
	if err == nil {
		forwarder.noteLoad(chosen, answer.Header)
		err = forwarder.checkStreamHead(answer)
	}
	forwarder.Observe(chosen.Service, offerOutcome(ctx, err), time.Since(began))
	if err != nil {
		forwarder.headFailed(answer, err, ended)
		release()
		return nil, err
	}
	version, _ := strconv.ParseInt(strings.TrimSpace(answer.Header.Get(names.Versions)), 10, 64)
	return &Stream{Status: answer.Status, Header: answer.Header, Version: version,
		reader: eventstream.NewReader(answer, names.Versions), answer: answer, ended: ended, release: release}, nil
}

// headFailed ends an exchange whose answer, if there is one, has no events.
func (forwarder *Forwarder) headFailed(answer *upstream.Answer, err error, ended func(err error)) {
	switch {
	case !errors.Is(err, ErrStatus):
		ended(err)
	case answer.Header.Get(forwarder.Names.Stamp) != "":
		// The replica itself says that the request failed, and lives on.
		ended(nil)
	}
	if answer != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, bufferedBytes)) // What it says of its failure is not passed on.
		answer.Close()
	}
}

func (forwarder *Forwarder) checkStreamHead(answer *upstream.Answer) error {
	names := forwarder.Names
	if answer.Header.Get(names.NotExecuted) != "" || answer.Status == http.StatusMisdirectedRequest {
		return errors.Wrapf(ErrDeclined, "status %d", answer.Status)
	}
	if answer.Status >= http.StatusBadRequest {
		return &StatusError{Status: answer.Status}
	}
	if answer.Status != http.StatusOK || answer.Header.Get(names.Stamp) == "" {
		return errors.Wrapf(errUnsound, "status %d", answer.Status)
	}
	return nil
}
