package handoff

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/requests/forward"
)

const (
	// lastWord is how long a peer has to say whether a request was sent whose time is up,
	// a part of what ingress keeps back for the final answer.
	lastWord = 8 * time.Millisecond
	// offersTimeout is how long a peer has to say where a request is, the end of its patience:
	// several ways there and back inside a zone.
	offersTimeout = 20 * time.Millisecond
	// cancelTimeout bounds the call that ends a request at a peer.
	cancelTimeout = 400 * time.Millisecond
)

// handed is one request that is at a peer.
type handed struct {
	h     *Handoff
	call  *forward.Call
	peer  string
	id    string
	began time.Time
	// granted is how many attempts the peer may make.
	granted int
	// told gets what the peer said, once.
	told chan told
	// leave ends the wait for the peer.
	leave context.CancelFunc
}

// told is a peer's reply, or why there is none.
type told struct {
	reply *Reply
	err   error
}

// result is what the request came to from here.
type result struct {
	answer *forward.Answer
	err    error
}

// handOn has a peer run a call. When that is silent, the request goes direct beside it.
func (h *Handoff) handOn(ctx context.Context, call *forward.Call, peer string) (*forward.Answer, error) {
	left := leftOf(ctx, call)
	if left <= 0 {
		return h.options.Direct.Do(ctx, call)
	}
	run := h.send(ctx, call, peer, left)
	defer run.leave()
	silent := time.NewTimer(min(h.beliefs.patience(peer), left/2) - offersTimeout)
	defer silent.Stop()
	select {
	case got := <-run.told:
		return run.goOn(ctx, run.partOf(got))
	case <-silent.C:
		return run.race(ctx)
	case <-ctx.Done():
		peers := run.timeUp()
		return merge(peers, result{err: peers.failure})
	}
}

// leftOf is how long the caller still waits.
func leftOf(ctx context.Context, call *forward.Call) time.Duration {
	left := time.Hour
	if deadline, bounded := ctx.Deadline(); bounded {
		left = time.Until(deadline)
	}
	if call.Left != nil {
		left = min(left, call.Left())
	}
	return left
}

// send hands the call to the peer, which keeps one attempt for this daemon.
func (h *Handoff) send(ctx context.Context, call *forward.Call, peer string, left time.Duration) *handed {
	// The end of the request must not end the call before the peer's last word.
	asking, leave := context.WithCancel(context.WithoutCancel(ctx))
	run := &handed{h: h, call: call, peer: peer, id: h.nextID(), began: time.Now(), granted: call.MaxAttempts - 1, told: make(chan told, 1), leave: leave}
	asked := Request{
		ID: run.id, From: h.options.Name, Version: h.options.Configuration().Version, Left: left, MaxAttempts: run.granted,
		RequestID: call.RequestID, Method: call.Method, Target: call.Target, Host: call.Host, Caller: call.Caller, Header: call.Header, Body: call.Body,
	}
	go func() {
		reply := &Reply{}
		err := h.options.Peers.Ask(asking, peer, methodRun, asked, reply)
		run.told <- told{reply: reply, err: err}
	}()
	return run
}

// goOn passes the peer's answer on, or sends the request direct with what is left.
func (run *handed) goOn(ctx context.Context, peers part) (*forward.Answer, error) {
	if peers.passable() {
		return peers.answer, nil
	}
	ours := result{err: peers.failure}
	if run.mayGoOn(ctx, peers) {
		ours.answer, ours.err = run.direct(ctx, peers)
	}
	return merge(peers, ours)
}

// mayGoOn reports whether the request may go direct after, or beside, a peer's part.
func (run *handed) mayGoOn(ctx context.Context, peers part) bool {
	if ctx.Err() != nil || peers.final || peers.spent >= run.call.MaxAttempts {
		return false
	}
	return peers.spent == 0 || run.call.MayRetry == nil || run.call.MayRetry(peers.spent)
}

// direct sends the request from here, with the attempts that the peer has left.
func (run *handed) direct(ctx context.Context, peers part) (*forward.Answer, error) {
	call := *run.call
	call.MaxAttempts -= peers.spent
	if peers.failure != nil && peers.failure.Certainty == forward.MayHaveRun {
		call.Avoid = peers.failure.Tried
	}
	if retry := run.call.MayRetry; retry != nil {
		call.MayRetry = func(offers int) bool { return retry(offers + peers.spent) }
	}
	return run.h.options.Direct.Do(ctx, &call)
}

// merge chooses between what the peer and this daemon made of a request.
func merge(peers part, ours result) (*forward.Answer, error) {
	var failure *forward.Failure
	switch {
	case ours.err == nil && ours.answer != nil:
		return ours.answer, nil
	case peers.answer != nil:
		// A replica's own failure, which nothing better has followed.
		return peers.answer, nil
	case ours.err == error(peers.failure) || !errors.As(ours.err, &failure):
		return nil, ours.err
	}
	merged := *failure
	merged.Certainty = max(failure.Certainty, peers.failure.Certainty)
	merged.Attempts += peers.failure.Attempts
	merged.Tried = slices.Compact(slices.Sorted(slices.Values(slices.Concat(failure.Tried, peers.failure.Tried))))
	if merged.Certainty != forward.NotRun {
		merged.Quarantined = nil // that one promises that nothing has run
	}
	return nil, &merged
}

// timeUp ends the peer's run as the caller has left or its time is up, and waits a moment
// for whether the request was sent.
func (run *handed) timeUp() part {
	run.cancel()
	late := time.NewTimer(lastWord)
	defer late.Stop()
	select {
	case got := <-run.told:
		return run.partOf(got)
	case <-late.C:
		cut := run.lost(errors.New("time is up"))
		run.log(outcomeCut, cut.failure.Reason, cut.spent, nil)
		return cut
	}
}

// cancel has the peer end its run.
func (run *handed) cancel() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		var done Done
		if err := run.h.options.Peers.Ask(ctx, run.peer, methodCancel, Cancellation{ID: run.id}, &done); err != nil {
			run.h.options.Logger.Info("request not ended at the peer", zap.String("request", run.call.RequestID), zap.String("peer", run.peer), zap.Error(err))
		}
	}()
}

// log tells in one line how a request ended that was handed on.
func (run *handed) log(outcome, reason string, attempts int, answer *forward.Answer) {
	took, replica := time.Since(run.began), ""
	if answer != nil {
		replica = answer.Replica
	}
	run.h.options.Observe(outcome, took)
	run.h.options.Logger.Info("request handed on", zap.String("request", run.call.RequestID), zap.String("peer", run.peer), zap.String("service", run.call.Services[0]),
		zap.String("outcome", outcome), zap.String("reason", reason), zap.String("replica", replica), zap.Int("attempts", attempts), zap.Duration("took", took))
}
