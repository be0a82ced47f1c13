package runner

import (
	"bytes"
	"slices"
	"sync"

	"go.uber.org/zap"

	"woodworks/internal/batch"
)

// leftoverBatches is for how many further batches of its model the text of an item
// is kept that was not listed when its batch ended.
const leftoverBatches = 3

// leftover is a run of an item whose batch has ended, or what it made. The item may
// come again in one of the next batches; its text is then gone on with.
type leftover struct {
	// job guards the item's text. It is over.
	job  *job
	item *item
	// passed counts the batches of the model that came without the item.
	passed int
}

// leftovers are those of all models. It is safe for concurrent use.
type leftovers struct {
	mu     sync.Mutex
	models map[string][]*leftover
}

func newLeftovers() *leftovers { return &leftovers{models: map[string][]*leftover{}} }

// keep adds what an ended batch leaves.
func (l *leftovers) keep(model string, left []*leftover) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.models[model] = append(l.models[model], left...)
}

// claim returns the longest fitting text of each item of a new batch that has one,
// by the item's id. Runs under way are cut, to be gone on with.
func (l *leftovers) claim(submission *batch.Submission, single bool) map[string]beginning {
	wanted := make(map[string]*batch.Item, len(submission.Items))
	for i := range submission.Items {
		wanted[submission.Items[i].ID] = &submission.Items[i]
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	claimed := map[string]beginning{}
	var kept []*leftover
	for _, each := range l.models[submission.Model] {
		again := wanted[each.item.ID]
		if again == nil {
			each.passed++
			if each.passed < leftoverBatches {
				kept = append(kept, each)
			} else {
				each.stop()
			}
			continue
		}
		text := each.stop()
		if text.fits(again, submission.MinVersion, single) && len(text.events) > len(claimed[again.ID].events) {
			claimed[again.ID] = text
		}
	}
	l.models[submission.Model] = kept
	return claimed
}

// drop cuts all runs and forgets all texts.
func (l *leftovers) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, left := range l.models {
		for _, each := range left {
			each.stop()
		}
	}
	l.models = map[string][]*leftover{}
}

// beginning is the text of an item so far.
type beginning struct {
	path      string
	body      []byte
	events    [][]byte
	lastEvent int64
	versions  []int64
	// whole says that the text has its end.
	whole bool
}

// stop cuts the run, if it is under way, and returns the text.
func (each *leftover) stop() beginning {
	each.job.mutex.Lock()
	defer each.job.mutex.Unlock()
	item := each.item
	if item.move != nil {
		item.move()
	}
	item.closed = true
	return beginning{path: item.Path, body: item.Body, events: slices.Clone(item.text), lastEvent: item.lastEvent, versions: slices.Clone(item.versions), whole: item.whole}
}

// fits reports whether a text may be gone on with in a batch that allows weights from
// minVersion on: it is the same request, and no part of it is too old.
func (text beginning) fits(again *batch.Item, minVersion int64, single bool) bool {
	if len(text.events) == 0 || again.Path != text.path || !bytes.Equal(again.Body, text.body) {
		return false
	}
	if single && len(text.versions) > 1 {
		return false
	}
	return len(text.versions) > 0 && slices.Min(text.versions) >= minVersion
}

// goOnWith gives an item the text that an earlier batch left of it.
func (each *item) goOnWith(text beginning) {
	each.text, each.versions = text.events, text.versions
	each.lastEvent, each.hasEvent = text.lastEvent, true
	each.whole = text.whole
}

// leaveBehind keeps what the items have that were not listed when the batch ended.
// Runs whose text will be allowed in the next batch go on.
func (job *job) leaveBehind() {
	next, again := job.runner.history.nextVersion(job.submission)
	if !again || job.runner.stopping.Load() {
		return
	}
	job.mutex.Lock()
	var left []*leftover
	goOn := 0
	for _, each := range job.items {
		if each.state == itemListed || !job.unfinished(each.Group) {
			continue
		}
		for _, run := range []*item{each, each.rerun} {
			if run == nil || len(run.text) == 0 || slices.Min(run.versions) < next {
				continue
			}
			run.survives = run.move != nil
			if run.survives {
				goOn++
			}
			left = append(left, &leftover{job: job, item: run})
		}
	}
	job.mutex.Unlock()
	job.runner.leftovers.keep(job.submission.Model, left)
	if len(left) > 0 {
		job.logger.Info("texts left behind", zap.Int("texts", len(left)), zap.Int("going_on", goOn), zap.Int64("next_version", next))
	}
}

// unfinished reports whether an item of a group is not listed. The mutex is held.
func (job *job) unfinished(group string) bool {
	for _, each := range job.items {
		if each.Group == group && each.state != itemListed {
			return true
		}
	}
	return false
}
