package runner

import (
	"time"

	"go.uber.org/zap"
)

// phase is what an item's time is spent on.
type phase int

// Phases of an item, in the order in which it goes through them; an item whose
// attempt failed waits again.
const (
	// phaseWaiting: for a slot at a replica.
	phaseWaiting phase = iota
	// phasePrompt: from the start of an attempt to its first event.
	phasePrompt
	// phaseGenerating: between the first event of an attempt and its end.
	phaseGenerating
	// phaseScoring: the reward call.
	phaseScoring
	// phaseListing: until the result stands in the journal.
	phaseListing
	// phaseDone: the result is listed.
	phaseDone
	phases
)

// String returns the phase's name in logs and metrics.
func (p phase) String() string {
	return [...]string{"waiting", "prompt", "making", "scoring", "listing", "done"}[p]
}

// timing is where an item's time went at this owner.
type timing struct {
	phase phase
	since time.Time
	spent [phases]time.Duration
}

// enter ends the phase that an item is in and begins another.
func (t *timing) enter(next phase, now time.Time) {
	t.spent[t.phase] += now.Sub(t.since)
	t.phase, t.since = next, now
}

// Observer is told how long an item spent on something.
type Observer func(part string, took time.Duration)

// SetObserver sets who is told where the time of batches went. It is called before
// Run.
func (r *Runner) SetObserver(observe Observer) { r.observe = observe }

// publishItemTime tells how long the batch's items took a slot, in the mean. The mutex is
// held.
func (j *job) publishItemTime() {
	if j.submission.Model == "" {
		return
	}
	sum, count := time.Duration(0), time.Duration(0)
	for _, it := range j.items {
		if it.state == itemListed && it.timing.phase == phaseDone {
			sum += it.timing.spent[phasePrompt] + it.timing.spent[phaseGenerating]
			count++
		}
	}
	if count > 0 {
		go j.r.demands.PublishTime(j.r.ctx, j.submission.Model, sum/count)
	}
}

// closeAccount logs where the time of a batch went, and has it observed: that of the item listed
// last, as it decided when the batch had all that it came to. The mutex is held.
func (j *job) closeAccount(reason string, now time.Time) {
	var last *item
	listed := 0
	for _, it := range j.items {
		if it.state != itemListed || it.timing.phase != phaseDone {
			continue
		}
		listed++
		if last == nil || it.timing.since.After(last.timing.since) {
			last = it
		}
	}
	if last == nil {
		return
	}
	spent := last.timing.spent
	fields := []zap.Field{
		zap.String("reason", reason), zap.Int("listed", listed), zap.Int("items", len(j.items)),
		zap.Duration("before", max(j.adoptedAt.Sub(j.submission.AcceptedAt()), 0)),
		zap.Duration("owned", now.Sub(j.adoptedAt)),
		zap.String("last_item", last.ID), zap.Bool("required", j.placement.required[last.Group]),
		zap.Int64("events", last.lastEvent), zap.Int("attempts", last.attempt),
		zap.Int64s("versions", last.versions), zap.String("replica", last.lastReplica),
	}
	if last.lastEvent > 0 {
		fields = append(fields, zap.Duration("event_time", spent[phaseGenerating]/time.Duration(last.lastEvent)))
	}
	for part := phaseWaiting; part < phaseDone; part++ {
		fields = append(fields, zap.Duration(part.String(), spent[part]))
		j.r.observe(part.String(), spent[part])
	}
	afterLast := now.Sub(last.timing.since)
	j.r.observe("until left", afterLast)
	j.logger.Info("batch account", append(fields, zap.Duration("until_left", afterLast))...)
}
