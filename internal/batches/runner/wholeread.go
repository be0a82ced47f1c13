package runner

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"woodworks/internal/batches/ledger"
	"woodworks/internal/journal"
)

// wholeReads holds the reads of whole partitions in progress, one per partition: batches of one
// partition that are adopted together share its read. The zero value is ready for use.
type wholeReads struct {
	mu    sync.Mutex
	reads map[journal.Partition]*wholeRead
}

// wholeRead reads a partition page by page up to its end. It ends early if nobody waits for it any
// more, so that it takes no bandwidth from what made it superfluous. err is set before done is closed;
// the mutex of wholeReads guards waiters.
type wholeRead struct {
	cancel  context.CancelFunc
	done    chan struct{}
	err     error
	waiters int
}

// read returns once the partition's fold holds every record that was in the partition at the time of
// the call. The error wraps ledger.ErrNotCaughtUp.
func (w *wholeReads) read(ctx context.Context, partition *ledger.Partition) error {
	read := w.join(ctx, partition)
	defer w.leave(partition.Name(), read)
	select {
	case <-read.done:
	case <-ctx.Done():
		return errors.Wrap(ledger.ErrNotCaughtUp, ctx.Err().Error())
	}
	if read.err != nil {
		return read.err
	}
	// The last page may have been requested before this call.
	return partition.CatchUp(ctx)
}

// join returns the read of a partition. It starts one if none is in progress.
func (w *wholeReads) join(ctx context.Context, partition *ledger.Partition) *wholeRead {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reads == nil {
		w.reads = map[journal.Partition]*wholeRead{}
	}
	read := w.reads[partition.Name()]
	if read == nil {
		detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
		read = &wholeRead{cancel: cancel, done: make(chan struct{})}
		w.reads[partition.Name()] = read
		go func() {
			defer close(read.done)
			read.err = readPages(detached, partition)
		}()
	}
	read.waiters++
	return read
}

// leave records that a caller does not wait for a read any more. After the last one, the read ends,
// and the next caller starts another.
func (w *wholeReads) leave(name journal.Partition, read *wholeRead) {
	w.mu.Lock()
	defer w.mu.Unlock()
	read.waiters--
	if read.waiters > 0 {
		return
	}
	read.cancel()
	if w.reads[name] == read {
		delete(w.reads, name)
	}
}

// readPages reads a partition page by page up to its end. Unlike a CatchUp, it ends with ctx.
func readPages(ctx context.Context, partition *ledger.Partition) error {
	for {
		if err := partition.ReadPage(ctx); err != nil {
			return err
		}
		if missing, known := partition.MissingBytes(); known && missing == 0 {
			return nil
		}
	}
}
