package handoff

import (
	"hash/fnv"
	"time"
)

// oftenFactor is how many requests a daemon must have within the rest of a connection for
// its connections to last: requests come by chance, and of those that come twice within a
// rest on the mean one in eight finds its connection closed.
const oftenFactor = 2

// Situation is what is known when a request is to be sent.
type Situation struct {
	// Own is the name of the daemon that has the request, Zone those of the others of its
	// zone.
	Own  string
	Zone []string
	// Away reports whether a peer was silent, full or not there a moment ago.
	Away func(peer string) bool
	// Service is where the request goes.
	Service string
	// Connected says that a connection to a replica of the service rests here.
	Connected bool
	// Gap is the mean time between requests of this daemon's own callers for the service, 0
	// before the second one.
	Gap time.Duration
	// Rest is how long a connection to the service may rest, 0 if no answer has told.
	Rest time.Duration
}

// Choice is where a request goes: Direct or Peer.
type Choice interface{ choice() }

// Direct sends the request to a replica from here.
type Direct struct{ Reason string }

// Peer hands the request to another daemon.
type Peer struct{ Name string }

func (Direct) choice() {}
func (Peer) choice()   {}

// Decide chooses the daemon that sends a request. All daemons of a zone choose the same
// one for a service, so that its connections are in use before they have rested too long;
// when one goes, only the services that were its own move.
func Decide(s Situation) Choice {
	switch {
	case s.Connected:
		return Direct{Reason: "a connection rests here"}
	case s.Rest == 0 || s.Gap == 0:
		return Direct{Reason: "not known how long connections last"}
	case s.Gap*oftenFactor <= s.Rest:
		return Direct{Reason: "asked often enough to keep connections"}
	}
	best, bestWeight := s.Own, weight(s.Service, s.Own)
	for _, name := range s.Zone {
		if w := weight(s.Service, name); w > bestWeight && !s.Away(name) {
			best, bestWeight = name, w
		}
	}
	if best == s.Own {
		return Direct{Reason: "handled here"}
	}
	return Peer{Name: best}
}

// weight is that of a daemon for a service in rendezvous hashing.
func weight(service, daemon string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(service)) // A hash takes all bytes.
	_, _ = hash.Write([]byte{0})       // It separates the names.
	_, _ = hash.Write([]byte(daemon))
	mixed := hash.Sum64()
	// FNV's last bytes hardly reach its upper bits: names that differ in a digit would rank alike.
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	return mixed ^ mixed>>33
}
