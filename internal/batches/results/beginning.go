package results

import (
	"context"

	"github.com/pkg/errors"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
)

// BeginningQuery asks where a batch begins in its partition.
type BeginningQuery struct{ BatchID string }

// Beginning is the offset of the first record about a batch.
type Beginning struct {
	Found  bool
	Offset int64
}

// Beginning returns the offset at which a batch begins in its partition, as the holder of
// the partition or this daemon's own fold knows it. The error wraps ErrBehind, also where
// nobody knows of the batch.
func (r *Reader) Beginning(ctx context.Context, batchID string) (int64, error) {
	partition := r.ledger.Of(batchID)
	if offset, ok := beginningOf(partition, batchID); ok {
		return offset, nil
	}
	if r.peers == nil {
		return 0, errors.Wrap(ErrBehind, "there is nobody to ask")
	}
	watcher, ok := r.watchers.WatcherOf(ctx, partition.Name())
	if !ok || watcher == r.self {
		return 0, errors.Wrap(ErrBehind, "nobody else watches the partition")
	}
	beginning, err := callWatcher[Beginning](ctx, r, watcher, methodBeginning, BeginningQuery{BatchID: batchID}, 0)
	if err == nil && !beginning.Found {
		err = errors.Wrap(ErrBehind, "the holder does not know the batch")
	}
	return beginning.Offset, err
}

// beginningHere answers from the fold of this daemon.
func (r *Reader) beginningHere(ctx context.Context, query BeginningQuery) (Beginning, error) {
	partition := r.ledger.Of(query.BatchID)
	offset, ok := beginningOf(partition, query.BatchID)
	if ok {
		return Beginning{Found: true, Offset: offset}, nil
	}
	if err := catchUp(ctx, partition); err != nil {
		return Beginning{}, err
	}
	offset, ok = beginningOf(partition, query.BatchID)
	return Beginning{Found: ok, Offset: offset}, nil
}

// beginningOf returns where a batch begins that the fold knows.
func beginningOf(partition *ledger.Partition, batchID string) (offset int64, found bool) {
	partition.View(func(state *batch.State) {
		if b, ok := state.Get(batchID); ok {
			offset, found = b.Offset, true
		}
	})
	return offset, found
}
