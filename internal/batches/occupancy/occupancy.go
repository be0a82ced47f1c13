// Package occupancy lets the owners of batches that share engines know of each other's
// requests.
//
// An owner counts the requests that it has under way at an engine; those of other owners
// it can't see. Owners that start bursts on the same engines would fill some of them twice
// over, so that texts wait in an engine's queue or are declined, beside engines that have
// room. Each owner therefore reports to the others how many requests it has where, how many
// items it would start if there were room, and which event times it has measured.
//
// A report counts for a stated time and as none after that, so that an owner that is cut
// off, paused or gone leaves the others with what they know by themselves. Nothing here is
// waited for, and no promise rests on it: all of it may be lost.
//
// The package owns a Table of what others reported and a Publisher that sends this daemon's
// reports; a Service takes reports in. It relies on the relay for calls to other daemons and
// on the group for who may become an owner. Allowance and Turn are the rules by which owners
// leave each other room; they are pure. The package is built for some owners, each with bursts of
// some hundred texts of seconds to a minute, on the same tens to thousands of engines.
//
// # Usage
//
//	table := occupancy.NewTable(self, bootclock.Now, logger)
//	publisher := occupancy.NewPublisher(table, peers, source, candidates, logger)
//	peers.Register(occupancy.ServiceName, occupancy.NewService(table, publisher, dispatcher.Kick))
//	go publisher.Run(ctx)
//	publisher.Wake() // whenever the daemon's own requests have changed
//	engine.OthersInFlight = table.InFlight(occupancy.KeyOf(id, born))
package occupancy

import (
	"hash/fnv"
	"strconv"
	"time"
)

const (
	// eventTimeUnit is the unit of event times on the wire: a hundredth of a usual one and less.
	eventTimeUnit = 100 * time.Microsecond
	// ageUnit is the unit of ages on the wire.
	ageUnit = time.Millisecond
	// maxEntries bounds the entries of each list in a report. Requests at replicas beyond it
	// are not reported.
	maxEntries = 1024
)

// Key stands for one start of a replica, or for a service, where its name would be most of
// a message. Of 10,000 replicas two share a key with a chance of one in a hundred; their
// requests then count at both.
type Key uint32

// KeyOf returns the key of the start of a replica at a time, or of a replica whose start is
// not known where born is zero. What was reported of an earlier start has another key.
func KeyOf(id string, born time.Time) Key {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // it never fails
	if !born.IsZero() {
		_, _ = hash.Write([]byte("\x00" + strconv.FormatInt(born.UnixNano(), 36)))
	}
	return Key(hash.Sum32())
}

// RequestCount is how many requests of a daemon are under way at a replica.
type RequestCount struct {
	_        struct{} `cbor:",toarray"`
	Replica  Key
	Requests uint32
}

// Measurement is an event time that was measured at a replica.
type Measurement struct {
	_       struct{} `cbor:",toarray"`
	Replica Key
	// EventTime is the time between two events of a text in units of eventTimeUnit, Age how long
	// ago the last of these was, in milliseconds.
	EventTime, Age uint32
}

// Demand is what a daemon has and would have of a service's engines.
type Demand struct {
	_       struct{} `cbor:",toarray"`
	Service Key
	// Rank is that of the most urgent item that waits, 0 being the most urgent of all.
	Rank int32
	// InFlight is how many requests are under way, Waiting how many items wait for room
	// and for nothing else.
	InFlight, Waiting uint32
}

// Report is what a daemon reports of itself. It replaces the reports before of the same
// incarnation; only its event times add to what was reported before. On the wire its fields
// go by their keys.
type Report struct {
	// Sender is the daemon's identity, Number the report's place among those of this
	// incarnation.
	Sender string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	// SentMillis is when it was sent by the sender's own clock, in milliseconds. Only the
	// differences between reports of one incarnation mean anything.
	SentMillis int64 `cbor:"3,keyasint"`
	// Counts are in the order of their keys. With a Base they are only those that differ
	// from the report of that number, 0 for what is no longer there.
	Counts       []RequestCount `cbor:"4,keyasint,omitempty"`
	Measurements []Measurement  `cbor:"5,keyasint,omitempty"`
	Demands      []Demand       `cbor:"6,keyasint,omitempty"`
	BaseNumber   uint64         `cbor:"7,keyasint,omitempty"`
	// IsIntroduction says that the sender has batches, and reports to one that has none only so
	// and the event times that it knows.
	IsIntroduction bool `cbor:"8,keyasint,omitempty"`
}

// isEmpty reports whether nothing is under way and nothing waits.
func (r *Report) isEmpty() bool { return len(r.Counts) == 0 && len(r.Demands) == 0 }

// truncate drops the entries beyond what a table takes in.
func (r *Report) truncate() {
	r.Counts = r.Counts[:min(len(r.Counts), maxEntries)]
	r.Measurements = r.Measurements[:min(len(r.Measurements), maxEntries)]
	r.Demands = r.Demands[:min(len(r.Demands), maxEntries)]
}

// diffCounts returns the counts that differ between two reports, both in order.
func diffCounts(before, now []RequestCount) (diff []RequestCount) {
	for len(before)+len(now) > 0 {
		switch {
		case len(now) == 0 || len(before) > 0 && before[0].Replica < now[0].Replica:
			diff = append(diff, RequestCount{Replica: before[0].Replica})
			before = before[1:]
		case len(before) == 0 || now[0].Replica < before[0].Replica:
			diff = append(diff, now[0])
			now = now[1:]
		default:
			if now[0].Requests != before[0].Requests {
				diff = append(diff, now[0])
			}
			before, now = before[1:], now[1:]
		}
	}
	return diff
}

// applyDiff returns counts with changes, both in order.
func applyDiff(before, changes []RequestCount) (counts []RequestCount) {
	for len(before)+len(changes) > 0 {
		if len(changes) == 0 || len(before) > 0 && before[0].Replica < changes[0].Replica {
			counts = append(counts, before[0])
			before = before[1:]
			continue
		}
		if len(before) > 0 && before[0].Replica == changes[0].Replica {
			before = before[1:]
		}
		if changes[0].Requests > 0 {
			counts = append(counts, changes[0])
		}
		changes = changes[1:]
	}
	return counts
}

// RelayedReport is a report that another daemon got, Age milliseconds ago.
type RelayedReport struct {
	Report Report `cbor:"1,keyasint"`
	Age    uint32 `cbor:"2,keyasint"`
}

// Snapshot is all that a daemon knows, its own state included.
type Snapshot struct {
	Reports      []RelayedReport `cbor:"1,keyasint,omitempty"`
	Measurements []Measurement   `cbor:"2,keyasint,omitempty"`
}

// NewMeasurement returns an event time with its age as it is sent.
func NewMeasurement(replica Key, eventTime, age time.Duration) Measurement {
	age = min(age, eventTimeMaxAge)
	return Measurement{
		Replica:   replica,
		EventTime: uint32(eventTime / eventTimeUnit),
		Age:       uint32(age / ageUnit),
	}
}
