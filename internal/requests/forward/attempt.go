package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/logging"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/holding"
	"woodworks/internal/requests/upstream"
)

// Errors of an attempt; each says why no answer could be passed on. A stream that was
// declined has ErrDeclined.
var (
	errUnsound       = errors.New("forward: unsound answer")
	errPlainDeclined = errors.New("forward: declined")
	errTimeUp        = errors.New("time is up")
)

const (
	// bufferedBytes is the longest answer that is held until it is whole.
	bufferedBytes = 1 << 20
	// declinedPause is how long a replica that declined is passed over.
	declinedPause = 60 * time.Millisecond
)

// result is the outcome of one attempt at one replica.
type result struct {
	answer     *Answer
	err        error
	mayHaveRun bool
}

// attempt sends the call to one replica; over is called when the exchange has ended.
func (f *Forwarder) attempt(ctx context.Context, over func(), call *Call, rep replica.Replica) result {
	f.Table.RequestStarted(rep.Incarnation())
	end := func() {
		over()
		f.Table.RequestEnded(rep.Incarnation())
	}
	started := time.Now()
	answer, sentAt, mayHaveRun, err := f.exchange(ctx, call, rep)
	if mayHaveRun {
		call.Ran(sentAt)
	}
	outcome := outcomeOf(ctx, err)
	f.Observe(rep.Service, outcome, time.Since(started))
	if err != nil {
		// The end below cancels the attempt's context, which then says nothing of the caller.
		cut := ctx.Err() != nil
		f.noteFailure(ctx, failedAttempt{requestID: call.RequestID, content: call.content, chosen: rep,
			outcome: outcome, mayHaveRun: mayHaveRun, after: time.Since(started), err: err})
		end()
		if !cut {
			f.learn(rep, err)
		}
		return result{err: err, mayHaveRun: mayHaveRun}
	}
	f.Table.RequestSucceeded(rep.Incarnation(), time.Since(started))
	answer.Replica, answer.end = rep.ID, end
	if answer.Rest == nil {
		f.Quarantine.Answered(call.content)
		end()
	}
	return result{answer: answer, mayHaveRun: true}
}

// Names of how attempts end, in logs and metrics.
const (
	outcomeAnswered = "answered"
	outcomeDeclined = "declined"
	outcomeCut      = "cut"
	outcomeNotSent  = "not sent"
	outcomeFull     = "no connection"
	outcomeFailed   = "failed"
	outcomeBroken   = "broken"
)

// outcomeOf names how an attempt ended.
func outcomeOf(ctx context.Context, err error) string {
	switch {
	case err == nil:
		return outcomeAnswered
	case errors.Is(err, errPlainDeclined), errors.Is(err, ErrDeclined):
		return outcomeDeclined
	case ctx.Err() != nil:
		return outcomeCut
	case errors.Is(err, upstream.ErrFull):
		return outcomeFull
	case errors.Is(err, upstream.ErrNotSent):
		return outcomeNotSent
	case errors.Is(err, ErrStatus):
		return outcomeFailed
	default:
		return outcomeBroken
	}
}

func (f *Forwarder) learn(rep replica.Replica, err error) {
	if errors.Is(err, errPlainDeclined) || errors.Is(err, upstream.ErrFull) {
		f.Table.AvoidFor(rep.Incarnation(), declinedPause)
		return
	}
	f.Table.RequestFailed(rep.Incarnation())
	f.failures().Note(logging.Occurrence{Key: rep.ID}, zap.String("service", rep.Service), zap.Error(err))
}

// failures sums the failures of each replica; what they did to a request is in its
// "attempt failed".
func (f *Forwarder) failures() *logging.Episodes {
	f.failedOnce.Do(func() { f.failed = logging.NewEpisodes(f.Logger, "replica failed", "replica", "") })
	return f.failed
}

// exchange sends the call and reads the answer, whole if it is short.
func (f *Forwarder) exchange(
	ctx context.Context, call *Call, rep replica.Replica,
) (answer *Answer, sentAt time.Time, mayHaveRun bool, err error) {
	header := call.Header.Clone()
	if deadline, bounded := ctx.Deadline(); bounded {
		left := min(time.Until(deadline), call.Left())
		if left <= 0 {
			return nil, sentAt, false, errors.Wrap(upstream.ErrNotSent, errTimeUp.Error())
		}
		header[http.CanonicalHeaderKey(f.Names.DeadlineMs)] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
	}
	out := &upstream.Request{Header: header, Repeatable: call.Repeatable, ConnectionDeadline: call.ConnectionUntil}
	response, err := f.ask(ctx, rep, &call.Request, out)
	sentAt = out.SentAt
	if err != nil {
		return nil, sentAt, !errors.Is(err, upstream.ErrNotSent), err
	}
	if f.notRun(response) {
		// An error shows as the connection is given back.
		_, _ = io.Copy(io.Discard, io.LimitReader(response, bufferedBytes))
		response.Close()
		return nil, sentAt, false, errors.Wrapf(errPlainDeclined, "status %d", response.Status)
	}
	if response.Header.Get(f.Names.Signature) == "" {
		response.Close()
		return nil, sentAt, true, errors.Wrapf(errUnsound, "status %d without a signature", response.Status)
	}
	answer, err = f.readAnswer(call, response)
	if err == nil && answer.Rest != nil {
		answer.Rest.ended = func(err error) {
			f.noteEnd(ctx, failedAttempt{requestID: call.RequestID, content: call.content, chosen: rep, mayHaveRun: true, err: err})
		}
	}
	return answer, sentAt, true, err
}

// ask completes what is sent to a replica for a request, sends it, and returns the answer once
// its head has come.
func (f *Forwarder) ask(ctx context.Context, rep replica.Replica, req *Request, out *upstream.Request) (*upstream.Answer, error) {
	out.Method, out.Target, out.Host, out.Body = req.Method, req.Target, req.Host, req.Body
	out.Header[http.CanonicalHeaderKey(f.Names.ExpectReplica)] = []string{rep.ID}
	out.EchoHeader, out.EchoValue, out.MaxOpen = f.Names.RequestID, req.RequestID, f.MaxOpen(rep)
	answer, err := f.Pool.Exchange(ctx, rep.Address, out)
	if err == nil {
		f.noteLoad(rep, answer.Header)
	}
	return answer, err
}

// noteLoad notes what an answer tells of its replica's load.
func (f *Forwarder) noteLoad(rep replica.Replica, header http.Header) {
	if f.Names.DecodeLoad == nil {
		return
	}
	load, ok := f.Names.DecodeLoad(header)
	if !ok {
		return
	}
	f.Table.ReportLoad(rep.Incarnation(), load.Running+load.Waiting)
	if load.Slowdown > 0 {
		f.Table.ReportSlowdown(rep.Incarnation(), load.Slowdown)
	}
}

// readAnswer reads an answer whole if it is short and there is room for it, else its
// beginning. One that announces its length is read into one buffer of that size: growing
// one costs twice the length.
func (f *Forwarder) readAnswer(call *Call, response *upstream.Answer) (*Answer, error) {
	answer := &Answer{Status: response.Status, Header: response.Header}
	announced := response.Length()
	if call.Method == http.MethodHead {
		announced = 0 // it tells the length of what does not come
	}
	body, whole, err := call.Account.Read(holding.Answers, response, announced, bufferedBytes,
		func(n int64) bool { return call.Account.Take(holding.Answers, n) })
	if err != nil {
		response.Close()
		return nil, err
	}
	answer.Body = body
	if whole {
		response.Close()
		return answer, nil
	}
	answer.Rest = &Rest{Answer: response}
	return answer, nil
}
