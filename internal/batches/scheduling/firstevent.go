package scheduling

import (
	"slices"
	"sync"
	"time"
)

const (
	// MaxFirstEventTimeout bounds the wait for the first event of an attempt: an engine that loads
	// new weights can hold responses back for about a second. OverdueAfter never exceeds it, and
	// returns it until enough latencies of a service are known.
	MaxFirstEventTimeout = 1500 * time.Millisecond
	// minFirstEventTimeout is the least time after which a first event is overdue. It covers the
	// prefill of a long prompt behind several others.
	minFirstEventTimeout = 300 * time.Millisecond
	// firstEventWindow is the number of latencies kept for each service. With fewer than
	// minFirstEventSamples of them, MaxFirstEventTimeout applies.
	firstEventWindow     = 128
	minFirstEventSamples = 16
	// A first event is overdue after overdueFactor times the referenceQuantile of the recorded
	// latencies.
	referenceQuantile = 0.9
	overdueFactor     = 2.5
)

// FirstEventLatency records, for each service, how long attempts take to produce their first
// event. It is safe for concurrent use, and the zero value is ready to use.
type FirstEventLatency struct {
	mu       sync.Mutex
	services map[string]*latencyWindow
}

// latencyWindow is a ring buffer of a service's latest latencies. count is the number of
// latencies ever recorded.
type latencyWindow struct {
	latencies [firstEventWindow]time.Duration
	count     int
}

// Observe records the time from the start of an attempt to its first event, or to its end if
// it produced none.
func (f *FirstEventLatency) Observe(service string, latency time.Duration) {
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
	t.latencies[t.count%firstEventWindow] = latency
	t.count++
}

// OverdueAfter returns the time after which the first event of an attempt at a service is
// overdue, so that its item should move to another engine.
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
	reference := sorted[int(referenceQuantile*float64(count))]
	return min(max(time.Duration(overdueFactor*float64(reference)), minFirstEventTimeout), MaxFirstEventTimeout)
}
