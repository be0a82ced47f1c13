package runner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
)

const (
	// heartbeatInterval is the time between an owner's heartbeats in a batch's partition.
	heartbeatInterval = 350 * time.Millisecond
	// minCheckpointAge is how long an attempt runs before its events are checkpointed: a shorter
	// text costs less to generate again.
	minCheckpointAge = 700 * time.Millisecond
	// maxCheckpointBytes bounds the events in one record; a single item may exceed it.
	maxCheckpointBytes = 128 << 10
)

// heartbeat appends a heartbeat that includes the new events of items that have run for
// minCheckpointAge. Once the release of the batch is recorded, a heartbeat without events shows the next
// owner that this one still finishes the items that it has handed off.
func (j *job) heartbeat() {
	j.mu.Lock()
	release, finishing := j.release, j.isFinishing()
	progress := j.progress(time.Now())
	j.mu.Unlock()
	number := j.r.heartbeatNumber(time.Now())
	switch {
	case release.begun && !(release.recorded && finishing):
		return
	case release.begun:
		progress = nil
	}
	record := batch.Heartbeat(j.submission.ID, j.r.self, number)
	if len(progress) > 0 {
		record = batch.Checkpoint(j.submission.ID, j.r.self, number, progress)
	}
	ctx, cancel := context.WithTimeout(j.ctx, heartbeatInterval)
	defer cancel()
	err := j.partition.Append(ctx, record)
	j.handleHeartbeatResult(progress, err)
}

// isFinishing reports whether an item that was handed off is in progress. The mutex is held.
func (j *job) isFinishing() bool {
	return slices.ContainsFunc(j.items, func(it *item) bool { return it.handedOff && it.inProgress() })
}

// handleHeartbeatResult records which events the journal has acknowledged. A heartbeat that failed,
// or whose outcome is unknown, is not repeated: the next one includes its events, and the fold
// applies them only once.
func (j *job) handleHeartbeatResult(progress []batch.Progress, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil {
		j.missedHeartbeats++
		if j.missedHeartbeats == 1 && j.ctx.Err() == nil {
			j.logger.Info("heartbeat not recorded", zap.Error(err))
		}
		return
	}
	if j.missedHeartbeats > 0 {
		j.logger.Info("heartbeats recorded again", zap.Int("missed", j.missedHeartbeats))
		j.missedHeartbeats = 0
	}
	for _, p := range progress {
		j.items[p.Item].checkpointed = max(j.items[p.Item].checkpointed, p.From+len(p.Events))
	}
}

// progress returns the events that are not checkpointed yet, of the items that have run for
// minCheckpointAge, longest text first. Single-version texts are not checkpointed, since the next
// owner may have to start them over. The mutex is held.
func (j *job) progress(now time.Time) []batch.Progress {
	if rt, ok := j.route(); !ok || rt.SingleVersion {
		return nil
	}
	var advanced []*item
	for _, it := range j.items {
		if it.state == itemRunning && len(it.events) > it.checkpointed && now.Sub(it.startedAt) >= minCheckpointAge {
			advanced = append(advanced, it)
		}
	}
	slices.SortStableFunc(advanced, func(a, b *item) int { return cmp.Compare(len(b.events), len(a.events)) })
	var progress []batch.Progress
	size := 0
	for _, it := range advanced {
		events := it.events[it.checkpointed:]
		for _, event := range events {
			size += len(event)
		}
		if size > maxCheckpointBytes && len(progress) > 0 {
			break
		}
		progress = append(progress, batch.Progress{
			Item: it.index, From: it.checkpointed, Events: slices.Clone(events),
			LastEvent: it.lastEvent, Versions: slices.Clone(it.versions),
		})
	}
	return progress
}

// heartbeatNumber returns the number of a heartbeat, which is based on the milliseconds since the
// runner's start. It increases over all batches of this incarnation, so that the owner of a batch
// that returns to this daemon is not taken for silent.
func (r *Runner) heartbeatNumber(now time.Time) int64 {
	return now.Sub(r.startedAt).Milliseconds() + 1
}
