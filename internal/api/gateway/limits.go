package gateway

import (
	"fmt"
	"net/http"
	"sync"

	"woodworks/internal/api/policy"
	"woodworks/internal/requests/refusal"
)

// inFlightCounter counts each caller's requests in this daemon.
type inFlightCounter struct {
	mu     sync.Mutex
	counts map[string]int64
}

// acquire counts a request in, unless the bound is reached; a bound of 0 is none.
func (f *inFlightCounter) acquire(name string, bound int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if bound > 0 && f.counts[name] >= bound {
		return false
	}
	f.counts[name]++
	return true
}

func (f *inFlightCounter) release(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[name]--
	if f.counts[name] == 0 {
		delete(f.counts, name)
	}
}

// classKey names the count of a traffic class, apart from those of callers.
func classKey(class string) string { return "class " + class }

// acquireClass counts a request into its traffic class, or refuses it.
func (g *Gateway) acquireClass(w http.ResponseWriter, class policy.Class) bool {
	if g.inFlight.acquire(classKey(class.Name), class.QueueLimit) {
		return true
	}
	refuse(w, refusal.V1QueueFull,
		fmt.Sprintf("traffic class %q has %d requests at this daemon, its bound", class.Name, class.QueueLimit))
	return false
}
