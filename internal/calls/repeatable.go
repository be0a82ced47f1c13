package calls

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/backend/plain"
	"woodworks/internal/policy"
	"woodworks/internal/sendgate"
)

// tryResult is what became of one try of a repeatable request.
type tryResult struct {
	machine string
	answer  plain.Answer
	// refusal is set if no replica could be reached.
	refusal *Outcome
	err     error
}

// repeatable sends a request that may run more than once: it retries within
// the budget while the policy says so, and starts a second try beside a slow
// first one where the operation asks for it.
func (sender *Sender) repeatable(ctx context.Context, request Request) Outcome {
	// Tries that lost a race are cancelled when the request ends.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan tryResult, maxTries)
	excluded := map[string]bool{}
	maySent := false
	started := 1
	pending := 1
	go sender.try(ctx, request, nil, results)
	hedge := hedgeTimer(request.Operation.Hedge)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if started < maxTries && sender.mayRetry() {
				started++
				pending++
				go sender.try(ctx, request, nil, results)
			}
		case result := <-results:
			pending--
			if result.err == nil && result.refusal == nil {
				return completed(result.answer)
			}
			if result.err != nil {
				maySent = maySent || !errors.Is(result.err, plain.ErrUnreachable)
				excluded[result.machine] = true
			}
			if result.refusal == nil && started < maxTries && sender.retryAllowed(ctx, request, started) {
				started++
				pending++
				go sender.try(ctx, request, copyOf(excluded), results)
				continue
			}
			if pending == 0 {
				return sender.lastOutcome(request, result, maySent)
			}
		case <-ctx.Done():
			return sender.outOfTime(request, results, pending, maySent)
		}
	}
}

// maxTries bounds the tries of one request, hedges included.
const maxTries = 4

func hedgeTimer(after time.Duration) *time.Timer {
	timer := time.NewTimer(max(after, time.Nanosecond))
	if after <= 0 {
		timer.Stop()
	}
	return timer
}

func copyOf(excluded map[string]bool) map[string]bool {
	copied := make(map[string]bool, len(excluded))
	for name := range excluded {
		copied[name] = true
	}
	return copied
}

func (sender *Sender) retryAllowed(ctx context.Context, request Request, tries int) bool {
	if ctx.Err() != nil {
		return false
	}
	action := sender.catalog.Policy().OnFailure(request.Service, request.Operation.Name, tries)
	return action == policy.ActionRetry && sender.mayRetry()
}

// try makes one try and puts its result into the channel, which has room.
func (sender *Sender) try(ctx context.Context, request Request, excluded map[string]bool, results chan<- tryResult) {
	open, refusal := sender.reach(ctx, request, excluded)
	if refusal != nil {
		results <- tryResult{refusal: refusal}
		return
	}
	if !sender.confirmed() {
		open.abandon()
		outcome := failed(NotExecuted, CodeUnconfirmed, defaultRetryAfter, "this daemon cannot confirm its configuration")
		results <- tryResult{refusal: &outcome}
		return
	}
	machine := open.grant.Machine
	answer, err := sender.send(ctx, open, &sendgate.Gate{}, request, sender.newAttemptID())
	results <- tryResult{machine: machine, answer: answer, err: err}
}

// lastOutcome is the outcome once no try is left.
func (sender *Sender) lastOutcome(request Request, last tryResult, maySent bool) Outcome {
	if maySent {
		return failed(Unknown, CodeBackEndFailed, sender.dispatcher.RetryAfter(request.Service), "every try at %q failed; the last: %v", request.Service, last.err)
	}
	if last.refusal != nil {
		return *last.refusal
	}
	return failed(NotExecuted, CodeUnreachable, sender.dispatcher.RetryAfter(request.Service), "no replica of %q could be reached", request.Service)
}

// outOfTime waits for the cancelled tries to say whether they had sent
// anything, which they do at once, and gives the final outcome.
func (sender *Sender) outOfTime(request Request, results <-chan tryResult, pending int, maySent bool) Outcome {
	last := tryResult{}
	for range pending {
		last = <-results
		if last.err == nil && last.refusal == nil {
			return completed(last.answer)
		}
		maySent = maySent || (last.err != nil && !errors.Is(last.err, plain.ErrUnreachable))
	}
	return sender.lastOutcome(request, last, maySent)
}
