package fleet

import (
	"time"

	"woodworks/internal/requests/route"
)

const (
	// maxListAge is the age above which the list of replicas is not relied on for orders: in an
	// outage of the journal, entries expire although their replicas are running.
	maxListAge = 1500 * time.Millisecond
	// listSettleTime is how long the list must have been current before it is relied on. Entries
	// that expired in an outage are written again within two seconds of its end.
	listSettleTime = 3 * time.Second
	// recentMaxWindow is how long the largest number of listed replicas is remembered. A replica
	// that has been missing from the list for less than that may still be running.
	recentMaxWindow = 15 * time.Second
)

// ListFreshness reports how long ago the list of replicas was last known to be current.
type ListFreshness interface{ Silence() time.Duration }

// observedMax is the largest number of replicas listed within recentMaxWindow, and when it was
// last observed.
type observedMax struct {
	count int
	at    time.Time
}

// listSettled reports whether the list of replicas has been current for listSettleTime.
func (m *Manager) listSettled(now time.Time) bool {
	if m.List.Silence() > maxListAge {
		m.listStaleAt = now
	}
	return now.Sub(m.listStaleAt) >= listSettleTime
}

// countListed returns the number of listed replicas that may get work, for each zone of the
// services that have a Scaling. Spot replicas are not counted. It also updates recentMax.
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
