package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

// call is one call of a journal with its two ways.
type call[T any] struct {
	// operation is the call as a peer gets it, take its answer out of a peer's reply.
	operation operation
	take      func(answer reply) T
	// own makes the call on the own path.
	own func(ctx context.Context) (T, error)
	// repeatable calls change nothing, or nothing more when made again.
	repeatable bool
	// wait is how long a read waits for records.
	wait time.Duration
}

// make makes the call on the own path while that stands, and through a peer while it
// does not. With no peer that helps, the own path is tried all the same: in an outage
// of the whole store it is as good as any.
func (c call[T]) make(ctx context.Context, j *Journal) (T, error) {
	lost, lostCh := j.path.state()
	if !lost {
		return c.makeUntil(ctx, j, lostCh)
	}
	answer, err := c.throughPeer(ctx, j)
	if errors.Is(err, errNoPeer) {
		return viaOwn(j, c.wait, func() (T, error) { return c.own(ctx) })
	}
	return answer, err
}

// makeUntil makes the call on the own path. If that is lost meanwhile, the call is
// repeated through a peer if it is repeatable, and of unknown outcome otherwise.
func (c call[T]) makeUntil(ctx context.Context, j *Journal, lostCh <-chan struct{}) (T, error) {
	type outcome struct {
		answer T
		err    error
	}
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan outcome, 1)
	go func() {
		answer, err := viaOwn(j, c.wait, func() (T, error) { return c.own(bounded) })
		done <- outcome{answer, err}
	}()
	select {
	case out := <-done:
		return out.answer, out.err
	case <-lostCh:
	}
	if !j.peers.any() {
		out := <-done
		return out.answer, out.err
	}
	cancel()
	if !c.repeatable {
		var none T
		return none, errors.Wrap(journal.ErrUnknown, "relay: the path was lost")
	}
	answer, err := c.throughPeer(ctx, j)
	if errors.Is(err, errNoPeer) {
		return answer, errors.Wrap(journal.ErrUnknown, err.Error())
	}
	return answer, err
}

// throughPeer makes the call through a peer. An error that wraps errNoPeer says that no
// peer has made it.
func (c call[T]) throughPeer(ctx context.Context, j *Journal) (T, error) {
	answer, err := j.peers.call(ctx, c.operation, c.wait)
	if !errors.Is(err, errNoPeer) {
		j.counts.note(err)
	}
	return c.take(answer), err
}

// Append implements journal.Journal.
func (j *Journal) Append(ctx context.Context, request journal.Append) (journal.Appended, error) {
	return call[journal.Appended]{
		operation: operation{Append: &request}, take: func(answer reply) journal.Appended { return answer.Appended },
		own: func(ctx context.Context) (journal.Appended, error) { return j.Journal.Append(ctx, request) },
	}.make(ctx, j)
}

// Read implements journal.Journal.
func (j *Journal) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	return call[journal.Records]{
		operation: operation{Read: &request}, take: func(answer reply) journal.Records { return answer.Records },
		own:        func(ctx context.Context) (journal.Records, error) { return j.Journal.Read(ctx, request) },
		repeatable: true, wait: request.Wait,
	}.make(ctx, j)
}

// Newest implements journal.Journal.
func (j *Journal) Newest(ctx context.Context, partition journal.Partition, afterKey string) (journal.KeyedPage, error) {
	return call[journal.KeyedPage]{
		operation: operation{Newest: &newestCall{Partition: partition, After: afterKey}},
		take:      func(answer reply) journal.KeyedPage { return answer.Page },
		own: func(ctx context.Context) (journal.KeyedPage, error) {
			return j.Journal.Newest(ctx, partition, afterKey)
		},
		repeatable: true,
	}.make(ctx, j)
}

// Join implements journal.Journal. A member that joins twice has joined once.
func (j *Journal) Join(ctx context.Context, request journal.Join) (journal.Assignment, error) {
	return call[journal.Assignment]{
		operation: operation{Join: &request}, take: func(answer reply) journal.Assignment { return answer.Assignment },
		own:        func(ctx context.Context) (journal.Assignment, error) { return j.Journal.Join(ctx, request) },
		repeatable: true,
	}.make(ctx, j)
}

// Leave implements journal.Journal.
func (j *Journal) Leave(ctx context.Context, group, member string) error {
	_, err := call[struct{}]{
		operation: operation{Leave: &leaveCall{Group: group, Member: member}}, take: func(reply) struct{} { return struct{}{} },
		own:        func(ctx context.Context) (struct{}, error) { return struct{}{}, j.Journal.Leave(ctx, group, member) },
		repeatable: true,
	}.make(ctx, j)
	return err
}

// Owners implements journal.Journal.
func (j *Journal) Owners(ctx context.Context, group string) ([]journal.Ownership, error) {
	return call[[]journal.Ownership]{
		operation: operation{Owners: &ownersCall{Group: group}}, take: func(answer reply) []journal.Ownership { return answer.Owners },
		own:        func(ctx context.Context) ([]journal.Ownership, error) { return j.Journal.Owners(ctx, group) },
		repeatable: true,
	}.make(ctx, j)
}
