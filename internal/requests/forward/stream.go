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
func (e *StatusError) Error() string {
	return "forward: replica answered with status " + strconv.Itoa(e.Status)
}

// Unwrap makes the error an ErrStatus.
func (e *StatusError) Unwrap() error { return ErrStatus }

// Stream is an answer of events from one replica.
type Stream struct {
	Status int
	Header http.Header
	// Version is the version of the weights at the start, or 0.
	Version int64
	reader  *eventstream.Reader
	answer  *upstream.Answer
	// onEnd is told how the events onEnd, nil being their proper end, release that the
	// exchange is over.
	onEnd   func(err error)
	release func()
}

// Next returns the next whole event, or io.EOF at the stream's proper end.
func (s *Stream) Next() (eventstream.Event, error) {
	event, err := s.reader.Next()
	switch err {
	case nil:
	case io.EOF:
		s.onEnd(nil)
	default:
		s.onEnd(err)
	}
	return event, err
}

// Close ends the exchange.
func (s *Stream) Close() {
	s.answer.Close()
	s.release()
}

// StreamRequest is a request for events, maybe from the middle on.
type StreamRequest struct {
	Request
	// Repeatable requests may run more than once.
	Repeatable bool
	// LastEventID is the last event that is known; HasAfter says that there is one.
	LastEventID    int64
	HasLastEventID bool
	// Deadline is how long the replica may work; 0 names none.
	Deadline time.Duration
}

// OpenStream sends a request for events to one replica. It returns when the
// head of the answer has come. A declined request gives ErrDeclined, a failure
// of the replica a *StatusError, a content that may not run now a *QuarantinedError, and
// anything else may have run unless it wraps upstream.ErrNotSent.
func (f *Forwarder) OpenStream(ctx context.Context, req *StreamRequest, rep replica.Replica) (*Stream, error) {
	names, header := f.Names, req.Header.Clone()
	if req.HasLastEventID {
		header[http.CanonicalHeaderKey(names.LastEventID)] = []string{strconv.FormatInt(req.LastEventID, 10)}
	}
	if req.Deadline > 0 {
		header[http.CanonicalHeaderKey(names.DeadlineMs)] = []string{strconv.FormatInt(req.Deadline.Milliseconds(), 10)}
	}
	content := req.content()
	release, refused := f.admitContent(req.RequestID, content, rep)
	if refused != nil {
		return nil, refused
	}
	began := time.Now()
	ended := func(err error) {
		f.recordEnd(ctx, failedAttempt{requestID: req.RequestID, content: content, chosen: rep,
			mayHaveRun: !errors.Is(err, upstream.ErrNotSent), took: time.Since(began), err: err})
	}
	answer, err := f.roundTrip(ctx, rep, &req.Request, &upstream.Request{Header: header, Repeatable: req.Repeatable})
	if err == nil {
		err = f.checkStreamHead(answer)
	}
	f.Observe(rep.Service, outcomeOf(ctx, err), time.Since(began))
	if err != nil {
		f.endFailedExchange(answer, err, ended)
		release()
		return nil, err
	}
	// A service without weights names no version: 0.
	version, _ := strconv.ParseInt(strings.TrimSpace(answer.Header.Get(names.Versions)), 10, 64)
	return &Stream{Status: answer.Status, Header: answer.Header, Version: version,
		reader: eventstream.NewReader(answer, names.Versions), answer: answer, onEnd: ended, release: release}, nil
}

// endFailedExchange ends an exchange whose answer, if there is one, has no events.
func (f *Forwarder) endFailedExchange(answer *upstream.Answer, err error, ended func(err error)) {
	switch {
	case !errors.Is(err, ErrStatus):
		ended(err)
	case answer.Header.Get(f.Names.Stamp) != "":
		// The replica itself says that the request failed, and lives on.
		ended(nil)
	}
	if answer != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxBufferedBytes)) // What it says of its failure is not passed on.
		answer.Close()
	}
}

// wasNotRun reports whether a replica says that it has not run a request, or that it is not the
// replica that the request was for.
func (f *Forwarder) wasNotRun(answer *upstream.Answer) bool {
	return answer.Header.Get(f.Names.NotExecuted) != "" || answer.Status == http.StatusMisdirectedRequest
}

func (f *Forwarder) checkStreamHead(answer *upstream.Answer) error {
	if f.wasNotRun(answer) {
		return errors.Wrapf(ErrDeclined, "status %d", answer.Status)
	}
	if answer.Status >= http.StatusBadRequest {
		return &StatusError{Status: answer.Status}
	}
	if answer.Status != http.StatusOK || answer.Header.Get(f.Names.Stamp) == "" {
		return errors.Wrapf(errInvalidAnswer, "status %d", answer.Status)
	}
	return nil
}
