package replica

import "time"

const (
	// paceEvents is over how many events the pace of an engine is averaged: the
	// times between two differ by a fifth, so that the mean is known to within
	// a few hundredths, and an engine that turns slow shows within half a second.
	paceEvents = 20
	// paceHolds is how long a pace is believed without new events: a replica
	// that was slow gets work again and shows how it is now.
	paceHolds = 3 * time.Second
	// soundSpan is over how long at least the best pace is remembered.
	soundSpan = 15 * time.Second
)

// pace is the time between two events of the texts that a replica makes.
type pace struct {
	mean   time.Duration
	events int
	at     time.Time
	// sound is the best mean of the present span and of the one before, which
	// tells replicas apart that get nothing to do for a while.
	sound [2]time.Duration
	since time.Time
}

// note takes the time between two events into account.
func (p *pace) note(gap time.Duration, now time.Time) {
	if now.Sub(p.at) > paceHolds {
		p.events = 0
	}
	p.events = min(p.events+1, paceEvents)
	p.mean += (gap - p.mean) / time.Duration(p.events)
	p.at = now
	if p.events < paceEvents {
		return
	}
	if now.Sub(p.since) > soundSpan {
		p.sound, p.since = [2]time.Duration{p.mean, p.sound[0]}, now
	}
	p.sound[0] = min(p.sound[0], p.mean)
}

// value returns the pace to reckon with, 0 if it is unknown.
func (p *pace) value(now time.Time) time.Duration {
	if p.events > 0 && now.Sub(p.at) <= paceHolds {
		return p.mean
	}
	if p.sound[1] > 0 {
		return min(p.sound[0], p.sound[1])
	}
	return p.sound[0]
}
