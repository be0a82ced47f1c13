// Package scheduling decides which engine runs which item of the batches, and
// which running items go on elsewhere. It is pure: a snapshot goes in, a list of
// decisions comes out, and the same snapshot gives the same decisions.
//
// The stages are those of a scheduler: order the items, filter the engines that
// may run one, score these, pick the best.
//
// # Usage
//
//	for _, decision := range scheduling.Plan(snapshot) {
//		switch decision := decision.(type) {
//		case scheduling.Start:
//			start(snapshot.Items[decision.Item], snapshot.Engines[decision.Engine])
//		case scheduling.Move:
//			cut(snapshot.Items[decision.Item])
//		}
//	}
package scheduling

import (
	"cmp"
	"slices"
	"time"
)

// Engine is one replica that runs items, as it is believed to be.
type Engine struct {
	ID   string
	Zone string
	// Slots is how many requests it runs at a time, InFlight how many of ours are
	// under way there.
	Slots, InFlight int
	// Others is how many requests of other owners are under way there, as these told.
	OthersInFlight int
	// Pace is the mean time between the events of a text, 0 if unknown.
	EventTime time.Duration
	// Preference ranks it among engines that are as good, from 0 to below 1: higher ones go
	// first. It should differ between owners that may start at the same instant.
	Preference float64
	// Connected is how many connections to it rest here.
	IdleConns int
	// Resting engines get nothing for now: they failed or declined a moment ago.
	Avoided bool
	// Declining engines declined the last request; one at a time finds out
	// whether they still do.
	Declining bool
	// Versions are the versions of the weights it holds, by model.
	Versions map[string]int64
}

// Item is one item of a batch that waits for an engine or runs at one.
type Item struct {
	// Priority is the rank of the batch's route, 0 being the most urgent, and
	// BatchSince orders the batches of one rank: older ones first.
	Priority   int
	BatchSince time.Time
	Model      string
	// MinVersion is the oldest version of the weights that may make its text.
	MinVersion int64
	// Required items are of a group without which the batch's trainer does not go on.
	Required bool
	// Done is how many events its text has, Remaining how many are expected to come.
	Events    int
	Remaining float64
	// Most is how many events come at most, but for a few texts in a hundred; 0 if that
	// is unknown. It is told of texts only that may be held back.
	MaxRemaining float64
	// Waited is for how long its batch has been here.
	BatchAge time.Duration
	// Silent is for how long the first event of its run is overdue, 0 if it is not.
	Overdue time.Duration
	// GroupEngine is the engine that last read the prompt of the item's group, "" if none.
	GroupEngine string
	// Engine runs the item; "" while it waits.
	Engine string
	// RunFor is for how long it has run there.
	RunFor time.Duration
	// Fixed items cannot be moved now.
	Pinned bool
}

// Length is how many events the text should have in the end.
func (it *Item) Length() float64 { return float64(it.Events) + it.Remaining }

// Snapshot is what the decisions rest on: the engines of one service and the
// items that are for them.
type Snapshot struct {
	// Zone is where this daemon is.
	Zone    string
	Engines []Engine
	Items   []Item
	// Settled says that no item is to be moved in this round.
	NoMoves bool
}

// Decision is one of Start and Move.
type Decision interface{ decision() }

// Start sends a waiting item to an engine. Both are indices of the snapshot.
type Start struct{ Item, Engine int }

// Move cuts a running item, so that it goes on at another engine. Gain is by how
// much sooner it should end.
type Move struct {
	Item, Engine int
	Gain         time.Duration
}

func (Start) decision() {}
func (Move) decision()  {}

// Plan returns the decisions that are due: first the moves, as an item under way
// is nearer its end than one that waits, then the starts.
func Plan(snapshot Snapshot) []Decision {
	planner := newPlanner(snapshot)
	moves := planner.moves()
	return append(moves, planner.starts()...)
}

// planner is one round of decisions. It counts the room that they take.
type planner struct {
	Snapshot
	inFlight []int
	// loads are by how much the requests at each engine slow one more.
	loads      []float64
	byID       map[string]int
	eventTimes eventTimes
	// resting is how many connections rest at each engine, silent says where a first
	// event is overdue.
	idleConns []int
	overdue   []bool
	tiers     map[class]*tiers
	steps     map[stepKey]*step
	pools     map[poolKey]*pool
	// last is the pool asked for last, lastTier and lastStep are likewise: items in order
	// mostly share one.
	last     *pool
	lastTier *tiers
	lastStep *step
}

func newPlanner(snapshot Snapshot) *planner {
	p := &planner{Snapshot: snapshot, byID: make(map[string]int, len(snapshot.Engines)), pools: map[poolKey]*pool{}, tiers: map[class]*tiers{}, steps: map[stepKey]*step{}}
	p.inFlight, p.loads = make([]int, len(snapshot.Engines)), make([]float64, len(snapshot.Engines))
	p.idleConns, p.overdue = make([]int, len(snapshot.Engines)), make([]bool, len(snapshot.Engines))
	for i, engine := range snapshot.Engines {
		p.inFlight[i] = engine.InFlight + engine.OthersInFlight
		p.loads[i] = float64(p.inFlight[i]) * loadOf(0)
		p.idleConns[i] = engine.IdleConns
		p.byID[engine.ID] = i
	}
	for i := range snapshot.Items {
		item := &snapshot.Items[i]
		if engine, ok := p.byID[item.Engine]; ok {
			p.loads[engine] += loadOf(item.Length()) - loadOf(0)
			p.overdue[engine] = p.overdue[engine] || item.Overdue > 0
		}
	}
	p.eventTimes = eventTimesOf(snapshot.Engines, p.loads)
	p.foresee()
	return p
}

// starts sends waiting items, in order, to the engines with room.
func (p *planner) starts() []Decision {
	var waiting []int
	for i := range p.Items {
		if p.Items[i].Engine == "" {
			waiting = append(waiting, i)
		}
	}
	slices.SortFunc(waiting, func(a, b int) int { return cmp.Or(compare(&p.Items[a], &p.Items[b]), cmp.Compare(a, b)) })
	var decisions []Decision
	for _, i := range waiting {
		item := &p.Items[i]
		if p.deferred(item) {
			continue
		}
		if engine := p.pick(item); engine >= 0 {
			p.take(engine, item)
			p.begun(item)
			decisions = append(decisions, Start{Item: i, Engine: engine})
		}
	}
	return decisions
}

// compare orders waiting items: by rank of the route, age of the batch, those that
// must be whole, and then the longest first, as they decide when the last group is
// whole.
func compare(first, second *Item) int {
	switch {
	case first.Priority != second.Priority:
		return cmp.Compare(first.Priority, second.Priority)
	case !first.BatchSince.Equal(second.BatchSince):
		return first.BatchSince.Compare(second.BatchSince)
	case first.Required != second.Required:
		if first.Required {
			return -1
		}
		return 1
	default:
		return cmp.Compare(second.Remaining, first.Remaining)
	}
}
