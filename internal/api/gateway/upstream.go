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

// maxReplyBytes is the maximum size of a back end's answer.
const maxReplyBytes = 8 << 20

// QuarantinedHeader is set by the ingress if it refuses a request because of its content. Its value
// is the number of replicas that ended while they ran that content.
const QuarantinedHeader = "Woodworks-Quarantined"

// ingressCall is a request to be sent to the ingress. Its timeout is passed on as the deadline.
type ingressCall struct {
	host        string
	path        string
	contentType string
	body        []byte
	timeout     time.Duration
}

// newIngressRequest returns the HTTP request of a call. It has a new request ID and, of the
// caller's headers, only the content type.
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

// ingressReply is an http.ResponseWriter that buffers what the ingress answers: the answer of a
// back end, or an error of the ingress itself.
type ingressReply struct {
	header http.Header
	status int
	body   bytes.Buffer
	// truncated is set if the answer broke off or exceeded maxReplyBytes.
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

// callIngress sends a call to the ingress and returns the buffered reply. If the ingress panics
// with http.ErrAbortHandler, the reply is marked as truncated.
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

// isComplete reports whether the reply is the complete answer of a back end, which has the
// signature header.
func (r *ingressReply) isComplete(signatureHeader string) bool {
	return !r.truncated && r.header.Get(signatureHeader) != ""
}

// problem returns the problem of a reply that is not complete.
func (r *ingressReply) problem() Problem {
	if r.truncated {
		return refusalProblem(refusal.V1AnswerIncomplete, "the back end's answer did not come whole")
	}
	return ingressProblem(r.status, r.header)
}

// withRetryAfter returns the reason with the retry delay in the ingress's answer, or unchanged if
// the answer has no valid one.
func withRetryAfter(reason refusal.Reason, header http.Header) refusal.Reason {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		return reason
	}
	return reason.WithRetryAfter(time.Duration(seconds * float64(time.Second)))
}

// ingressProblem converts an error that the ingress has answered to a problem.
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
