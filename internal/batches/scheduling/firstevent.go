package scheduling

import (
	"slices"
	"sync"
	"time"
)

const (
	// MaxFirstEventTimeout is how long the first event of an answer is waited for until it is
	// known what is usual: an engine that changes its weights holds its texts for a second.
	MaxFirstEventTimeout = 1500 * time.Millisecond
	// minFirstEventTimeout is the least wait: a long prompt behind some others is read in that time.
	minFirstEventTimeout = 300 * time.Millisecond
	// firstEventWindow is how many first events are remembered, minFirstEvents from how
	// many on they show what is usual.
	firstEventWindow     = 128
	minFirstEventSamples = 16
	// referenceQuantile is the part of the first events that comes in the usual time, and
	// overdueFactor by what that is exceeded where something is wrong.
	referenceQuantile = 0.9
	overdueFactor     = 2.5
)

// FirstEventLatency learns how long the engines of each service take for the first event of an
// answer. It is safe for concurrent use, and the zero value is ready.
type FirstEventLatency struct {
	mu       sync.Mutex
	services map[string]*latencyWindow
}

// latencyWindow are the last times of one service.
type latencyWindow struct {
	latencies [firstEventWindow]time.Duration
	count     int
}

// Observe notes the time from the start of an attempt to its first event, or to its end if
// it was left without one.
func (f *FirstEventLatency) Observe(service string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.services == nil {
		f.services = map[string]*latencyWindow{}
	}
	t := f.services[service]
	if t == nil {
		t = &latencyWindow{}
		f.services[service] = t
	}
	t.latencies[t.count%firstEventWindow] = took
	t.count++
}

// OverdueAfter returns how long the first event of an answer of a service should be waited
// for before the text is to go on elsewhere.
func (f *FirstEventLatency) OverdueAfter(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.services[service]
	if t == nil || t.count < minFirstEventSamples {
		return MaxFirstEventTimeout
	}
	sorted := t.latencies
	count := min(t.count, firstEventWindow)
	slices.Sort(sorted[:count])
	usual := sorted[int(referenceQuantile*float64(count))]
	return min(max(time.Duration(overdueFactor*float64(usual)), minFirstEventTimeout), MaxFirstEventTimeout)
}
