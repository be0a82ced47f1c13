package forward

import (
	"context"
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

// Errors of an attempt that has no answer to pass on. A declined stream has the error
// ErrDeclined instead of errPlainDeclined.
var (
	errInvalidAnswer = errors.New("forward: unsound answer")
	errPlainDeclined = errors.New("forward: declined")
	errTimeUp        = errors.New("time is up")
)

const (
	// maxBufferedBytes is the length of the longest answer that is read completely before it is
	// passed on.
	maxBufferedBytes = 1 << 20
	// declinedRetryDelay is how long a replica is avoided after it declined a request or had no
	// free connection.
	declinedRetryDelay = 60 * time.Millisecond
)

// result is the outcome of one attempt at one replica. Exactly one of answer and err is set.
type result struct {
	answer     *Answer
	err        error
	mayHaveRun bool
}

// attempt sends the call to one replica. It calls onEnd when the exchange with the replica has
// ended. For an answer with a Remainder, the exchange ends when the answer is closed.
func (f *Forwarder) attempt(ctx context.Context, onEnd func(), call *Call, rep replica.Replica) result {
	f.Table.RequestStarted(rep.Incarnation())
	end := func() {
		onEnd()
		f.Table.RequestEnded(rep.Incarnation())
	}
	started := time.Now()
	answer, sentAt, mayHaveRun, err := f.exchange(ctx, call, rep)
	if mayHaveRun {
		call.OnRun(sentAt)
	}
	outcome := outcomeOf(ctx, err)
	f.Observe(rep.Service, outcome, time.Since(started))
	if err != nil {
		// ctx must be checked before end is called: end cancels ctx, which then no longer tells
		// whether the caller cancelled the attempt.
		cancelled := ctx.Err() != nil
		f.recordFailure(ctx, failedAttempt{requestID: call.RequestID, content: call.content, chosen: rep,
			outcome: outcome, mayHaveRun: mayHaveRun, took: time.Since(started), err: err})
		end()
		if !cancelled {
			f.avoidReplica(rep, err)
		}
		return result{err: err, mayHaveRun: mayHaveRun}
	}
	f.Table.RequestSucceeded(rep.Incarnation(), time.Since(started))
	answer.Replica, answer.endAttempt = rep.ID, end
	if answer.Remainder == nil {
		f.Quarantine.Answered(call.content)
		end()
	}
	return result{answer: answer, mayHaveRun: true}
}

// Outcomes of attempts, as they appear in logs and metrics.
const (
	outcomeAnswered     = "answered"
	outcomeDeclined     = "declined"
	outcomeCancelled    = "cut"
	outcomeNotSent      = "not sent"
	outcomeNoConnection = "no connection"
	outcomeErrorStatus  = "failed"
	outcomeBroken       = "broken"
)

// outcomeOf returns the outcome of an attempt for logs and metrics.
func outcomeOf(ctx context.Context, err error) string {
	switch {
	case err == nil:
		return outcomeAnswered
	case errors.Is(err, errPlainDeclined), errors.Is(err, ErrDeclined):
		return outcomeDeclined
	case ctx.Err() != nil:
		return outcomeCancelled
	case errors.Is(err, upstream.ErrPoolExhausted):
		return outcomeNoConnection
	case errors.Is(err, upstream.ErrNotSent):
		return outcomeNotSent
	case errors.Is(err, ErrStatus):
		return outcomeErrorStatus
	default:
		return outcomeBroken
	}
}

func (f *Forwarder) avoidReplica(rep replica.Replica, err error) {
	if errors.Is(err, errPlainDeclined) || errors.Is(err, upstream.ErrPoolExhausted) {
		f.Table.AvoidFor(rep.Incarnation(), declinedRetryDelay)
		return
	}
	f.Table.RequestFailed(rep.Incarnation())
	f.replicaFailures().Note(logging.Occurrence{Key: rep.ID}, zap.String("service", rep.Service), zap.Error(err))
}

// replicaFailures returns the log episodes that summarize the failures of each replica. A
// failure's effect on a single request is logged separately, as "attempt failed".
func (f *Forwarder) replicaFailures() *logging.Episodes {
	f.failuresOnce.Do(func() { f.failures = logging.NewEpisodes(f.Logger, "replica failed", "replica", "") })
	return f.failures
}

// exchange sends the call to a replica and reads a short answer completely, a long one in part (see
// readAnswer). sentAt is the time by bootclock at which the request was sent, zero if there was no
// connection for it. mayHaveRun reports whether the replica may have run the request.
func (f *Forwarder) exchange(
	ctx context.Context, call *Call, rep replica.Replica,
) (answer *Answer, sentAt time.Time, mayHaveRun bool, err error) {
	header := call.Header.Clone()
	if deadline, bounded := ctx.Deadline(); bounded {
		left := min(time.Until(deadline), call.TimeLeft())
		if left <= 0 {
			return nil, sentAt, false, errors.Wrap(upstream.ErrNotSent, errTimeUp.Error())
		}
		header[http.CanonicalHeaderKey(f.Names.DeadlineMs)] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
	}
	out := &upstream.Request{Header: header, Repeatable: call.Repeatable, ConnectionDeadline: call.ConnectionDeadline}
	response, err := f.roundTrip(ctx, rep, &call.Request, out)
	sentAt = out.SentAt
	if err != nil {
		return nil, sentAt, !errors.Is(err, upstream.ErrNotSent), err
	}
	if f.wasNotRun(response) {
		response.Discard()
		return nil, sentAt, false, errors.Wrapf(errPlainDeclined, "status %d", response.Status)
	}
	if response.Header.Get(f.Names.Signature) == "" {
		response.Close()
		return nil, sentAt, true, errors.Wrapf(errInvalidAnswer, "status %d without a signature", response.Status)
	}
	answer, err = f.readAnswer(call, response)
	if err == nil && answer.Remainder != nil {
		answer.Remainder.onEnd = func(err error) {
			f.recordEnd(ctx, failedAttempt{requestID: call.RequestID, content: call.content, chosen: rep, mayHaveRun: true, err: err})
		}
	}
	return answer, sentAt, true, err
}

// roundTrip completes out with the fields of req, the replica's ID and its limit of connections,
// sends it, and returns the answer once its head has been received.
func (f *Forwarder) roundTrip(ctx context.Context, rep replica.Replica, req *Request, out *upstream.Request) (*upstream.Answer, error) {
	out.Method, out.Target, out.Host, out.Body = req.Method, req.Target, req.Host, req.Body
	out.Header[http.CanonicalHeaderKey(f.Names.ExpectReplica)] = []string{rep.ID}
	out.EchoHeader, out.EchoValue, out.MaxOpen = f.Names.RequestID, req.RequestID, f.MaxConnections(rep)
	out.Abandoned, out.Withdrawn = req.clientLeft, func() bool { return !f.Table.MayGetWork(rep.Entry) }
	answer, err := f.Pool.Exchange(ctx, rep.Address, out)
	if err == nil {
		f.recordLoad(rep, answer.Header)
	}
	return answer, err
}

// recordLoad records the load and the slowdown that a replica reports in an answer.
func (f *Forwarder) recordLoad(rep replica.Replica, header http.Header) {
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

// readAnswer reads an answer completely if it is short and memory can be reserved for it.
// Otherwise it reads the beginning and leaves the rest in Answer.Remainder. If the length of the
// answer is announced, the buffer gets that size in advance, since growing a buffer needs twice
// the memory.
func (f *Forwarder) readAnswer(call *Call, response *upstream.Answer) (*Answer, error) {
	answer := &Answer{Status: response.Status, Header: response.Header}
	announced := response.Length()
	if call.Method == http.MethodHead {
		announced = 0 // the announced length is that of a body that is not sent
	}
	body, whole, err := call.Account.Read(holding.Answers, response, announced, maxBufferedBytes,
		func(n int64) bool { return call.Account.Reserve(holding.Answers, n) })
	if err != nil {
		response.Close()
		return nil, err
	}
	answer.Body = body
	if whole {
		response.Close()
		return answer, nil
	}
	answer.Remainder = &Remainder{Answer: response}
	return answer, nil
}
