package handoff

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/journal/relay"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/upstream"
)

// Names of how requests that were handed on ended, in logs and metrics.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "refused"
	outcomeBusy     = "busy"
	outcomeFailed   = "failed"
	outcomeTooLong  = "too long"
	outcomeLost     = "lost"
	outcomeOvertook = "overtaken"
	outcomeCut      = "cut"
)

// part is what the peer's run of a request came to: an answer or a failure.
type part struct {
	outcome string
	answer  *forward.Answer
	failure *forward.Failure
	// spent is how many attempts it may have used.
	spent int
	// final says that no further replica may be asked.
	final bool
}

// passable reports whether the peer's answer is the one to pass on, if further attempts
// are left.
func (p part) passable() bool {
	return p.answer != nil && p.answer.Status < http.StatusInternalServerError
}

// partOf takes what the peer said into account.
func (run *handed) partOf(got told) part {
	made := run.judge(got)
	now, took := run.h.options.Clock(), time.Since(run.began)
	service := run.call.Services[0]
	reason, attempts := "", made.spent
	switch made.outcome {
	case outcomeAnswered:
		run.h.beliefs.answered(run.peer, took)
		run.h.beliefs.rests(service, upstream.RestOf(made.answer.Header))
	case outcomeTooLong:
		run.h.beliefs.long(service, now)
	case outcomeBusy, outcomeRefused:
		run.h.beliefs.busy(run.peer, now)
	case outcomeLost:
		run.h.beliefs.silent(run.peer, now)
	}
	if made.failure != nil {
		reason = made.failure.Reason
	}
	run.log(made.outcome, reason, attempts, made.answer)
	return made
}

// judge says what a peer's reply, or its lack, amounts to.
func (run *handed) judge(got told) part {
	reply := got.reply
	switch {
	case errors.Is(got.err, relay.ErrNotReached):
		return notRun(outcomeLost, got.err.Error())
	case errors.Is(got.err, relay.ErrRefused):
		// A daemon that knows no such call.
		return notRun(outcomeRefused, got.err.Error())
	case got.err != nil:
		return run.lost(got.err)
	}
	switch reply.Outcome {
	case Answered:
		return part{outcome: outcomeAnswered, spent: reply.Attempts,
			answer: &forward.Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body, Replica: reply.Replica}}
	case Refused:
		return notRun(outcomeRefused, reply.Reason)
	case Busy:
		return notRun(outcomeBusy, reply.Reason)
	case Failed:
		return part{outcome: outcomeFailed, spent: reply.Attempts, final: reply.Alone, failure: failureOf(reply)}
	case TooLong:
		return part{outcome: outcomeTooLong, spent: reply.Attempts, failure: failureOf(reply)}
	default:
		return run.lost(errors.Errorf("handoff: outcome %d of a later version", reply.Outcome))
	}
}

func notRun(outcome, reason string) part {
	return part{outcome: outcome, failure: &forward.Failure{Certainty: forward.NotRun, Reason: reason}}
}

// lost is what a request came to whose peer said nothing: all may have run that it was
// allowed.
func (run *handed) lost(err error) part {
	return part{outcome: outcomeLost, spent: run.granted, failure: &forward.Failure{Certainty: forward.MayHaveRun, Reason: err.Error(), Attempts: run.granted}}
}

func failureOf(reply *Reply) *forward.Failure {
	failure := &forward.Failure{Certainty: forward.NotRun, Reason: reply.Reason, Attempts: reply.Attempts, Tried: reply.Tried}
	if reply.MayHaveRun {
		failure.Certainty = forward.MayHaveRun
	}
	return failure
}
