package quarantine

import (
	"maps"
	"time"
)

const (
	// maxRecentEnds bounds the ends that a table remembers for burstWindow, and maxOwnEnds those that it
	// remembers for one content.
	maxRecentEnds = 256
	maxOwnEnds    = 2 * maxEndedReplicas
)

// recentEnd is an end of a replica of a service, with the time at which this daemon learned of it.
type recentEnd struct {
	service string
	at      time.Time
}

// recentEnds holds ends by incarnation. Those older than burstWindow don't count.
type recentEnds map[string]recentEnd

// note adds an end, unless as many as most are remembered that still count. These suffice to see a burst.
func (r *recentEnds) note(name, service string, now time.Time, most int) {
	if *r == nil {
		*r = recentEnds{}
	}
	if len(*r) >= most {
		maps.DeleteFunc(*r, func(_ string, end recentEnd) bool { return now.Sub(end.at) > burstWindow })
	}
	if len(*r) < most {
		(*r)[name] = recentEnd{service, now}
	}
}

// noteEnd remembers an end under a content. t.mu must be held.
func (t *Table) noteEnd(s *suspect, name string, now time.Time) {
	s.ownEnds.note(name, s.Label.Service, now, maxOwnEnds)
	t.recentEnds.note(name, s.Label.Service, now, maxRecentEnds)
}

// inBurst reports whether a replica of the content's service ended within burstWindow that did not run the content.
// Replicas then end for another reason, so that an end under the content says little about it. t.mu must be
// held.
func (t *Table) inBurst(s *suspect, now time.Time) bool {
	for name, end := range t.recentEnds {
		_, own := s.ownEnds[name]
		if !own && s.Ended[name] == 0 && end.service == s.Label.Service && now.Sub(end.at) <= burstWindow {
			return true
		}
	}
	return false
}
