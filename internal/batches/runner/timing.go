package runner

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// phase is a phase in the life of an item.
type phase int

// Phases of an item, in their order. An item whose attempt failed returns to phaseWaiting.
const (
	// phaseWaiting: until a replica has a free slot.
	phaseWaiting phase = iota
	// phasePrompt: from the start of an attempt to its first event.
	phasePrompt
	// phaseGenerating: from the first event of an attempt to its end.
	phaseGenerating
	// phaseScoring: until the reward call has ended.
	phaseScoring
	// phaseListing: until the result is in the journal.
	phaseListing
	// phaseDone: the result is in the journal.
	phaseDone
	phaseCount
)

// String returns the phase's name in logs and metrics.
func (p phase) String() string {
	return [...]string{"waiting", "prompt", "making", "scoring", "listing", "done"}[p]
}

// timing is the time that an item spent in each phase at this owner.
type timing struct {
	phase phase
	since time.Time
	spent [phaseCount]time.Duration
}

// enter ends the current phase and starts the next.
func (t *timing) enter(next phase, now time.Time) {
	t.spent[t.phase] += now.Sub(t.since)
	t.phase, t.since = next, now
}

// PhaseObserver receives the name of a phase and how long an item spent in the phase. After the
// phases of a batch's last item it also receives "until left", the time from that item's result to
// the end of the job.
type PhaseObserver func(phase string, took time.Duration)

// SetPhaseObserver sets the observer of the phases of each batch's last item. It is called before
// Run.
func (r *Runner) SetPhaseObserver(observe PhaseObserver) { r.observe = observe }

// listedHere returns the items whose results were appended while this owner ran them. The mutex is
// held.
func (j *job) listedHere() (listed []*item) {
	for _, it := range j.items {
		if it.timing.phase == phaseDone {
			listed = append(listed, it)
		}
	}
	return listed
}

// publishItemTime publishes the mean time that the batch's items occupied a slot. The mutex is
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

// logTimeBreakdown logs and observes the phases of the item whose result came last, since it
// determined when the batch was complete. The mutex is held.
func (j *job) logTimeBreakdown(reason string, now time.Time) {
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
	for p := phaseWaiting; p < phaseDone; p++ {
		fields = append(fields, zap.Duration(p.String(), spent[p]))
		j.r.observe(p.String(), spent[p])
	}
	afterLast := now.Sub(last.timing.since)
	j.r.observe("until left", afterLast)
	j.logger.Info("batch time breakdown", append(fields, zap.Duration("until_left", afterLast))...)
}
