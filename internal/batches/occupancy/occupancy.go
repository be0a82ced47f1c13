// Package occupancy shares, between the owners of batches, how many requests each has at the
// engines that they have in common.
//
// An owner knows only its own requests at an engine. Owners that start bursts on the same
// engines would overload some of them, so that items queue or are declined while other engines
// have room. Each owner therefore reports to the others its requests by engine, the number of
// items it would start if there were room, and the event times it has measured.
//
// A report expires after reportTTL, so that an owner that is cut off, paused or gone no longer
// counts. Nothing waits for reports, and correctness does not depend on them: any of them may
// be lost.
//
// Table holds the reports of other owners, Publisher sends this daemon's, and Service receives
// reports. The package uses the relay for calls to other daemons and group membership to learn
// which daemons may become owners. Allowance and StartLimiter implement fair sharing of slots;
// they do no I/O. The design is for a small number of owners, each with bursts of some hundred
// items that take seconds to a minute, on up to thousands of shared engines.
//
// # Usage
//
//	table := occupancy.NewTable(self, bootclock.Now, logger)
//	publisher := occupancy.NewPublisher(table, peers, source, candidates, logger)
//	peers.Register(occupancy.ServiceName, occupancy.NewService(table, publisher, runner.ReportReceived))
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
	// eventTimeUnit is the unit of event times on the wire: a hundredth of a usual one or less.
	eventTimeUnit = 100 * time.Microsecond
	// ageUnit is the unit of ages on the wire.
	ageUnit = time.Millisecond
	// maxEntries limits each list of a report. Entries beyond it are not sent.
	maxEntries = 1024
)

// Key is a hash that identifies one incarnation of a replica, or a service, and keeps messages
// short. On a collision the requests of both replicas count at each of them. The probability that
// any two of 10,000 replicas collide is about one in a hundred.
type Key uint32

// KeyOf returns the key of the incarnation of replica id that started at born. A zero born means
// that the start is unknown, or that id names a service.
func KeyOf(id string, born time.Time) Key {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // never fails
	if !born.IsZero() {
		_, _ = hash.Write([]byte("\x00" + strconv.FormatInt(born.UnixNano(), 36)))
	}
	return Key(hash.Sum32())
}

// RequestCount is the number of a daemon's requests at a replica.
type RequestCount struct {
	_        struct{} `cbor:",toarray"`
	Replica  Key
	Requests uint32
}

// Measurement is an event time measured at a replica.
type Measurement struct {
	_       struct{} `cbor:",toarray"`
	Replica Key
	// EventTime is the time between two events of an output, in units of eventTimeUnit. Age is the
	// time since the replica's last event, in milliseconds.
	EventTime, Age uint32
}

// Demand is the number of requests that a daemon has at a service's engines, and how many more it
// would start if there were room.
type Demand struct {
	_       struct{} `cbor:",toarray"`
	Service Key
	// Rank is the priority of the most urgent waiting item, 0 being the most urgent.
	Rank int32
	// InFlight is the number of running requests, Waiting the number of items that wait only
	// for room.
	InFlight, Waiting uint32
}

// Report is a daemon's own state. It replaces earlier reports of the same incarnation, except
// that measurements add to those reported before. The integer keys of its fields are its wire
// format.
type Report struct {
	// Sender is the daemon's identity. Number increases with each report of an incarnation.
	Sender string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	// SentMillis is the time of sending by the sender's clock, in milliseconds. Only
	// differences between reports of one incarnation are meaningful.
	SentMillis int64 `cbor:"3,keyasint"`
	// Counts are sorted by replica. If BaseNumber is set, they are a delta to the report of that
	// number: the counts that differ, with 0 for replicas that no longer have requests.
	Counts       []RequestCount `cbor:"4,keyasint,omitempty"`
	Measurements []Measurement  `cbor:"5,keyasint,omitempty"`
	Demands      []Demand       `cbor:"6,keyasint,omitempty"`
	BaseNumber   uint64         `cbor:"7,keyasint,omitempty"`
	// IsIntroduction marks a report to a daemon without batches. It says only that the sender
	// has batches, and contains its measurements.
	IsIntroduction bool `cbor:"8,keyasint,omitempty"`
}

// isEmpty reports whether the daemon has neither running requests nor waiting items.
func (r *Report) isEmpty() bool { return len(r.Counts) == 0 && len(r.Demands) == 0 }

// truncate limits each list to maxEntries.
func (r *Report) truncate() {
	r.Counts = r.Counts[:min(len(r.Counts), maxEntries)]
	r.Measurements = r.Measurements[:min(len(r.Measurements), maxEntries)]
	r.Demands = r.Demands[:min(len(r.Demands), maxEntries)]
}

// diffCounts returns the delta from before to now: the counts in now that differ, and 0 for
// replicas that are only in before. Both lists must be sorted by replica.
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

// applyDiff returns the counts in before with the delta changes applied. Both must be sorted by
// replica.
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

// RelayedReport is a report in a snapshot. Age is the time since the report was sent, in
// milliseconds.
type RelayedReport struct {
	Report Report `cbor:"1,keyasint"`
	Age    uint32 `cbor:"2,keyasint"`
}

// Snapshot is everything that a daemon knows: the current reports and the event times, including
// its own.
type Snapshot struct {
	Reports      []RelayedReport `cbor:"1,keyasint,omitempty"`
	Measurements []Measurement   `cbor:"2,keyasint,omitempty"`
}

// NewMeasurement converts an event time and its age to their wire format.
func NewMeasurement(replica Key, eventTime, age time.Duration) Measurement {
	age = min(age, eventTimeMaxAge)
	return Measurement{
		Replica:   replica,
		EventTime: uint32(eventTime / eventTimeUnit),
		Age:       uint32(age / ageUnit),
	}
}
