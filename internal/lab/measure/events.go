// Package measure compares ways of scheduling in virtual time: engines,
// networks, trainers and callers are modelled, the decisions are made by the
// product's own packages.
package measure

import (
	"container/heap"
	"time"
)

// event is something that happens at a moment of virtual time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []event

// Len implements sort.Interface.
func (events eventHeap) Len() int { return len(events) }

// Less implements sort.Interface.
func (events eventHeap) Less(i, j int) bool {
	if events[i].at != events[j].at {
		return events[i].at < events[j].at
	}
	return events[i].sequence < events[j].sequence
}

// Swap implements sort.Interface.
func (events eventHeap) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

// Push implements heap.Interface.
func (events *eventHeap) Push(one any) { *events = append(*events, one.(event)) }

// Pop implements heap.Interface.
func (events *eventHeap) Pop() any {
	last := len(*events) - 1
	one := (*events)[last]
	*events = (*events)[:last]
	return one
}

// clock runs events in order of virtual time.
type clock struct {
	now      time.Duration
	events   eventHeap
	sequence int
}

// after runs a function after a while.
func (clock *clock) after(wait time.Duration, run func()) {
	clock.sequence++
	heap.Push(&clock.events, event{at: clock.now + max(wait, 0), sequence: clock.sequence, run: run})
}

// every runs a function again and again.
func (clock *clock) every(interval time.Duration, run func()) {
	clock.after(interval, func() {
		run()
		clock.every(interval, run)
	})
}

// runUntil runs events until the end of a span.
func (clock *clock) runUntil(end time.Duration) {
	for len(clock.events) > 0 && clock.events[0].at <= end {
		one := heap.Pop(&clock.events).(event)
		clock.now = one.at
		one.run()
	}
	clock.now = end
}
