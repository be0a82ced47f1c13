// Package occupancy lets the owners of batches that share engines know of each other's
// requests.
//
// An owner counts the requests that it has under way at an engine; those of other owners
// it can't see. Owners that start bursts on the same engines would fill some of them twice
// over, so that texts wait in an engine's queue or are declined, beside engines that have
// room. Each owner therefore tells the others how many requests it has where, how many
// items it would start if there were room, and which paces it has measured.
//
// All that is heard is a belief: it is held for a stated time and counts as none after
// that, so that an owner that is cut off, paused or gone leaves the others with what they
// know by themselves. Nothing here is waited for, and no promise rests on it.
//
// # Usage
//
// A Table holds what was heard, a Publisher tells what this daemon has, a Service takes in
// what others tell. The load answered: some owners, each with bursts of some hundred texts
// of seconds to a minute, on the same tens to thousands of engines.
//
//	table := occupancy.NewTable(run, bootclock.Now, logger)
//	publisher := occupancy.NewPublisher(table, peers, source, dealt, logger)
//	peers.Register(occupancy.ServiceName, occupancy.NewService(table, publisher, dispatcher.Kick))
//	go publisher.Run(ctx)
//	publisher.Wake() // whenever the daemon's own requests have changed
//	engine.Others = table.Others(occupancy.KeyOf(id, born))
package occupancy

import (
	"hash/fnv"
	"strconv"
	"time"
)

const (
	// PaceUnit is the unit of paces on the wire: a hundredth of a usual pace and less.
	EventTimeUnit = 100 * time.Microsecond
	// ageUnit is the unit of ages on the wire.
	ageUnit = time.Millisecond
	// longestReport bounds the entries of each list in a report. Requests at replicas beyond
	// it go untold, as they all would without a report.
	maxEntries = 1024
)

// Key stands for one start of a replica, or for a service, where its name would be most of
// a message. Of 10,000 replicas two share a key with a chance of one in a hundred; their
// requests then count at both.
type Key uint32

// KeyOf returns the key of the start of a replica at a time, or of a replica whose start is
// not known where born is zero. What was told of an earlier start has another key.
func KeyOf(id string, born time.Time) Key {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // it never fails
	if !born.IsZero() {
		_, _ = hash.Write([]byte("\x00" + strconv.FormatInt(born.UnixNano(), 36)))
	}
	return Key(hash.Sum32())
}

// Count is how many requests of a daemon are under way at a replica.
type Count struct {
	_        struct{} `cbor:",toarray"`
	Replica  Key
	Requests uint32
}

// Pacing is a pace that was measured at a replica.
type Measurement struct {
	_       struct{} `cbor:",toarray"`
	Replica Key
	// Pace is the time between two events of a text in units of PaceUnit, Age how long ago
	// the last of these was, in milliseconds.
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

// Report is what a daemon tells of itself. It replaces the reports before of the same run;
// only its paces add to what was told before.
type Report struct {
	// Run is the daemon's identity, Number the report's place among those of the run.
	Sender string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	// Sent is when it was sent by the sender's own clock, in milliseconds. Only the
	// differences between reports of one run mean anything.
	Sent int64 `cbor:"3,keyasint"`
	// Counts are in the order of their keys. With a Base they are only those that differ
	// from the report of that number, 0 for what is no longer there.
	Counts   []Count       `cbor:"4,keyasint,omitempty"`
	Measured []Measurement `cbor:"5,keyasint,omitempty"`
	Demands  []Demand      `cbor:"6,keyasint,omitempty"`
	Base     uint64        `cbor:"7,keyasint,omitempty"`
	// Introduces says that the sender has batches, but tells one that has none only so and
	// the paces that it knows.
	Introduces bool `cbor:"8,keyasint,omitempty"`
}

// over reports whether it tells of nothing under way and nothing that waits.
func (r *Report) empty() bool { return len(r.Counts) == 0 && len(r.Demands) == 0 }

// bounded drops the entries beyond what a table takes in.
func (r *Report) bound() {
	r.Counts = r.Counts[:min(len(r.Counts), maxEntries)]
	r.Measured = r.Measured[:min(len(r.Measured), maxEntries)]
	r.Demands = r.Demands[:min(len(r.Demands), maxEntries)]
}

// changes returns the counts that differ between two reports, both in order.
func changes(before, now []Count) (found []Count) {
	for len(before)+len(now) > 0 {
		switch {
		case len(now) == 0 || len(before) > 0 && before[0].Replica < now[0].Replica:
			found = append(found, Count{Replica: before[0].Replica})
			before = before[1:]
		case len(before) == 0 || now[0].Replica < before[0].Replica:
			found = append(found, now[0])
			now = now[1:]
		default:
			if now[0].Requests != before[0].Requests {
				found = append(found, now[0])
			}
			before, now = before[1:], now[1:]
		}
	}
	return found
}

// changed returns counts with changes, both in order.
func apply(before, changes []Count) (made []Count) {
	for len(before)+len(changes) > 0 {
		if len(changes) == 0 || len(before) > 0 && before[0].Replica < changes[0].Replica {
			made = append(made, before[0])
			before = before[1:]
			continue
		}
		if len(before) > 0 && before[0].Replica == changes[0].Replica {
			before = before[1:]
		}
		if changes[0].Requests > 0 {
			made = append(made, changes[0])
		}
		changes = changes[1:]
	}
	return made
}

// Relayed is a report that another daemon has heard, Age milliseconds ago.
type Relayed struct {
	Report Report `cbor:"1,keyasint"`
	Age    uint32 `cbor:"2,keyasint"`
}

// Beliefs are all that a daemon believes, its own state included.
type Occupancy struct {
	Reports  []Relayed     `cbor:"1,keyasint,omitempty"`
	Measured []Measurement `cbor:"2,keyasint,omitempty"`
}

// MakePacing returns a pace with its age as it is told.
func NewMeasurement(replica Key, pace, age time.Duration) Measurement {
	return Measurement{Replica: replica, EventTime: uint32(pace / EventTimeUnit), Age: uint32(min(age, eventTimeLifetime) / ageUnit)}
}
