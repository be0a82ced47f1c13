package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

// callOnOwnPath makes a call on the own path and learns from its outcome.
func (j *Journal) callOnOwnPath(ctx context.Context, op operation) (reply, error) {
	expected := j.path.begin(time.Now(), op.wait())
	answer, err := op.call(ctx, j.Journal)
	if j.path.finish(expected, err, time.Now()) {
		j.logger.Info("own path to the journal is back")
	}
	return answer, err
}

// callWithFallback makes a call on the own path while that stands, and through a peer while it
// does not. With no peer that helps, the own path is tried all the same: in an outage
// of the whole store it is as good as any.
func (j *Journal) callWithFallback(ctx context.Context, op operation) (reply, error) {
	lost, lostCh := j.path.state()
	if !lost {
		return j.callUntilPathLost(ctx, op, lostCh)
	}
	answer, err := j.callThroughPeer(ctx, op)
	if errors.Is(err, errNoPeer) {
		return j.callOnOwnPath(ctx, op)
	}
	return answer, err
}

// callUntilPathLost makes a call on the own path. If that is lost meanwhile, the call is
// repeated through a peer if it is repeatable, and of unknown outcome otherwise.
func (j *Journal) callUntilPathLost(ctx context.Context, op operation, lostCh <-chan struct{}) (reply, error) {
	type outcome struct {
		answer reply
		err    error
	}
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan outcome, 1)
	go func() {
		answer, err := j.callOnOwnPath(bounded, op)
		done <- outcome{answer, err}
	}()
	select {
	case out := <-done:
		return out.answer, out.err
	case <-lostCh:
	}
	if !j.peers.hasAvailable() {
		out := <-done
		return out.answer, out.err
	}
	cancel()
	if !op.isIdempotent() {
		return reply{}, errors.Wrap(journal.ErrUnknown, "relay: the path was lost")
	}
	answer, err := j.callThroughPeer(ctx, op)
	if errors.Is(err, errNoPeer) {
		return reply{}, errors.Wrap(journal.ErrUnknown, err.Error())
	}
	return answer, err
}

// callThroughPeer makes a call through a peer. An error that wraps errNoPeer says that no
// peer has made it.
func (j *Journal) callThroughPeer(ctx context.Context, op operation) (reply, error) {
	answer, err := j.peers.relay(ctx, op)
	switch {
	case err == nil:
		j.RelayedCalls.Add(1)
	case !errors.Is(err, errNoPeer):
		j.FailedRelayedCalls.Add(1)
	}
	return answer, err
}

// Append implements journal.Journal.
func (j *Journal) Append(ctx context.Context, request journal.Append) (journal.Appended, error) {
	answer, err := j.callWithFallback(ctx, operation{Append: &request})
	return answer.Appended, err
}

// Read implements journal.Journal.
func (j *Journal) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	answer, err := j.callWithFallback(ctx, operation{Read: &request})
	return answer.Records, err
}

// Newest implements journal.Journal.
func (j *Journal) Newest(ctx context.Context, partition journal.Partition, afterKey string) (journal.KeyedPage, error) {
	answer, err := j.callWithFallback(ctx, operation{Newest: &newestCall{Partition: partition, After: afterKey}})
	return answer.Page, err
}

// Join implements journal.Journal.
func (j *Journal) Join(ctx context.Context, request journal.Join) (journal.Assignment, error) {
	answer, err := j.callWithFallback(ctx, operation{Join: &request})
	return answer.Assignment, err
}

// Leave implements journal.Journal.
func (j *Journal) Leave(ctx context.Context, group, member string) error {
	_, err := j.callWithFallback(ctx, operation{Leave: &leaveCall{Group: group, Member: member}})
	return err
}

// Owners implements journal.Journal. The group's rows tell the watchers of partitions.
func (j *Journal) Owners(ctx context.Context, group string) ([]journal.Ownership, error) {
	answer, err := j.callWithFallback(ctx, operation{Owners: &ownersCall{Group: group}})
	return answer.Owners, err
}
