package scheduling

import (
	"slices"
	"sync"
	"time"
)

const (
	// LongestFirstEvent is how long the first event of an answer is waited for until it is
	// known what is usual: an engine that changes its weights holds its texts for a second.
	MaxFirstEvent = 1500 * time.Millisecond
	// shortestFirstEvent is what is waited at least: a prompt of some 10,000 tokens behind
	// some others is read in that time.
	minFirstEvent = 300 * time.Millisecond
	// rememberedFirsts is how many first events are remembered, neededFirsts from how many
	// on they tell what is usual.
	firstEventWindow = 128
	minFirstEvents   = 16
	// usualFirsts is the part of the first events that comes in the usual time, and
	// overdue by what that is exceeded where something is wrong.
	usualQuantile = 0.9
	overdueFactor = 2.5
)

// FirstEvents learns how long the engines of each service take for the first event of an
// answer. It is safe for concurrent use, and the zero value is ready.
type FirstEvents struct {
	mu       sync.Mutex
	services map[string]*firstEventTimes
}

// firsts are the last times of one service.
type firstEventTimes struct {
	times [firstEventWindow]time.Duration
	count int
}

// Took notes the time from the start of a run to its first event, or to its end if it
// was left without one.
func (f *FirstEvents) Observe(service string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.services == nil {
		f.services = map[string]*firstEventTimes{}
	}
	known := f.services[service]
	if known == nil {
		known = &firstEventTimes{}
		f.services[service] = known
	}
	known.times[known.count%firstEventWindow] = took
	known.count++
}

// Patience returns how long the first event of an answer of a service should be waited
// for before the text is to go on elsewhere.
func (f *FirstEvents) OverdueAfter(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.services[service]
	if known == nil || known.count < minFirstEvents {
		return MaxFirstEvent
	}
	sorted := known.times
	count := min(known.count, firstEventWindow)
	slices.Sort(sorted[:count])
	usual := sorted[int(usualQuantile*float64(count))]
	return min(max(time.Duration(overdueFactor*float64(usual)), minFirstEvent), MaxFirstEvent)
}
