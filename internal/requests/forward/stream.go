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
	// ErrStatus: the replica answered with an error status; see StatusError.
	ErrStatus = errors.New("forward: failure status")
)

// StatusError reports that the replica answered with an error status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return "forward: replica answered with status " + strconv.Itoa(e.Status)
}

// Unwrap makes errors.Is(err, ErrStatus) true.
func (e *StatusError) Unwrap() error { return ErrStatus }

// Stream is an answer from one replica that consists of events.
type Stream struct {
	Status int
	Header http.Header
	// Version is the version of the model weights at the start of the stream, or 0 if the
	// service has no weights.
	Version int64
	reader  *eventstream.Reader
	answer  *upstream.Answer
	// onEnd is called by Next at the end of the stream: with nil at its proper end, otherwise
	// with the error. release is called by Close after the exchange has ended.
	onEnd   func(err error)
	release func()
}

// Next returns the next complete event, or io.EOF at the proper end of the stream. Any other
// error means that the stream is incomplete.
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

// Close ends the exchange, and then the run of the content as counted by the quarantine.
func (s *Stream) Close() {
	s.answer.Close()
	s.release()
}

// StreamRequest is a request for a stream of events, from the start or after a known event.
type StreamRequest struct {
	Request
	// Repeatable means that the request may run more than once.
	Repeatable bool
	// LastEventID is the id of the last event that was received. It is ignored unless
	// HasLastEventID is set.
	LastEventID    int64
	HasLastEventID bool
	// Deadline is how long the replica may work on the request, or 0 for no bound.
	Deadline time.Duration
}

// OpenStream sends a request for events to one replica and returns once the head of the answer
// has been received. The error wraps ErrDeclined if the replica declined the request, and is a
// *StatusError for an error status or a *QuarantinedError if the content may not run now. After
// ErrDeclined, a *QuarantinedError or an error that wraps upstream.ErrNotSent the request has
// not run; after any other error it may have run.
func (f *Forwarder) OpenStream(ctx context.Context, req *StreamRequest, rep replica.Replica) (*Stream, error) {
	names, header := f.Names, req.Header.Clone()
	if req.HasLastEventID {
		header[http.CanonicalHeaderKey(names.LastEventID)] = []string{strconv.FormatInt(req.LastEventID, 10)}
	}
	if req.Deadline > 0 {
		header[http.CanonicalHeaderKey(names.DeadlineMs)] = []string{strconv.FormatInt(req.Deadline.Milliseconds(), 10)}
	}
	content := req.Content()
	release, refused := f.admitContent(req.RequestID, content, rep)
	if refused != nil {
		return nil, refused
	}
	startedAt := time.Now()
	onEnd := func(err error) {
		f.recordEnd(ctx, failedAttempt{requestID: req.RequestID, content: content, chosen: rep,
			mayHaveRun: !errors.Is(err, upstream.ErrNotSent), took: time.Since(startedAt), err: err})
	}
	answer, err := f.roundTrip(ctx, rep, &req.Request, &upstream.Request{Header: header, Repeatable: req.Repeatable})
	if err == nil {
		err = f.checkStreamHead(answer)
	}
	f.Observe(rep.Service, outcomeOf(ctx, err), time.Since(startedAt))
	if err != nil {
		f.endFailedExchange(answer, err, onEnd)
		release()
		return nil, err
	}
	// A service without weights sends no version, so that the result of ParseInt is 0.
	version, _ := strconv.ParseInt(strings.TrimSpace(answer.Header.Get(names.WeightsVersion)), 10, 64)
	return &Stream{Status: answer.Status, Header: answer.Header, Version: version,
		reader: eventstream.NewReader(answer, names.WeightsVersion), answer: answer, onEnd: onEnd, release: release}, nil
}

// endFailedExchange ends an exchange that failed before its first event. answer may be nil.
func (f *Forwarder) endFailedExchange(answer *upstream.Answer, err error, onEnd func(err error)) {
	switch {
	case !errors.Is(err, ErrStatus):
		onEnd(err)
	case answer.Header.Get(f.Names.Signature) != "":
		// An error status with a signature comes from the replica itself: the request failed,
		// but the replica did not.
		onEnd(nil)
	}
	if answer != nil {
		answer.Discard() // the body of a failure is not passed on
	}
}

// wasNotRun reports whether the answer states that the replica has not run the request. This
// includes the answer that the request was meant for another replica.
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
	if answer.Status != http.StatusOK || answer.Header.Get(f.Names.Signature) == "" {
		return errors.Wrapf(errInvalidAnswer, "status %d", answer.Status)
	}
	return nil
}
