package runner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/journal"
)

const (
	// takeOverTimeout bounds a takeover, and a read that confirms an owner's silence.
	takeOverTimeout = 1500 * time.Millisecond
	// confirmTimeout is how long one call of confirmSilence waits for its reads.
	confirmTimeout = 300 * time.Millisecond
)

// confirmations holds the reads in progress that confirm the silence of owners, one per partition.
// The zero value is ready for use.
type confirmations struct {
	mu    sync.Mutex
	reads map[journal.Partition]*confirmation
}

// confirmation is one read up to the end of a partition.
type confirmation struct {
	began time.Time
	// ended is closed once err is set.
	ended chan struct{}
	err   error
}

// begin returns the confirming read of a partition. It starts one if none is in progress.
func (c *confirmations) begin(ctx context.Context, partition *ledger.Partition) *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if read := c.reads[partition.Name()]; read != nil {
		return read
	}
	if c.reads == nil {
		c.reads = map[journal.Partition]*confirmation{}
	}
	read := &confirmation{began: time.Now(), ended: make(chan struct{})}
	c.reads[partition.Name()] = read
	go func() {
		bounded, cancel := context.WithTimeout(ctx, takeOverTimeout)
		defer cancel()
		read.err = partition.CatchUp(bounded)
		close(read.ended)
	}()
	return read
}

// take reports whether the read of a partition has ended. A read that has ended is removed, so
// that the next check starts another one.
func (c *confirmations) take(name journal.Partition, read *confirmation) bool {
	select {
	case <-read.ended:
	default:
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reads[name] == read {
		delete(c.reads, name)
	}
	return true
}

// confirmSilence returns the suspects that are still silent after a read up to the end of their
// partition. The long polls of followers alone would show silence late or not at all.
//
// It waits at most confirmTimeout, so that one partition does not delay the others. A read that
// takes longer continues and counts at a later call: a slow machine would otherwise start one read
// after the other and never take a batch over.
func (r *Runner) confirmSilence(ctx context.Context, suspects []observation) (confirmed []observation) {
	reads := map[journal.Partition]*confirmation{}
	for _, suspect := range suspects {
		if reads[suspect.partition] == nil {
			reads[suspect.partition] = r.confirmations.begin(ctx, r.ledger.Partition(suspect.partition))
		}
	}
	bounded, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for name, read := range reads {
		select {
		case <-read.ended:
		case <-bounded.Done():
		}
		ended := r.confirmations.take(name, read)
		if ended && read.err != nil {
			r.logger.Info("silence of owners not confirmed", zap.Inline(r.ledger.Partition(name)), zap.Error(read.err))
		}
		if !ended || read.err != nil {
			delete(reads, name)
		}
	}
	for _, suspect := range suspects {
		if read := reads[suspect.partition]; read != nil && stillSilent(r.ledger.Partition(suspect.partition), suspect) {
			suspect.confirmStart = read.began
			confirmed = append(confirmed, suspect)
		}
	}
	return confirmed
}

// stillSilent reports whether a fold shows no change of the suspect's batch or owner since the
// observation. It must be the fold that was just read to its end; one that lacks the batch shows no
// silence.
func stillSilent(partition *ledger.Partition, suspect observation) (still bool) {
	partition.ViewBatch(suspect.batch, func(b *batch.Batch) { still = suspect.unchanged(b) })
	return still
}

// replaceOwner takes over the batch of a suspect owner. The record names the replaced owner, so
// that only one of several takeovers has an effect.
func (r *Runner) replaceOwner(ctx context.Context, suspect observation, reason string) {
	bounded, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	err := r.takeOver(bounded, suspect.batch, suspect.owner)
	event := "batch taken over"
	switch {
	case errors.Is(err, ErrNotDone):
		event = "batch not taken over"
	case err != nil:
		event = "batch takeover outcome unknown"
	}
	r.logger.Info(event, zap.String("batch", suspect.batch), zap.String("from", suspect.owner),
		zap.String("reason", reason), zap.Duration("silent", time.Since(suspect.unchangedSince)), zap.Error(err))
}
