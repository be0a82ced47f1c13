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

// KeyHeader carries a caller's key for a non-repeatable request. Its name is
// not one on which net/http replays a request.
const KeyHeader = "Woodworks-Request-Key"

const (
	// settleTimeout bounds the recording of an outcome after the answer came.
	settleTimeout = 2 * time.Second
	// giveBackWait is how long an answer waits for a key to be given back.
	giveBackWait = 200 * time.Millisecond
	// maxOutcomeBytes is the longest answer that is kept for later tries.
	maxOutcomeBytes = 32 << 10
)

// callService passes an operation on to a plain service. A service that does
// not exist for the listener's audience is not told apart from an unknown one.
func (g *Gateway) callService(audience policy.Audience) handler {
	return func(w http.ResponseWriter, r *http.Request, caller policy.Caller) {
		variables := pathvar.Vars(r)
		configuration, _ := g.parts.Configuration()
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
		if !g.enterClass(w, class) {
			return
		}
		defer g.flights.leave(classCounter(class.Name))
		call := ingressCall{
			host: g.parts.ServiceHost(service.Name), path: g.parts.OperationPath(operation.Name),
			kind: r.Header.Get("Content-Type"), body: body, timeout: operation.Timeout,
		}
		key := r.Header.Get(KeyHeader)
		if key == "" || operation.Repeatable {
			g.answerCall(w, g.ask(r.Context(), call))
			return
		}
		g.callOnce(w, r, caller, key, call)
	}
}

// answerCall gives a caller the reply of the ingress.
func (g *Gateway) answerCall(w http.ResponseWriter, reply *ingressReply) {
	if !reply.whole(g.parts.Headers.Signature) {
		writeProblem(w, reply.problem())
		return
	}
	writeAnswer(w, permit.Outcome{Status: reply.status, ContentType: reply.header.Get("Content-Type"), Body: reply.body.Bytes()})
}

func writeAnswer(w http.ResponseWriter, outcome permit.Outcome) {
	header := w.Header()
	header.Set(OutcomeHeader, string(Completed))
	if outcome.ContentType != "" {
		header.Set("Content-Type", outcome.ContentType)
	}
	header.Set("Content-Length", strconv.Itoa(len(outcome.Body)))
	w.WriteHeader(outcome.Status)
	// A caller that has gone gets nothing; with its key it asks for the outcome again.
	_, _ = w.Write(outcome.Body)
}

// callOnce runs a request with a key at most once over all its tries.
func (g *Gateway) callOnce(w http.ResponseWriter, r *http.Request, caller policy.Caller, text string, call ingressCall) {
	key, err := permit.ParseKey(text)
	if err == nil {
		err = g.parts.Permits.Check(key, time.Now())
	}
	if err != nil {
		badField(w, KeyHeader, err.Error())
		return
	}
	// Keys of different callers never meet.
	name := caller.Name + "/" + key.Text
	ctx, cancel := context.WithTimeout(r.Context(), call.timeout)
	defer cancel()
	decision, err := g.parts.Permits.Claim(ctx, name, digestOf(call))
	g.parts.Logger.Info("key claimed", zap.String("key", name), zap.String("decision", decisionName(decision)), zap.Error(err))
	switch d := decision.(type) {
	case permit.Granted:
		g.runOnce(w, r.Context(), d, call)
	case permit.Taken:
		g.answerTaken(ctx, w, name)
	case permit.OtherContent:
		writeProblem(w, Problem{status: http.StatusConflict, Code: "key_reused_with_other_content", Field: KeyHeader,
			Message: KeyHeader + ": names a request of other content"})
	default:
		g.refuseClaim(w, err)
	}
}

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

func digestOf(call ingressCall) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(call.host + "\x00" + call.path + "\x00" + call.kind + "\x00")
	_, _ = hash.Write(call.body)
	return hash.Sum64()
}

// runOnce runs a request under its permit and records what it came to. A try
// that has certainly not run gives the permit back before it is answered so: the
// caller comes back with the same key.
func (g *Gateway) runOnce(w http.ResponseWriter, ctx context.Context, granted permit.Granted, call ingressCall) {
	reply := g.ask(ctx, call)
	if !reply.whole(g.parts.Headers.Signature) {
		problem := reply.problem()
		if problem.Outcome == NotExecuted {
			g.giveBack(ctx, granted)
		}
		writeProblem(w, problem)
		return
	}
	outcome := permit.Outcome{Status: reply.status, ContentType: reply.header.Get("Content-Type"), Body: reply.body.Bytes()}
	if len(outcome.Body) <= maxOutcomeBytes {
		settling, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
		defer cancel()
		if err := g.parts.Permits.RecordOutcome(settling, granted, outcome); err != nil {
			g.parts.Logger.Warn("outcome of a key not recorded", zap.Error(err))
		}
	}
	writeAnswer(w, outcome)
}

// giveBack lets a later try with the key run. The caller's answer is due, so that
// it is waited for only a little; if it takes longer, a try that comes meanwhile
// hears that an earlier one may have run.
func (g *Gateway) giveBack(ctx context.Context, granted permit.Granted) {
	releasing, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	done := make(chan struct{})
	go func() {
		defer cancel()
		defer close(done)
		err := g.parts.Permits.Release(releasing, granted)
		g.parts.Logger.Info("key released", zap.String("key", granted.Key()), zap.Error(err))
	}()
	select {
	case <-done:
	case <-time.After(giveBackWait):
	}
}

// answerTaken answers a try whose request an earlier one may have run.
// A planned stop ends the wait for that one's outcome, which may be longer than its grace.
func (g *Gateway) answerTaken(ctx context.Context, w http.ResponseWriter, name string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(g.parts.Stopping, cancel)()
	if outcome, ok := g.parts.Permits.Await(ctx, name); ok {
		writeAnswer(w, outcome)
		return
	}
	problem := problemFor(refusal.V1EarlierAttemptUnknown, "an earlier try with this key may have run, and its outcome is not known")
	problem.ThisTry = notSent
	writeProblem(w, problem)
}

// refuseClaim answers a try that got no permit. It was not sent.
func (g *Gateway) refuseClaim(w http.ResponseWriter, err error) {
	reason := refusal.V1LogUnavailable
	if errors.Is(err, permit.ErrOutcomeUnknown) {
		reason = refusal.V1PermitUnknown
	}
	refuse(w, reason, "no permit for the key")
}
