package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

// callOnOwnPath calls the journal directly and updates the state of the own path from the
// outcome.
func (j *Journal) callOnOwnPath(ctx context.Context, op operation) (reply, error) {
	pending := j.path.begin(time.Now(), op.wait())
	answer, err := op.call(ctx, j.Journal)
	if j.path.finish(pending, err, time.Now()) {
		j.logger.Info("own path to the journal restored")
	}
	return answer, err
}

// callWithFallback calls the journal on the own path, or through a peer while that path is lost.
// If no peer can make the call, it uses the own path after all: in an outage of the whole store
// no path is better.
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

// callUntilPathLost calls the journal on the own path. If lostCh is closed before the answer
// arrives and a peer is available, the call is cancelled: an idempotent one is repeated through a
// peer, any other fails with journal.ErrUnknown, because it may have been executed. If no peer is
// available, it keeps waiting for the own path.
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

// callThroughPeer calls the journal through a peer and counts the outcome. If the error wraps
// errNoPeer, no peer has made the call.
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

// Owners implements journal.Journal. The rows also name the watchers of partitions.
func (j *Journal) Owners(ctx context.Context, group string) ([]journal.Ownership, error) {
	answer, err := j.callWithFallback(ctx, operation{Owners: &ownersCall{Group: group}})
	return answer.Owners, err
}
