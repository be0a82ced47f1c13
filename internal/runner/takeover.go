package runner

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batch"
	"woodworks/internal/journal"
)

const (
	takeOverTimeout = 1500 * time.Millisecond
	// confirmTimeout bounds the read that shows that a suspect still is one.
	confirmTimeout = 300 * time.Millisecond
)

// sighting is an owner's count of signs of life, and when it last rose.
type sighting struct {
	partition journal.Partition
	batch     string
	owner     string
	signs     int64
	at        time.Time
	// judgedIn is the generation of the group in which the owner was last
	// looked for among those alive.
	judgedIn int64
}

// still reports whether nothing has been heard of the owner since.
func (s sighting) still(known *batch.Batch) bool {
	return known.Open() && known.Owner == s.owner && known.Signs == s.signs
}

// confirm returns the suspects of which a read that begins now brings nothing
// either. The reads of followers are held while there is nothing to tell, so
// that they alone show silence up to a second late, or not at all.
func (runner *Runner) confirm(ctx context.Context, suspects []sighting) []sighting {
	if len(suspects) == 0 {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	read := runner.catchUp(bounded, suspects)
	var confirmed []sighting
	for _, suspect := range suspects {
		if !read[suspect.partition] {
			continue
		}
		runner.ledger.Partition(suspect.partition).View(func(state *batch.State) {
			if known, ok := state.Get(suspect.batch); ok && suspect.still(known) {
				confirmed = append(confirmed, suspect)
			}
		})
	}
	return confirmed
}

// catchUp reads the suspects' partitions, and returns those that could be read.
func (runner *Runner) catchUp(ctx context.Context, suspects []sighting) map[journal.Partition]bool {
	var mu sync.Mutex
	var reads sync.WaitGroup
	read := map[journal.Partition]bool{}
	asked := map[journal.Partition]bool{}
	for _, suspect := range suspects {
		name := suspect.partition
		if asked[name] {
			continue
		}
		asked[name] = true
		reads.Go(func() {
			if runner.ledger.Partition(name).CatchUp(ctx) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			read[name] = true
		})
	}
	reads.Wait()
	return read
}

// replaceOwner takes the batch of a suspect over. The record names the owner it
// replaces, so that one of several takeovers counts.
func (runner *Runner) replaceOwner(ctx context.Context, suspect sighting, reason string) {
	bounded, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	err := runner.TakeOver(bounded, suspect.batch, suspect.owner)
	event := "batch taken over"
	if err != nil {
		event = "batch not taken over"
	}
	runner.logger.Info(event, zap.String("batch", suspect.batch), zap.String("from", suspect.owner),
		zap.String("reason", reason), zap.Duration("silent", time.Since(suspect.at)), zap.Error(err))
}
