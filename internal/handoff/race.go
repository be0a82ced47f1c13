package handoff

import (
	"context"

	"github.com/pkg/errors"

	"woodworks/internal/forward"
)

var errSilent = errors.New("handoff: the peer is silent")

// race sends the request direct while the peer is silent. The first answer counts, and the
// other run is ended.
func (run *handed) race(ctx context.Context) (*forward.Answer, error) {
	silent := run.lost(errSilent)
	if !run.mayGoOn(ctx, silent) {
		return run.await(ctx)
	}
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
			run.overtaken()
			return untilClosed(stop, silent, ours)
		}
		stop()
		return run.awaitAfter(ctx, ours)
	}
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

// overtaken ends the peer's run, as the request was answered from here meanwhile.
func (run *handed) overtaken() {
	rest := run.h.beliefs.silent(run.peer, run.h.options.Clock())
	run.cancel()
	run.log(outcomeOvertook, errSilent.Error()+", left alone for "+rest.String(), run.granted, nil)
}
