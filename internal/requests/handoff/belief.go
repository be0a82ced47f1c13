package handoff

import (
	"sync"
	"time"
)

const (
	// averageWeight is the weight of a new value in a running average.
	averageWeight = 0.25
	// firstPatience is how long the first answer of a peer is awaited before the request
	// goes direct as well: most plain requests, and the hop, take less.
	firstPatience = 120 * time.Millisecond
	// patienceFactor and leastPatience say how long it is after that, by the usual time of
	// answers that were passed back. Replicas that are silent are bypassed alike.
	patienceFactor = 3
	leastPatience  = 60 * time.Millisecond
	// firstAway is how long a peer is left alone that was silent or not there; the time
	// doubles with each failure in a row, up to longestAway, as one that is gone for good
	// stays in the list.
	firstAway   = 3 * time.Second
	longestAway = time.Minute
	// busyAway is how long a peer is left alone that has too many requests or stops.
	busyAway = 500 * time.Millisecond
	// longFor is how long a service is believed to give long answers.
	longFor = time.Minute
)

// beliefs are what a daemon has seen of services and peers. They are lost with it, which
// costs time only. It is safe for concurrent use.
type beliefs struct {
	mu       sync.Mutex
	services map[string]*service
	peers    map[string]*peer
}

// service is what was seen of a service.
type service struct {
	asked     time.Time
	gap       time.Duration
	rest      time.Duration
	longUntil time.Time
}

// peer is what was seen of another daemon.
type peer struct {
	until    time.Time
	failures int
	usual    time.Duration
}

func newBeliefs() *beliefs {
	return &beliefs{services: map[string]*service{}, peers: map[string]*peer{}}
}

// service returns what is believed of a service. The mutex is held.
func (b *beliefs) service(name string) *service {
	if b.services[name] == nil {
		b.services[name] = &service{}
	}
	return b.services[name]
}

// peer returns what is believed of a peer. The mutex is held.
func (b *beliefs) peer(name string) *peer {
	if b.peers[name] == nil {
		b.peers[name] = &peer{}
	}
	return b.peers[name]
}

// asked notes a request of an own caller for a service.
func (b *beliefs) asked(name string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.service(name)
	if !found.asked.IsZero() {
		found.gap = average(found.gap, now.Sub(found.asked))
	}
	found.asked = now
}

// ofService returns the mean time between requests, how long connections may rest, and
// whether answers are too long to be passed back.
func (b *beliefs) ofService(name string, now time.Time) (gap, rest time.Duration, long bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.service(name)
	return found.gap, found.rest, now.Before(found.longUntil)
}

// rests notes how long a connection may rest, as an answer has told.
func (b *beliefs) rests(name string, rest time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service(name).rest = rest
}

// long notes an answer that was too long to be passed back.
func (b *beliefs) long(name string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service(name).longUntil = now.Add(longFor)
}

// away returns which peers are left alone now.
func (b *beliefs) away(now time.Time) func(name string) bool {
	return func(name string) bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		found := b.peers[name]
		return found != nil && now.Before(found.until)
	}
}

// patience is how long a peer's answer is awaited before the request goes direct as well.
func (b *beliefs) patience(name string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.peers[name]
	if found == nil || found.usual == 0 {
		return firstPatience
	}
	return max(patienceFactor*found.usual, leastPatience)
}

// answered notes an answer that a peer passed back.
func (b *beliefs) answered(name string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.peer(name)
	found.usual, found.failures = average(found.usual, took), 0
}

// silent notes that a peer did not answer in time or was not there, and returns for how
// long it is left alone.
func (b *beliefs) silent(name string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.peer(name)
	rest := min(firstAway<<min(found.failures, 8), longestAway)
	found.failures++
	found.until = now.Add(rest)
	return rest
}

// busy notes that a peer takes no more for the moment.
func (b *beliefs) busy(name string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peer(name).until = now.Add(busyAway)
}

func average(before, value time.Duration) time.Duration {
	if before == 0 {
		return value
	}
	return before + time.Duration(averageWeight*float64(value-before))
}
