package runner

import (
	"slices"
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

// Observer takes how long an item spent in a phase, or waited after it.
type Observer func(part string, took time.Duration)

// SetObserver sets who observes where the time of batches went. It is called before Run.
func (r *Runner) SetObserver(observe Observer) { r.observe = observe }

// listedHere returns the items that were listed while this owner ran them. The mutex is held.
func (j *job) listedHere() (listed []*item) {
	for _, it := range j.items {
		if it.timing.phase == phaseDone {
			listed = append(listed, it)
		}
	}
	return listed
}

// publishItemTime publishes for how long an item of the batch took a slot, in the mean. The mutex is
// held.
func (j *job) publishItemTime() {
	listed := j.listedHere()
	if j.submission.Model == "" || len(listed) == 0 {
		return
	}
	sum := time.Duration(0)
	for _, it := range listed {
		sum += it.timing.spent[phasePrompt] + it.timing.spent[phaseGenerating]
	}
	go j.r.demands.PublishItemTime(j.r.ctx, j.submission.Model, sum/time.Duration(len(listed)))
}

// closeAccount logs where the time of a batch went, and has it observed: that of the item listed
// last, as it decided when the batch had all its results. The mutex is held.
func (j *job) closeAccount(reason string, now time.Time) {
	listed := j.listedHere()
	if len(listed) == 0 {
		return
	}
	last := slices.MaxFunc(listed, func(a, b *item) int { return a.timing.since.Compare(b.timing.since) })
	fields := []zap.Field{
		zap.String("reason", reason),
		zap.Int("listed", len(listed)),
		zap.Int("items", len(j.items)),
		zap.Duration("before", max(j.adoptedAt.Sub(j.submission.AcceptedAt()), 0)),
		zap.Duration("owned", now.Sub(j.adoptedAt)),
		zap.String("last_item", last.ID),
		zap.Bool("required", j.placement.required[last.Group]),
		zap.Int64("events", last.lastEvent),
		zap.Int("attempts", last.attempt),
		zap.Int64s("versions", last.versions),
		zap.String("replica", last.lastReplica),
	}
	spent := last.timing.spent
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
