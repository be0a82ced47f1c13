package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"woodworks/internal/requests/refusal"
)

// maxReplyBytes bounds a back end's answer, in bytes.
const maxReplyBytes = 8 << 20

// QuarantinedHeader is how the ingress says that a request was refused for its content's
// sake, and how many replicas have ended under it.
const QuarantinedHeader = "Woodworks-Quarantined"

// ingressCall is a request to the ingress.
type ingressCall struct {
	host        string
	path        string
	contentType string
	body        []byte
	timeout     time.Duration
}

// newIngressRequest makes the ingress' newIngressRequest. It carries nothing of the caller's
// headers but the content type.
func (g *Gateway) newIngressRequest(ctx context.Context, a ingressCall) *http.Request {
	header := http.Header{}
	header.Set(g.deps.Headers.RequestID, g.deps.NewID())
	if a.contentType != "" {
		header.Set("Content-Type", a.contentType)
	}
	header.Set(g.deps.Headers.DeadlineMs, strconv.FormatInt(a.timeout.Milliseconds(), 10))
	r := &http.Request{
		Method: http.MethodPost, Host: a.host, RequestURI: a.path, URL: &url.URL{Path: a.path}, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: io.NopCloser(bytes.NewReader(a.body)), ContentLength: int64(len(a.body)),
	}
	return r.WithContext(ctx)
}

// ingressReply is an http.ResponseWriter that takes what the ingress answers: a back end's
// whole answer, or its own word on why there is none.
type ingressReply struct {
	header http.Header
	status int
	body   bytes.Buffer
	// truncated says that the answer broke off, or was longer than the bound.
	truncated bool
}

func (r *ingressReply) Header() http.Header    { return r.header }
func (r *ingressReply) WriteHeader(status int) { r.status = status }

func (r *ingressReply) Write(content []byte) (int, error) {
	if r.status == 0 {
		r.status = http.StatusOK
	}
	if r.body.Len()+len(content) > maxReplyBytes {
		r.truncated = true
		return 0, io.ErrShortWrite
	}
	return r.body.Write(content)
}

// callIngress sends a request to the ingress and takes the whole answer.
func (g *Gateway) callIngress(ctx context.Context, a ingressCall) (reply *ingressReply) {
	reply = &ingressReply{header: http.Header{}}
	defer func() {
		switch aborted := recover(); aborted {
		case nil:
		case http.ErrAbortHandler:
			reply.truncated = true
		default:
			panic(aborted)
		}
	}()
	g.deps.Ingress.ServeHTTP(reply, g.newIngressRequest(ctx, a))
	return reply
}

// isComplete reports whether the reply is a back end's isComplete answer.
func (r *ingressReply) isComplete(stamp string) bool {
	return !r.truncated && r.header.Get(stamp) != ""
}

// problem is what to tell a caller of a reply that is no back end's answer.
func (r *ingressReply) problem() Problem {
	if r.truncated {
		return refusalProblem(refusal.V1AnswerIncomplete, "the back end's answer did not come whole")
	}
	return ingressProblem(r.status, r.header)
}

// withRetryAfter is a refusal of the ingress with the time to return that it told the caller.
func withRetryAfter(reason refusal.Reason, header http.Header) refusal.Reason {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		return reason
	}
	return reason.WithRetryAfter(time.Duration(seconds * float64(time.Second)))
}

// ingressProblem turns a final answer of the ingress into a problem.
func ingressProblem(status int, header http.Header) Problem {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		problem := refusalProblem(withRetryAfter(refusal.V1NoReplica, header), "no replica of the service took the request")
		if ended := header.Get(QuarantinedHeader); ended != "" {
			problem = refusalProblem(withRetryAfter(refusal.V1Quarantined, header),
				ended+" replicas of the service ended while they ran this content")
		}
		problem.status, problem.Outcome = status, NotExecuted
		return problem
	case http.StatusNotFound:
		return Problem{status: status, Code: "unknown_service", Message: "the configuration in force has no such service",
			Outcome: NotExecuted}
	case http.StatusGatewayTimeout:
		return refusalProblem(refusal.V1TimedOut, "no whole answer came in time")
	default:
		return refusalProblem(refusal.V1BackEndFailed, "no replica gave a whole answer")
	}
}
