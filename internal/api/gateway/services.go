package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest/pathvar"
	"go.uber.org/zap"

	"woodworks/internal/api/permit"
	"woodworks/internal/api/policy"
	"woodworks/internal/requests/refusal"
)

// RequestKeyHeader carries the caller's key of a request that must not be repeated. It is not one
// of the idempotency headers for which net/http replays a request by itself.
const RequestKeyHeader = "Woodworks-Request-Key"

const (
	// settleTimeout bounds the recording of an outcome, or the release of a permit, once the
	// ingress has answered.
	settleTimeout = 2 * time.Second
	// maxReleaseWait bounds how long an answer waits for the release of its permit.
	maxReleaseWait = 200 * time.Millisecond
	// maxOutcomeBytes is the maximum size of an answer that is recorded for later attempts.
	maxOutcomeBytes = 32 << 10
)

// callService forwards an operation to a plain service. The public listener answers for an internal
// service as for an unknown one, so as not to disclose that it exists.
func (g *Gateway) callService(audience policy.Audience) handler {
	return func(w http.ResponseWriter, r *http.Request, caller policy.Caller) {
		variables := pathvar.Vars(r)
		configuration, _ := g.deps.Configuration()
		service, ok := configuration.Policies.Services[variables["service"]]
		hidden := ok && audience == policy.Public && service.Audience == policy.Internal
		if !ok || hidden || service.Kind != policy.PlainService {
			writeProblem(w, Problem{status: http.StatusNotFound, Code: "unknown_service", Field: "service",
				Message: "service: no such service"})
			return
		}
		operation, ok := service.Operations[variables["operation"]]
		if !ok {
			writeProblem(w, Problem{status: http.StatusNotFound, Code: "unknown_operation", Field: "operation",
				Message: "operation: the service has no such operation"})
			return
		}
		body, ok := readBody(w, r)
		if !ok {
			return
		}
		class := configuration.Policies.Classes[operation.Class]
		if !g.acquireClass(w, class) {
			return
		}
		defer g.inFlight.release(classKey(class.Name))
		call := ingressCall{
			host: g.deps.ServiceHost(service.Name), path: g.deps.OperationPath(operation.Name),
			contentType: r.Header.Get("Content-Type"), body: body, timeout: operation.Timeout,
		}
		key := r.Header.Get(RequestKeyHeader)
		if key == "" || operation.Repeatable {
			g.writeReply(w, g.callIngress(r.Context(), call))
			return
		}
		g.callOnce(w, r, caller, key, call)
	}
}

// writeReply writes the answer of a back end, or a problem if the reply holds no complete answer.
func (g *Gateway) writeReply(w http.ResponseWriter, reply *ingressReply) {
	if !reply.isComplete(g.deps.Headers.Signature) {
		writeProblem(w, reply.problem())
		return
	}
	writeOutcome(w, permit.Outcome{Status: reply.status, ContentType: reply.header.Get("Content-Type"), Body: reply.body.Bytes()})
}

// writeOutcome writes the recorded or just received answer of a back end with the outcome
// Completed.
func writeOutcome(w http.ResponseWriter, outcome permit.Outcome) {
	header := w.Header()
	header.Set(OutcomeHeader, string(Completed))
	if outcome.ContentType != "" {
		header.Set("Content-Type", outcome.ContentType)
	}
	header.Set("Content-Length", strconv.Itoa(len(outcome.Body)))
	w.WriteHeader(outcome.Status)
	// A failed write means that the caller has disconnected; with its key it can ask for the
	// outcome again.
	_, _ = w.Write(outcome.Body)
}

// callOnce runs a request with a key at most once over all attempts with that key.
func (g *Gateway) callOnce(w http.ResponseWriter, r *http.Request, caller policy.Caller, text string, call ingressCall) {
	key, err := permit.ParseKey(text)
	if err == nil {
		err = g.deps.Permits.Check(key, time.Now())
	}
	if err != nil {
		writeFieldError(w, RequestKeyHeader, err.Error())
		return
	}
	// The caller's name is part of the key, so that equal keys of different callers do not collide.
	name := caller.Name + "/" + key.Text
	ctx, cancel := context.WithTimeout(r.Context(), call.timeout)
	defer cancel()
	decision, err := g.deps.Permits.Claim(ctx, name, callDigest(call))
	g.deps.Logger.Info("key claimed", zap.String("key", name), zap.String("decision", decisionName(decision)), zap.Error(err))
	switch d := decision.(type) {
	case permit.Granted:
		g.runOnce(w, r.Context(), d, call)
	case permit.Taken:
		g.answerEarlierAttempt(ctx, w, name)
	case permit.OtherContent:
		writeProblem(w, Problem{status: http.StatusConflict, Code: "key_reused_with_other_content", Field: RequestKeyHeader,
			Message: RequestKeyHeader + ": names a request of other content"})
	default:
		g.refuseClaim(w, err)
	}
}

// decisionName returns the name of a decision for the log.
func decisionName(decision permit.Decision) string {
	switch decision.(type) {
	case permit.Granted:
		return "granted"
	case permit.Taken:
		return "taken"
	case permit.OtherContent:
		return "other content"
	default:
		return "none"
	}
}

// callDigest returns a hash of the call's content, by which a key that is reused for another
// request is detected.
func callDigest(call ingressCall) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(call.host + "\x00" + call.path + "\x00" + call.contentType + "\x00")
	_, _ = hash.Write(call.body)
	return hash.Sum64()
}

// runOnce sends a request under its permit and records the outcome. If the request certainly has
// not run, runOnce releases the permit before it answers, because the caller may then retry with
// the same key.
func (g *Gateway) runOnce(w http.ResponseWriter, ctx context.Context, granted permit.Granted, call ingressCall) {
	reply := g.callIngress(ctx, call)
	if !reply.isComplete(g.deps.Headers.Signature) {
		problem := reply.problem()
		if problem.Outcome == NotExecuted {
			g.releasePermit(ctx, granted)
		}
		writeProblem(w, problem)
		return
	}
	outcome := permit.Outcome{Status: reply.status, ContentType: reply.header.Get("Content-Type"), Body: reply.body.Bytes()}
	if len(outcome.Body) <= maxOutcomeBytes {
		settling, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
		defer cancel()
		if err := g.deps.Permits.RecordOutcome(settling, granted, outcome); err != nil {
			g.deps.Logger.Warn("outcome of a key not recorded", zap.Error(err))
		}
	}
	writeOutcome(w, outcome)
}

// releasePermit allows a later attempt with the key to run. It delays the answer by at most
// maxReleaseWait; the release then continues in the background, and an attempt that arrives before
// it is done is answered that an earlier one may have run.
func (g *Gateway) releasePermit(ctx context.Context, granted permit.Granted) {
	releasing, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	done := make(chan struct{})
	go func() {
		defer cancel()
		defer close(done)
		err := g.deps.Permits.Release(releasing, granted)
		g.deps.Logger.Info("key released", zap.String("key", granted.Key()), zap.Error(err))
	}()
	select {
	case <-done:
	case <-time.After(maxReleaseWait):
	}
}

// answerEarlierAttempt answers an attempt whose request may have been run by an earlier one. It
// waits for the recorded outcome until ctx ends or a planned stop begins, because ctx may last
// longer than the grace period of the stop.
func (g *Gateway) answerEarlierAttempt(ctx context.Context, w http.ResponseWriter, name string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(g.deps.Stopping, cancel)()
	if outcome, ok := g.deps.Permits.Await(ctx, name); ok {
		writeOutcome(w, outcome)
		return
	}
	problem := refusalProblem(refusal.V1EarlierAttemptUnknown, "an earlier try with this key may have run, and its outcome is not known")
	problem.ThisAttempt = notSent
	writeProblem(w, problem)
}

// refuseClaim refuses an attempt that got no permit. The attempt was not sent.
func (g *Gateway) refuseClaim(w http.ResponseWriter, err error) {
	reason := refusal.V1LogUnavailable
	if errors.Is(err, permit.ErrOutcomeUnknown) {
		reason = refusal.V1PermitUnknown
	}
	refuse(w, reason, "no permit for the key")
}
