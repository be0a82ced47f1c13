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
	partition := r.batches.Of(batchID)
	if offset, known := beginningOf(partition, batchID); known {
		return offset, nil
	}
	if r.peers == nil {
		return 0, errors.Wrap(ErrBehind, "there is nobody to ask")
	}
	holder, known := r.holders.OwnerOf(ctx, partition.Name())
	if !known || holder == r.self {
		return 0, errors.Wrap(ErrBehind, "nobody else watches the partition")
	}
	told, err := askHolder[Beginning](ctx, r, holder, methodBeginning, BeginningQuery{BatchID: batchID}, 0)
	if err == nil && !told.Found {
		err = errors.Wrap(ErrBehind, "the holder does not know the batch")
	}
	return told.Offset, err
}

// beginningHere answers from the fold of this daemon.
func (r *Reader) beginningHere(ctx context.Context, query BeginningQuery) (Beginning, error) {
	partition := r.batches.Of(query.BatchID)
	offset, known := beginningOf(partition, query.BatchID)
	if known {
		return Beginning{Found: true, Offset: offset}, nil
	}
	if err := catchUp(ctx, partition); err != nil {
		return Beginning{}, err
	}
	offset, known = beginningOf(partition, query.BatchID)
	return Beginning{Found: known, Offset: offset}, nil
}

// beginningOf returns where a batch begins that the fold knows.
func beginningOf(partition *ledger.Partition, batchID string) (offset int64, found bool) {
	partition.View(func(state *batch.State) {
		if known, ok := state.Get(batchID); ok {
			offset, found = known.Offset, true
		}
	})
	return offset, found
}
