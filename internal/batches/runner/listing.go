package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/daemon/periodic"
)

const (
	// listDelay is how long a result waits for further results, so that they are appended in one
	// record.
	listDelay = 10 * time.Millisecond
	// listTimeout bounds one attempt to append results.
	listTimeout = 2 * time.Second
)

// resultQueue holds the results that are not in the ledger yet.
type resultQueue struct {
	pending []batch.Result
	// wake receives a value when there are pending results.
	wake chan struct{}
}

// finishItem queues an item's result to be appended to the ledger; reason says why an item is dead.
// The mutex is held.
func (j *job) finishItem(it *item, result batch.Result, reason string) {
	it.state = itemResultPending
	it.timing.enter(phaseListing, time.Now())
	j.results.pending = append(j.results.pending, result)
	outcome := "done"
	if result.Outcome == batch.Dead {
		outcome = "dead"
	}
	j.logger.Info("item finished", zap.String("item", it.ID), zap.String("outcome", outcome),
		zap.String("reason", reason), zap.Int("attempts", it.attempt), zap.Int64("expected", it.expectedTokens),
		zap.Int("bytes", len(result.Text)), zap.Duration("took", time.Since(it.startedAt)),
		zap.Int64("events", it.lastEvent), zap.Int64s("versions", result.Versions),
		zap.String("replica", it.lastReplica))
	signal(j.results.wake)
}

// listResults appends queued results to the ledger, several per record, until the job ends.
func (j *job) listResults() {
	for {
		select {
		case <-j.ctx.Done():
			return
		case <-j.results.wake:
		}
		time.Sleep(listDelay)
		j.mu.Lock()
		results := j.results.pending
		j.mu.Unlock()
		if len(results) == 0 {
			continue
		}
		if !j.appendResults(results) {
			return
		}
		j.mu.Lock()
		j.results.pending = j.results.pending[len(results):]
		more := len(j.results.pending) > 0
		j.mu.Unlock()
		if more {
			signal(j.results.wake)
		}
	}
}

// appendResults appends results, retrying until they are certain to be in the ledger. It reports
// false if the job ended first.
func (j *job) appendResults(results []batch.Result) bool {
	record := batch.ResultsAdded(j.submission.ID, results)
	failures := 0
	for j.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(j.ctx, listTimeout)
		err := j.partition.Append(ctx, record)
		cancel()
		if err == nil {
			if failures > 0 {
				j.logger.Info("results listed", zap.Int("results", len(results)), zap.Int("tries", failures+1))
			}
			return true
		}
		failures++
		if failures == 1 && j.ctx.Err() == nil {
			j.logger.Info("results not listed yet", zap.Int("results", len(results)), zap.Error(err))
		}
		periodic.Pause(j.ctx, journalRetryDelay)
	}
	return false
}
