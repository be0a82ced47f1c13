package ingress

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/headers"
	"woodworks/internal/requests/route"
	"woodworks/internal/requests/upstream"
)

// streamRelay relays the events of a stream to the client. If a replica fails, another one may
// continue the stream within the same answer.
type streamRelay struct {
	*request
	call     *forward.StreamRequest
	excluded map[string]bool
	// mayHaveRun counts the failed attempts that ran or may have run, notRun those that did not
	// run.
	mayHaveRun, notRun int
	headWritten        bool
	// clientStalled means that an event could not be written, so trying another replica is
	// useless.
	clientStalled bool
	// lastErr is the error of the last attempt.
	lastErr error
	// quarantined is not nil if quarantine refuses to run the stream now.
	quarantined *forward.QuarantinedError
}

// serveStream serves a stream. Unless the stream's route is resumable, another replica is tried
// only if the stream has certainly not run.
func (r *request) serveStream(cfg *route.Configuration, body []byte) {
	ctx, cancel := r.timeoutContext()
	defer cancel()
	s := &streamRelay{request: r, excluded: map[string]bool{}, call: &forward.StreamRequest{Request: r.outgoingRequest(cfg, body)}}
	if text := r.req.Header.Get(r.handler.Names.LastEventID); text != "" {
		if after, err := strconv.ParseInt(text, 10, 64); err == nil {
			s.call.LastEventID, s.call.HasLastEventID = after, true
		}
	}
	s.run(ctx)
}

func (s *streamRelay) run(ctx context.Context) {
	for {
		rep, ok := s.handler.Forwarder.Pick(s.route.ServiceOrder(s.id), s.excluded)
		if !ok {
			break
		}
		mayHaveRun, err := s.attempt(ctx, rep)
		if err == nil {
			s.replica = rep.ID
			s.observe(http.StatusOK, "answered", "")
			return
		}
		var quarantined *forward.QuarantinedError
		if errors.As(err, &quarantined) {
			if !s.mayRetryQuarantined(ctx, rep, quarantined) {
				break
			}
			continue
		}
		s.recordFailure(rep, mayHaveRun, err)
		if !s.mayContinue(ctx) {
			break
		}
	}
	s.giveUp()
}

// recordFailure records a failed attempt and excludes its replica from further attempts.
func (s *streamRelay) recordFailure(rep replica.Replica, mayHaveRun bool, err error) {
	s.excluded[rep.ID] = true
	s.replica, s.lastErr = rep.ID, err
	s.logger.Info("stream attempt failed", zap.String("replica", rep.ID), zap.Bool("may_have_run", mayHaveRun), zap.Error(err))
	if mayHaveRun {
		s.mayHaveRun++
	} else {
		s.notRun++
	}
}

// mayRetryQuarantined reports whether a stream that quarantine kept from being sent may be tried
// again now. If another run of the content decides on it, the function first waits for that run.
func (s *streamRelay) mayRetryQuarantined(ctx context.Context, rep replica.Replica, err *forward.QuarantinedError) bool {
	switch {
	case s.mayHaveRun > 0 && !err.TryOtherReplica:
		// An earlier attempt of this stream may have crashed its replica, so the stream is not
		// run again.
	case err.TryOtherReplica:
		s.excluded[rep.ID] = true
		return true
	case err.AwaitDecision(ctx):
		return true
	}
	s.quarantined, s.lastErr = err, err
	return false
}

// mayContinue reports whether another replica may continue the stream.
func (s *streamRelay) mayContinue(ctx context.Context) bool {
	state := forward.AttemptState{MayHaveRun: s.mayHaveRun, NotRun: s.notRun, MaxAttempts: s.route.MaxAttempts, Repeatable: s.route.Resumable}
	return ctx.Err() == nil && !s.clientStalled && !s.clientLeft() && state.MayRetry()
}

// attempt relays the stream from one replica. The error is nil if the stream came to its regular
// end. mayHaveRun tells whether the replica may have run the request.
func (s *streamRelay) attempt(ctx context.Context, rep replica.Replica) (mayHaveRun bool, err error) {
	forwarder := s.handler.Forwarder
	forwarder.Table.RequestStarted(rep.Incarnation())
	defer forwarder.Table.RequestEnded(rep.Incarnation())
	s.call.Deadline = s.timeLeft() + answerMargin
	sentAt := s.handler.Clock()
	stream, err := forwarder.OpenStream(ctx, s.call, rep)
	var quarantined *forward.QuarantinedError
	if errors.As(err, &quarantined) {
		return false, err
	}
	mayHaveRun = err == nil || !errors.Is(err, forward.ErrDeclined) && !errors.Is(err, upstream.ErrNotSent)
	if mayHaveRun {
		s.reportRun(sentAt)
	}
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, upstream.ErrPoolExhausted) {
			forwarder.Table.RequestFailed(rep.Incarnation())
		}
		return mayHaveRun, err
	}
	defer stream.Close()
	return true, s.relayEvents(stream)
}

// relayEvents writes the events of a stream to the client until the regular end of the stream. An
// event whose id is not greater than the last id that the client has ends the relaying with an
// error, and is not written.
func (s *streamRelay) relayEvents(stream *forward.Stream) error {
	for {
		event, err := stream.Next()
		if err == io.EOF {
			s.writeStreamHead(stream)
			return nil
		}
		if err != nil {
			return err
		}
		if event.HasID && s.call.HasLastEventID && event.ID <= s.call.LastEventID {
			return errors.Errorf("event %d after %d", event.ID, s.call.LastEventID)
		}
		s.writeStreamHead(stream)
		if err := s.writeEvent(event.Raw); err != nil {
			s.clientStalled = true
			return err
		}
		if event.HasID {
			s.call.LastEventID, s.call.HasLastEventID = event.ID, true
		}
	}
}

// writeStreamHead writes the status and the header of the answer. They are those of the first
// replica of which an event or the regular end is relayed; later calls do nothing.
func (s *streamRelay) writeStreamHead(stream *forward.Stream) {
	if s.headWritten {
		return
	}
	s.headWritten = true
	maps.Copy(s.w.Header(), headers.CopyEndToEnd(stream.Header))
	s.w.WriteHeader(stream.Status)
}

// giveUp ends a stream that no replica completed. If the answer has begun, giveUp aborts the
// connection, so that the client cannot take the answer for a complete one; it does the same if
// the client has left. Otherwise it refuses the request.
func (s *streamRelay) giveUp() {
	reason := "no replica"
	if s.lastErr != nil {
		reason = s.lastErr.Error()
	}
	if s.headWritten || s.clientGone() {
		s.attempts = s.mayHaveRun
		s.observe(0, "broken off", reason)
		panic(http.ErrAbortHandler)
	}
	s.refuseUnanswered(s.mayHaveRun == 0, s.quarantined, reason)
}
