package scheduling

import (
	"slices"
	"sync"
	"time"
)

const (
	// LongestFirstEvent is how long the first event of an answer is waited for until it is
	// known what is usual: an engine that changes its weights holds its texts for a second.
	LongestFirstEvent = 1500 * time.Millisecond
	// shortestFirstEvent is what is waited at least: a prompt of some 10,000 tokens behind
	// some others is read in that time.
	shortestFirstEvent = 300 * time.Millisecond
	// rememberedFirsts is how many first events are remembered, neededFirsts from how many
	// on they tell what is usual.
	rememberedFirsts = 128
	neededFirsts     = 16
	// usualFirsts is the part of the first events that comes in the usual time, and
	// overdue by what that is exceeded where something is wrong.
	usualFirsts = 0.9
	overdue     = 2.5
)

// FirstEvents learns how long the engines of each service take for the first event of an
// answer. It is safe for concurrent use, and the zero value is ready.
type FirstEvents struct {
	mu       sync.Mutex
	services map[string]*firsts
}

// firsts are the last times of one service.
type firsts struct {
	times [rememberedFirsts]time.Duration
	count int
}

// Took notes the time from the start of a run to its first event, or to its end if it
// was left without one.
func (f *FirstEvents) Took(service string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.services == nil {
		f.services = map[string]*firsts{}
	}
	known := f.services[service]
	if known == nil {
		known = &firsts{}
		f.services[service] = known
	}
	known.times[known.count%rememberedFirsts] = took
	known.count++
}

// Patience returns how long the first event of an answer of a service should be waited
// for before the text is to go on elsewhere.
func (f *FirstEvents) Patience(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.services[service]
	if known == nil || known.count < neededFirsts {
		return LongestFirstEvent
	}
	sorted := known.times
	count := min(known.count, rememberedFirsts)
	slices.Sort(sorted[:count])
	usual := sorted[int(usualFirsts*float64(count))]
	return min(max(time.Duration(overdue*float64(usual)), shortestFirstEvent), LongestFirstEvent)
}
