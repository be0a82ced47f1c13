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

// streamRelay passes the events of one or more replicas on as one answer.
type streamRelay struct {
	*request
	call       *forward.StreamRequest
	passedOver map[string]bool
	// mayHaveRun counts the attempts that ran or may have, notRun those that did not.
	mayHaveRun, notRun int
	began              bool
	// unread says that the client has not taken an event: no other replica changes that.
	unread bool
	// lastErr is why the last attempt failed.
	lastErr error
	// quarantined, if not nil, is why the stream may not run now.
	quarantined *forward.QuarantinedError
}

// serveStream passes a stream on. Without the right to resume it, it is
// sent again only as long as it has certainly not run.
func (r *request) serveStream(cfg *route.Configuration, body []byte) {
	ctx, cancel := r.bounded()
	defer cancel()
	s := &streamRelay{request: r, passedOver: map[string]bool{}, call: &forward.StreamRequest{Request: r.onward(cfg, body)}}
	if text := r.req.Header.Get(r.handler.Names.LastEventID); text != "" {
		if after, err := strconv.ParseInt(text, 10, 64); err == nil {
			s.call.LastEventID, s.call.HasLastEventID = after, true
		}
	}
	s.run(ctx)
}

func (s *streamRelay) run(ctx context.Context) {
	for {
		rep, ok := s.handler.Forwarder.Pick(s.route.ServiceOrder(s.id), s.passedOver)
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
			if !s.mayAskAgain(ctx, rep, quarantined) {
				break
			}
			continue
		}
		s.note(rep, mayHaveRun, err)
		if !s.mayContinue(ctx) {
			break
		}
	}
	s.giveUp()
}

// note counts an attempt that failed.
func (s *streamRelay) note(rep replica.Replica, mayHaveRun bool, err error) {
	s.passedOver[rep.ID] = true
	s.replica, s.lastErr = rep.ID, err
	s.logger.Info("stream attempt failed", zap.String("replica", rep.ID), zap.Bool("may_have_run", mayHaveRun), zap.Error(err))
	if mayHaveRun {
		s.mayHaveRun++
	} else {
		s.notRun++
	}
}

// mayAskAgain reports whether a stream that was not sent for its content's sake may be
// asked for again now.
func (s *streamRelay) mayAskAgain(ctx context.Context, rep replica.Replica, err *forward.QuarantinedError) bool {
	switch {
	case s.mayHaveRun > 0 && !err.TryElsewhere:
		// Its own run has ended a replica: the next one is alone, or is none.
	case err.TryElsewhere:
		s.passedOver[rep.ID] = true
		return true
	case err.AwaitDecision(ctx):
		return true
	}
	s.quarantined, s.lastErr = err, err
	return false
}

// mayContinue reports whether another replica may go on with the stream.
func (s *streamRelay) mayContinue(ctx context.Context) bool {
	state := forward.AttemptState{MayHaveRun: s.mayHaveRun, NotRun: s.notRun, MaxAttempts: s.route.MaxAttempts, Repeatable: s.route.Resumable}
	return ctx.Err() == nil && !s.unread && state.MayRetry()
}

// attempt passes on what one replica makes of the stream, to its proper end or an error.
func (s *streamRelay) attempt(ctx context.Context, rep replica.Replica) (mayHaveRun bool, err error) {
	forwarder := s.handler.Forwarder
	forwarder.Table.Started(rep.Incarnation())
	defer forwarder.Table.Ended(rep.Incarnation())
	s.call.Deadline = s.timeLeft() + answerMargin
	sentAt := s.handler.Clock()
	stream, err := forwarder.OpenStream(ctx, s.call, rep)
	var quarantined *forward.QuarantinedError
	if errors.As(err, &quarantined) {
		return false, err
	}
	mayHaveRun = err == nil || !errors.Is(err, forward.ErrDeclined) && !errors.Is(err, upstream.ErrNotSent)
	if mayHaveRun {
		s.countRun(sentAt)
	}
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, upstream.ErrFull) {
			forwarder.Table.Failed(rep.Incarnation())
		}
		return mayHaveRun, err
	}
	defer stream.Close()
	return true, s.passEvents(stream)
}

// passEvents writes the events of a stream to its proper end.
func (s *streamRelay) passEvents(stream *forward.Stream) error {
	for {
		event, err := stream.Next()
		if err == io.EOF {
			s.begin(stream)
			return nil
		}
		if err != nil {
			return err
		}
		if event.HasID && s.call.HasLastEventID && event.ID <= s.call.LastEventID {
			return errors.Errorf("event %d after %d", event.ID, s.call.LastEventID)
		}
		s.begin(stream)
		if err := s.writeEvent(event.Raw); err != nil {
			s.unread = true
			return err
		}
		if event.HasID {
			s.call.LastEventID, s.call.HasLastEventID = event.ID, true
		}
	}
}

// begin writes the head of the first replica that gave one.
func (s *streamRelay) begin(stream *forward.Stream) {
	if s.began {
		return
	}
	s.began = true
	maps.Copy(s.w.Header(), headers.CopyEndToEnd(stream.Header))
	s.w.WriteHeader(stream.Status)
}

// giveUp ends the answer in a way that cannot be taken for a whole one.
func (s *streamRelay) giveUp() {
	reason := "no replica"
	if s.lastErr != nil {
		reason = s.lastErr.Error()
	}
	if s.began || s.clientLeft() {
		s.observe(0, "broken off", reason)
		panic(http.ErrAbortHandler)
	}
	s.refuseUnanswered(s.mayHaveRun == 0, s.quarantined, reason)
}
