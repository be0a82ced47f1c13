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
	keptAfter = 700 * time.Millisecond
	// keptBytes bounds what one record keeps, in bytes.
	keptBytes = 128 << 10
)

// beat appends a sign of life, with what the items that run for long have so far.
func (job *job) beat() {
	job.mutex.Lock()
	released := job.released
	progress := job.progress(time.Now())
	job.mutex.Unlock()
	number := job.runner.signNumber(time.Now())
	if released {
		return
	}
	ctx, cancel := context.WithTimeout(job.context, heartbeatInterval)
	defer cancel()
	if len(progress) == 0 {
		_ = job.partition.Append(ctx, batch.Beat(job.submission.ID, job.runner.self, number))
		return
	}
	// An append whose outcome is not known is repeated with the next one's
	// events, which the fold takes once.
	if job.partition.Append(ctx, batch.Advanced(job.submission.ID, job.runner.self, number, progress)) == nil {
		job.kept(progress)
	}
}

// progress returns what is not kept yet of the items that run for long, those
// with the most first. The mutex is held. Texts of one version may have to be
// begun anew, so they are not kept.
func (job *job) progress(now time.Time) []batch.Progress {
	if _, found, ok := job.route(); !ok || found.SingleVersion {
		return nil
	}
	var advanced []*item
	for _, each := range job.items {
		if each.state == itemRunning && len(each.text) > each.kept && now.Sub(each.startedAt) >= keptAfter {
			advanced = append(advanced, each)
		}
	}
	sort.SliceStable(advanced, func(i, j int) bool { return len(advanced[i].text) > len(advanced[j].text) })
	var progress []batch.Progress
	size := 0
	for _, each := range advanced {
		events := each.text[each.kept:]
		for _, event := range events {
			size += len(event)
		}
		if size > keptBytes && len(progress) > 0 {
			break
		}
		progress = append(progress, batch.Progress{Item: each.index, From: each.kept, Events: slices.Clone(events), LastEvent: each.lastEvent, Versions: slices.Clone(each.versions)})
	}
	return progress
}

// kept notes what the journal has acknowledged.
func (job *job) kept(progress []batch.Progress) {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	for _, each := range progress {
		job.items[each.Item].kept = max(job.items[each.Item].kept, each.From+len(each.Events))
	}
}

// goOnFrom gives an item the beginning that an owner before has kept, if there
// is one.
func (each *item) goOnFrom(partial batch.Partial) bool {
	if len(partial.Events) == 0 {
		return false
	}
	each.text = slices.Clone(partial.Events)
	each.kept = len(partial.Events)
	each.lastEvent, each.hasEvent = partial.LastEvent, true
	each.versions = slices.Clone(partial.Versions)
	return true
}
