package runner

import (
	"context"
	"slices"
	"sort"
	"time"

	"woodworks/internal/batches/batch"
)

const (
	// keptAfter is how long an item runs before its progress is worth keeping:
	// a shorter one is sooner made again.
	checkpointAfter = 700 * time.Millisecond
	// keptBytes bounds what one record keeps, in bytes.
	maxCheckpointBytes = 128 << 10
)

// beat appends a sign of life, with what the items that run for long have so far.
func (j *job) heartbeat() {
	j.mu.Lock()
	released := j.released
	progress := j.progress(time.Now())
	j.mu.Unlock()
	number := j.r.heartbeatNumber(time.Now())
	if released {
		return
	}
	ctx, cancel := context.WithTimeout(j.ctx, heartbeatInterval)
	defer cancel()
	if len(progress) == 0 {
		_ = j.partition.Append(ctx, batch.Beat(j.submission.ID, j.r.self, number))
		return
	}
	// An append whose outcome is not known is repeated with the next one's
	// events, which the fold takes once.
	if j.partition.Append(ctx, batch.Advanced(j.submission.ID, j.r.self, number, progress)) == nil {
		j.markCheckpointed(progress)
	}
}

// progress returns what is not kept yet of the items that run for long, those
// with the most first. The mutex is held. Texts of one version may have to be
// begun anew, so they are not kept.
func (j *job) progress(now time.Time) []batch.Progress {
	if _, rt, ok := j.route(); !ok || rt.SingleVersion {
		return nil
	}
	var advanced []*item
	for _, it := range j.items {
		if it.state == itemRunning && len(it.events) > it.checkpointed && now.Sub(it.startedAt) >= checkpointAfter {
			advanced = append(advanced, it)
		}
	}
	sort.SliceStable(advanced, func(i, j int) bool { return len(advanced[i].events) > len(advanced[j].events) })
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
		progress = append(progress, batch.Progress{Item: it.index, From: it.checkpointed, Events: slices.Clone(events), LastEvent: it.lastEvent, Versions: slices.Clone(it.versions)})
	}
	return progress
}

// kept notes what the journal has acknowledged.
func (j *job) markCheckpointed(progress []batch.Progress) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, p := range progress {
		j.items[p.Item].checkpointed = max(j.items[p.Item].checkpointed, p.From+len(p.Events))
	}
}

// goOnFrom gives an item the beginning that an owner before has kept, if there
// is one.
func (it *item) resumeFrom(partial batch.Partial) bool {
	if len(partial.Events) == 0 {
		return false
	}
	it.events = slices.Clone(partial.Events)
	it.checkpointed = len(partial.Events)
	it.lastEvent, it.hasEvent = partial.LastEvent, true
	it.versions = slices.Clone(partial.Versions)
	return true
}
