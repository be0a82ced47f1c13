package gateway

import (
	"fmt"
	"net/http"
	"sync"

	"woodworks/internal/api/policy"
	"woodworks/internal/requests/refusal"
)

// inFlightCounter counts the requests in flight of each caller and each traffic class at this
// daemon.
type inFlightCounter struct {
	mu     sync.Mutex
	counts map[string]int64
}

// acquire adds a request to the count of name and returns true, unless the count has reached the
// bound. A bound of 0 means no limit.
func (f *inFlightCounter) acquire(name string, bound int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if bound > 0 && f.counts[name] >= bound {
		return false
	}
	f.counts[name]++
	return true
}

// release removes a request that acquire has added to the count of name.
func (f *inFlightCounter) release(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[name]--
	if f.counts[name] == 0 {
		delete(f.counts, name)
	}
}

// classKey returns the name under which the requests of a traffic class are counted. It differs
// from the names of callers.
func classKey(class string) string { return "class " + class }

// acquireClass adds a request to the count of its traffic class, or writes a refusal and returns
// false if the class is full. After true, the caller must release classKey(class.Name).
func (g *Gateway) acquireClass(w http.ResponseWriter, class policy.TrafficClass) bool {
	if g.inFlight.acquire(classKey(class.Name), class.QueueLimit) {
		return true
	}
	refuse(w, refusal.V1QueueFull,
		fmt.Sprintf("traffic class %q has %d requests at this daemon, its bound", class.Name, class.QueueLimit))
	return false
}
