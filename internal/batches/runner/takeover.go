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
	// takeOverTimeout bounds the taking over of a batch, and a read that confirms silence.
	takeOverTimeout = 1500 * time.Millisecond
	// confirmTimeout is how long a watcher waits at a time for the reads that show whether
	// suspect owners are still silent.
	confirmTimeout = 300 * time.Millisecond
)

// confirmations are the reads that show whether suspect owners are still silent, one a
// partition. The zero value is ready for use.
type confirmations struct {
	mu    sync.Mutex
	reads map[journal.Partition]*confirmation
}

// confirmation is one read up to a partition's end.
type confirmation struct {
	began time.Time
	// ended is closed once err is set.
	ended chan struct{}
	err   error
}

// begin returns the read of a partition that is under way, or begins one.
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

// take reports whether the read of a partition has ended. One that has is taken off: the
// next look begins another one.
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

// confirmSilence returns the suspect owners of which a read of their partition brings nothing either.
// The reads of followers are long polls: they alone would show silence late or not at all.
//
// It waits for confirmTimeout at most, so that one partition does not hold up the others.
// A read that takes longer goes on, and counts at a later call: a slow machine would
// otherwise begin one after the other, and never take a batch over.
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
		if read := reads[suspect.partition]; read != nil && r.stillSilent(suspect) {
			suspect.confirmStart = read.began
			confirmed = append(confirmed, suspect)
		}
	}
	return confirmed
}

// stillSilent reports whether the fold shows nothing new of a suspect owner.
func (r *Runner) stillSilent(suspect observation) (still bool) {
	partition := r.ledger.Partition(suspect.partition)
	partition.ViewBatch(suspect.batch, func(b *batch.Batch) { still = suspect.unchanged(b) })
	return still
}

// replaceOwner takes the batch of a suspect owner over. The record names the owner it
// replaces, so that one of several takeovers counts.
func (r *Runner) replaceOwner(ctx context.Context, suspect observation, reason string) {
	bounded, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	err := r.TakeOver(bounded, suspect.batch, suspect.owner)
	event := "batch taken over"
	switch {
	case errors.Is(err, ErrNotDone):
		event = "batch not taken over"
	case err != nil:
		event = "batch perhaps taken over"
	}
	r.logger.Info(event, zap.String("batch", suspect.batch), zap.String("from", suspect.owner),
		zap.String("reason", reason), zap.Duration("silent", time.Since(suspect.unchangedSince)), zap.Error(err))
}
