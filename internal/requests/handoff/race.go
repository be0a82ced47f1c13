package handoff

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/requests/forward"
)

var (
	errSilent        = errors.New("handoff: the peer is silent")
	errReplicaSilent = errors.New("handoff: the peer's replica is silent")
)

// race sends the request direct while the peer is silent. The first answer counts, and the
// other run is ended.
func (run *handed) race(ctx context.Context) (*forward.Answer, error) {
	silent := run.lost(errSilent)
	offers, there := run.offers(ctx)
	select {
	case got := <-run.told:
		return run.goOn(ctx, run.partOf(got))
	default:
	}
	if !run.mayGoOn(ctx, silent) {
		return run.await(ctx)
	}
	silent.failure.Tried = offers
	racing, stop := context.WithCancel(ctx)
	direct := make(chan result, 1)
	go func() {
		answer, err := run.direct(racing, silent)
		direct <- result{answer, err}
	}()
	select {
	case got := <-run.told:
		peers := run.partOf(got)
		if peers.passable() {
			stop()
			go closeLate(direct)
			return peers.answer, nil
		}
		ours := <-direct
		return untilClosed(stop, peers, ours)
	case ours := <-direct:
		if ours.err == nil {
			run.overtaken(there)
			return untilClosed(stop, silent, ours)
		}
		stop()
		return run.awaitAfter(ctx, ours)
	}
}

// offers asks the peer where the request is, so that the direct way leads to another replica,
// and whether it is there itself. Its silence is no error of the call between the daemons: the
// time is short, and others call it as well.
func (run *handed) offers(ctx context.Context) (tried []string, there bool) {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	late := time.AfterFunc(offersTimeout, cancel)
	defer late.Stop()
	var told Offers
	err := run.h.options.Peers.Ask(bounded, run.peer, methodOffers, Inquiry{ID: run.id}, &told)
	if err != nil {
		run.h.options.Logger.Info("peer not heard of the request", zap.String("request", run.call.RequestID), zap.String("peer", run.peer), zap.Error(err))
		return nil, false
	}
	return told.Tried, true
}

// untilClosed merges the parts of a race. The context of an answer whose rest is still to
// come goes with that of the request.
func untilClosed(stop context.CancelFunc, peers part, ours result) (*forward.Answer, error) {
	answer, err := merge(peers, ours)
	if answer == nil || answer.Rest == nil {
		stop()
	}
	return answer, err
}

// closeLate gives back the connection of an answer that came second.
func closeLate(direct <-chan result) {
	if late := <-direct; late.answer != nil {
		late.answer.Close()
	}
}

// await waits for a silent peer to the end, as there is no attempt left.
func (run *handed) await(ctx context.Context) (*forward.Answer, error) {
	return run.awaitAfter(ctx, result{})
}

// awaitAfter waits for the peer to the end, with what came of the request from here.
func (run *handed) awaitAfter(ctx context.Context, ours result) (*forward.Answer, error) {
	select {
	case got := <-run.told:
		peers := run.partOf(got)
		if ours.err == nil {
			ours.err = peers.failure
		}
		if peers.passable() {
			return peers.answer, nil
		}
		return merge(peers, ours)
	case <-ctx.Done():
		peers := run.timeUp()
		if ours.err == nil {
			ours.err = peers.failure
		}
		return merge(peers, ours)
	}
}

// overtaken ends the peer's run, as the request was answered from here meanwhile. A peer that
// is there is not at fault.
func (run *handed) overtaken(there bool) {
	reason := errReplicaSilent.Error()
	if !there {
		rest := run.h.beliefs.silent(run.peer, run.h.options.Clock())
		reason = errSilent.Error() + ", left alone for " + rest.String()
	}
	run.cancel()
	run.log(outcomeOvertook, reason, run.granted, nil)
}
