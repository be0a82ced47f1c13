// Package scheduling decides which engine runs which item of the batches, and which
// running items go on at another engine. It is pure: a snapshot goes in, a list of
// decisions comes out, and the same snapshot gives the same decisions. Lengths and FirstEvents
// learn what the forecasts in a snapshot rest on.
//
// A round goes through these stages:
//
//	move    running items that decide when their step ends, or whose first event is
//	        overdue, go on at a better engine (moves)
//	order   the waiting items (compare)
//	defer   those that need not start yet (deferred)
//	choose  which engines the others should go to, fast or not (choiceOf)
//	filter  these engines (passes)
//	score   what is left (score)
//	pick    the best (pick)
//
// Times of engines are in nanoseconds an event where they are a float64. A step is all
// that a batch has for one model; its longest text decides when the trainer can go on.
//
// The package owns no state but the two forecasts, and relies on the snapshot being of one
// moment: the runner takes it.
//
// # Usage
//
//	for _, decision := range scheduling.Plan(snapshot) {
//		switch decision := decision.(type) {
//		case scheduling.Start:
//			start(snapshot.Items[decision.Item], snapshot.Engines[decision.Engine])
//		case scheduling.Move:
//			handOver(snapshot.Items[decision.Item], snapshot.Engines[decision.Engine])
//		}
//	}
package scheduling

import (
	"time"

	"woodworks/internal/replicas/replica"
)

// Engine is one replica that runs items, as it is believed to be.
type Engine struct {
	ID   string
	Zone string
	// Slots is how many requests it runs at a time, 0 if unknown; InFlight how many of
	// this daemon's are under way there, OthersInFlight how many of other owners, as these
	// report.
	Slots, InFlight, OthersInFlight int
	// EventTime is the mean time between the events of a text, 0 if unknown.
	EventTime time.Duration
	// Preference ranks it among engines that are as good, from 0 to below 1: higher ones go
	// first. It should differ between owners that may start at the same instant.
	Preference float64
	// IdleConns is how many idle connections to it are open.
	IdleConns int
	// Avoided engines get nothing for now: they failed or declined a moment ago.
	Avoided bool
	// Declining engines declined the last request; one at a time finds out whether they
	// still do.
	Declining bool
	// Versions are the versions of the weights it holds, by model.
	Versions map[string]int64
}

// Capacity is how many requests the engine runs at a time.
func (e *Engine) Capacity() int {
	if e.Slots <= 0 {
		return replica.DefaultSlots
	}
	return e.Slots
}

// HasRoom reports whether the engine may get another request now, besides some that it is
// about to get.
func (e *Engine) HasRoom(more int) bool {
	return !e.Avoided && !e.Declining && e.InFlight+e.OthersInFlight+more < e.Capacity()
}

// HasWeightsFor reports whether the engine's weights are new enough for an item, as far as is known.
func (e *Engine) HasWeightsFor(it *Item) bool {
	version, ok := e.Versions[it.Model]
	return !ok || version >= it.MinVersion
}

// Item is one item of a batch that waits for an engine or runs at one.
type Item struct {
	// Priority is the rank of the item, 0 being the most urgent, and BatchSince orders the
	// batches of one rank: older ones first.
	Priority       int
	BatchAdoptedAt time.Time
	Model          string
	// MinVersion is the oldest version of the weights that may make its text.
	MinVersion int64
	// Required items are of a group without which the batch's trainer does not go on.
	Required bool
	// Events is how many events its text has, Remaining how many are expected to come.
	Events          int
	RemainingEvents float64
	// MaxRemainingEvents is how many events come at most, but for a few texts in a hundred; 0 if
	// the item must not be deferred.
	MaxRemainingEvents float64
	// BatchAge is for how long its batch has been here.
	BatchAge time.Duration
	// Overdue is for how long the first event of its attempt is overdue, 0 if it is not.
	Overdue time.Duration
	// GroupEngine is the engine that last read the prompt of the item's group, "" if none.
	GroupEngine string
	// Engine runs the item; "" while it waits.
	Engine string
	// RunTime is for how long it has run there.
	RunTime time.Duration
	// Pinned items cannot be moved now.
	Pinned bool
}

// TotalEvents is how many events the text should have in the end.
func (it *Item) TotalEvents() float64 { return float64(it.Events) + it.RemainingEvents }

// Snapshot is what the decisions rest on: the engines of one service and the items that
// are for them.
type Snapshot struct {
	// Zone is where this daemon is.
	Zone    string
	Engines []Engine
	Items   []Item
	// NoMoves says that no item is to be moved in this round.
	NoMoves bool
}

// Decision is one of Start and Move.
type Decision interface{ decision() }

// Start sends a waiting item to an engine. Both are indices of the snapshot.
type Start struct{ Item, Engine int }

// Move lets a running item go on at another engine. Gain is by how much sooner it should
// end.
type Move struct {
	Item, Engine int
	Gain         time.Duration
}

func (Start) decision() {}
func (Move) decision()  {}

// Plan returns the decisions that are due: first the moves, as an item under way is nearer
// its end than one that waits, then the starts.
func Plan(snapshot Snapshot) []Decision {
	p := newPlanner(snapshot)
	moves := p.planMoves()
	return append(moves, p.planStarts()...)
}

// planStarts sends waiting items, in order, to the engines with room.
func (p *planner) planStarts() []Decision {
	var decisions []Decision
	for _, i := range p.waitingItems() {
		it := &p.Items[i]
		if p.canDefer(it) {
			continue
		}
		engine := p.selectEngine(it)
		if engine < 0 {
			continue
		}
		p.reserve(engine, it)
		p.countStart(it)
		decisions = append(decisions, Start{Item: i, Engine: engine})
	}
	return decisions
}
