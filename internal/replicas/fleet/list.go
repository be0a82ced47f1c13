package fleet

import (
	"time"

	"woodworks/internal/requests/route"
)

const (
	// maxListAge is how old the list of replicas may be for an order: an outage of the
	// journal lets entries lapse although their replicas live.
	maxListAge = 1500 * time.Millisecond
	// listSettleTime is how long the list must have been followed without a gap: entries
	// that lapsed in an outage are back within two seconds of its end.
	listSettleTime = 3 * time.Second
	// recentMaxWindow is how long a larger number of replicas is remembered: those that are
	// missing from the list for less may live.
	recentMaxWindow = 15 * time.Second
)

// ListFreshness tells how far the list of replicas can be relied upon.
type ListFreshness interface{ Silence() time.Duration }

// observedMax is the largest number of replicas that was listed within seenSpan.
type observedMax struct {
	count int
	at    time.Time
}

// listSettled reports whether the list of replicas has been followed for a while.
func (m *Manager) listSettled(now time.Time) bool {
	if m.List.Silence() > maxListAge {
		m.listStaleAt = now
	}
	return now.Sub(m.listStaleAt) >= listSettleTime
}

// countListed counts the replicas listed of the services whose replicas may be ordered, and
// notes the largest numbers of late.
func (m *Manager) countListed(configuration *route.Configuration, now time.Time) map[serviceZone]int {
	present := map[serviceZone]int{}
	for _, service := range configuration.Services {
		if service.Scaling == nil {
			continue
		}
		for zone := range service.Scaling.ZonePrices {
			present[serviceZone{service.Name, zone}] = 0
		}
		for _, rep := range m.Table.Replicas(service.Name) {
			if !rep.Spot {
				present[serviceZone{service.Name, rep.Zone}]++
			}
		}
	}
	for key, count := range present {
		if last := m.recentMax[key]; count >= last.count || now.Sub(last.at) > recentMaxWindow {
			m.recentMax[key] = observedMax{count, now}
		}
	}
	return present
}
