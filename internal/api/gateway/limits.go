package gateway

import (
	"fmt"
	"net/http"
	"sync"

	"woodworks/internal/api/policy"
	"woodworks/internal/requests/refusal"
)

// inFlight counts each caller's requests in this daemon.
type inFlight struct {
	mu     sync.Mutex
	counts map[string]int64
}

// enter counts a request in, unless the bound is reached; a bound of 0 is none.
func (f *inFlight) enter(name string, bound int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if bound > 0 && f.counts[name] >= bound {
		return false
	}
	f.counts[name]++
	return true
}

func (f *inFlight) leave(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[name]--
	if f.counts[name] == 0 {
		delete(f.counts, name)
	}
}

// classCounter names the count of a traffic class, apart from those of callers.
func classCounter(class string) string { return "class " + class }

// enterClass counts a request into its traffic class, or refuses it.
func (g *Gateway) enterClass(w http.ResponseWriter, class policy.TrafficClass) bool {
	if g.flights.enter(classCounter(class.Name), class.QueueLimit) {
		return true
	}
	refuse(w, refusal.V1QueueFull,
		fmt.Sprintf("traffic class %q has %d requests at this daemon, its bound", class.Name, class.QueueLimit))
	return false
}
