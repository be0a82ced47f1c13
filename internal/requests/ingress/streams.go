package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/shutdown"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/headers"
	"woodworks/internal/requests/route"
	"woodworks/internal/requests/upstream"
)

// relay passes the events of one or more replicas on as one answer.
type relay struct {
	*request
	asking *forward.StreamRequest
	tried  map[string]bool
	ran    int
	notRun int
	began  bool
	// unread says that the client has not taken an event: no other replica changes that.
	unread  bool
	reasons error
	// quarantined, if not nil, is why the stream may not run now.
	quarantined *forward.QuarantinedError
}

// maxNotRun is how often a stream that was certainly not run is offered again.
const maxNotRun = 4

// serveStream passes a stream on. Without the right to resume it, it is
// offered again only as long as it has certainly not run.
func (asked *request) serveStream(configuration *route.Configuration, body []byte) {
	ctx, cancel := asked.bounded()
	defer cancel()
	relaying := &relay{request: asked, tried: map[string]bool{}, asking: &forward.StreamRequest{
		RequestID: asked.id, Method: asked.request.Method, Target: asked.request.RequestURI, Host: asked.request.Host,
		Header: asked.headerOnward(configuration), Body: body, Caller: asked.tenantName(),
	}}
	if text := asked.request.Header.Get(asked.handler.Names.LastEventID); text != "" {
		if after, err := strconv.ParseInt(text, 10, 64); err == nil {
			relaying.asking.After, relaying.asking.HasAfter = after, true
		}
	}
	relaying.run(ctx)
}

func (relaying *relay) run(ctx context.Context) {
	for {
		chosen, found := relaying.choose()
		if !found {
			break
		}
		whole, ran, err := relaying.attempt(ctx, chosen)
		if whole {
			relaying.replica = chosen.ID
			relaying.observe(http.StatusOK, "answered", "")
			return
		}
		var quarantined *forward.QuarantinedError
		if errors.As(err, &quarantined) {
			if !relaying.mayAskAgain(ctx, chosen, quarantined) {
				break
			}
			continue
		}
		relaying.tried[chosen.ID] = true
		relaying.replica = chosen.ID
		relaying.reasons = err
		relaying.logger.Info("stream attempt failed", zap.String("replica", chosen.ID), zap.Bool("may_have_run", ran), zap.Error(err))
		if ran {
			relaying.ran++
		} else {
			relaying.notRun++
		}
		if !relaying.mayContinue(ctx) {
			break
		}
	}
	relaying.giveUp()
}

func (relaying *relay) choose() (replica.Replica, bool) {
	for _, service := range relaying.route.Order(relaying.id) {
		chosen, found := replica.Pick(relaying.handler.Forwarder.Replicas(service), relaying.tried, time.Now())
		if found {
			return chosen, true
		}
	}
	return replica.Replica{}, false
}

// mayAskAgain reports whether a stream that was not sent for its content's sake may be
// asked for again now.
func (relaying *relay) mayAskAgain(ctx context.Context, chosen replica.Replica, err *forward.QuarantinedError) bool {
	switch {
	case relaying.ran > 0 && !err.Elsewhere:
		// Its own run has ended a replica: the next one is alone, or is none.
	case err.Elsewhere:
		relaying.tried[chosen.ID] = true
		return true
	case err.Await(ctx):
		return true
	}
	relaying.quarantined, relaying.reasons = err, err
	return false
}

func (relaying *relay) mayContinue(ctx context.Context) bool {
	if ctx.Err() != nil || relaying.unread || relaying.notRun > maxNotRun || relaying.ran >= max(relaying.route.MaxAttempts, 1) {
		return false
	}
	return relaying.ran == 0 || relaying.route.Resumable
}

// attempt passes on what one replica makes of the stream.
func (relaying *relay) attempt(ctx context.Context, chosen replica.Replica) (whole, ran bool, err error) {
	forwarder := relaying.handler.Forwarder
	forwarder.Table.Started(chosen.Start())
	defer forwarder.Table.Ended(chosen.Start())
	relaying.asking.Deadline = relaying.timeLeft() + answerMargin
	sentAt := relaying.handler.now()
	stream, err := forwarder.OpenStream(ctx, relaying.asking, chosen)
	var quarantined *forward.QuarantinedError
	if errors.As(err, &quarantined) {
		return false, false, err
	}
	ran = err == nil || !errors.Is(err, forward.ErrDeclined) && !errors.Is(err, upstream.ErrNotSent)
	if ran {
		relaying.request.ran(sentAt)
	}
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, upstream.ErrFull) {
			forwarder.Table.Failed(chosen.Start())
		}
		return false, ran, err
	}
	defer stream.Close()
	for {
		event, err := stream.Next()
		if err == io.EOF {
			relaying.begin(stream)
			return true, true, nil
		}
		if err != nil {
			return false, true, err
		}
		if event.HasID && relaying.asking.HasAfter && event.ID <= relaying.asking.After {
			return false, true, errors.Errorf("event %d after %d", event.ID, relaying.asking.After)
		}
		relaying.begin(stream)
		if err := relaying.writeEvent(event.Raw); err != nil {
			relaying.unread = true
			return false, true, err
		}
		if event.HasID {
			relaying.asking.After, relaying.asking.HasAfter = event.ID, true
		}
	}
}

// begin writes the head of the first replica that gave one.
func (relaying *relay) begin(stream *forward.Stream) {
	if relaying.began {
		return
	}
	relaying.began = true
	target := relaying.writer.Header()
	for name, values := range headers.CopyEndToEnd(stream.Header) {
		target[name] = values
	}
	relaying.writer.WriteHeader(stream.Status)
}

// giveUp ends the answer in a way that cannot be taken for a whole one.
func (relaying *relay) giveUp() {
	reason := "no replica"
	if relaying.reasons != nil {
		reason = relaying.reasons.Error()
	}
	switch {
	case relaying.began || relaying.clientLeft():
		relaying.observe(0, "broken off", reason)
		panic(http.ErrAbortHandler)
	case relaying.ran == 0 && relaying.quarantined != nil:
		relaying.refuseQuarantined(relaying.quarantined)
	case relaying.ran == 0:
		relaying.refuse(reason, relaying.comeBack())
	case relaying.interrupted():
		relaying.fail(http.StatusBadGateway, "interrupted", shutdown.ErrInterrupted.Error())
	case relaying.timeLeft() <= 0:
		relaying.fail(http.StatusGatewayTimeout, "timed out", reason)
	default:
		relaying.fail(http.StatusBadGateway, "failed", reason)
	}
}
