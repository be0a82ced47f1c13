package usage

import (
	"maps"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

type recordKind int

const (
	// kindCounted adds a daemon's counts.
	kindCounted recordKind = iota + 1
	// kindDecided settles the figures of a window.
	kindDecided
	// kindReported says that the platform has taken the figures of a window.
	kindReported
)

// record is one entry of the partition.
type record struct {
	Kind recordKind `cbor:"1,keyasint"`
	// Sender is the incarnation of a daemon that counted; Number rises by one with each of its
	// records.
	Sender string `cbor:"2,keyasint,omitempty"`
	Number int64  `cbor:"3,keyasint,omitempty"`
	// Counts are by window and tenant.
	Counts map[int64]map[string]int64 `cbor:"4,keyasint,omitempty"`
	// Window and Requests are those of a decision, Window that of a report.
	Window   int64            `cbor:"5,keyasint,omitempty"`
	Requests map[string]int64 `cbor:"6,keyasint,omitempty"`
}

func encode(rec record) []byte {
	encoded, err := cbor.Marshal(rec)
	if err != nil {
		// All fields are plain values, which always encode.
		panic(errors.Wrap(err, "usage: encode"))
	}
	return encoded
}

// retainedWindows is how many decided windows the fold remembers, and for how many it
// remembers a sender: far longer than a record may be under way. A late record of an older
// one changes nothing, as the windows below the first remembered count as decided.
const retainedWindows = 64

// state is the fold of the partition. The same records in the same order give the same
// state to every reader.
//
// Invariant: a window is decided once; its figures never change after that.
type state struct {
	// counts are by window and tenant, of windows that are not decided.
	counts map[int64]map[string]int64
	// senders are the daemons' incarnations that have counted, so that a record of theirs that is
	// there twice counts once.
	senders map[string]senderState
	// decided are the figures of decided windows, reported those taken by the platform.
	decided  map[int64]map[string]int64
	reported map[int64]bool
	// lastDecided is the newest decided window; anyDecided says that there is one.
	lastDecided int64
	anyDecided  bool
	// lateRequests counts requests whose record came after their window was decided.
	lateRequests int64
}

// senderState is what is remembered of a sender: the number of its last record, and the newest
// window that it counted in.
type senderState struct{ number, window int64 }

func newState() *state {
	return &state{
		counts: map[int64]map[string]int64{}, senders: map[string]senderState{},
		decided: map[int64]map[string]int64{}, reported: map[int64]bool{},
	}
}

// apply folds the next record. One that cannot be decoded or contradicts an earlier one
// changes nothing.
func (s *state) apply(encoded []byte) error {
	var rec record
	if err := cbor.Unmarshal(encoded, &rec); err != nil {
		return errors.Wrap(err, "usage: decode")
	}
	switch rec.Kind {
	case kindCounted:
		s.count(rec)
	case kindDecided:
		s.decide(rec)
	case kindReported:
		s.reported[rec.Window] = true
	}
	return nil
}

func (s *state) count(rec record) {
	if rec.Number <= s.senders[rec.Sender].number {
		return
	}
	seen := senderState{number: rec.Number}
	for window := range rec.Counts {
		seen.window = max(seen.window, window)
	}
	s.senders[rec.Sender] = seen
	for window, requests := range rec.Counts {
		if s.isDecided(window) {
			s.lateRequests += totalRequests(requests)
			continue
		}
		addTo(s.counts, window, requests)
	}
}

// isDecided reports whether a window's figures are settled. Windows are decided in
// ascending order.
func (s *state) isDecided(window int64) bool { return s.anyDecided && window <= s.lastDecided }

func (s *state) decide(rec record) {
	if s.isDecided(rec.Window) {
		return
	}
	s.decided[rec.Window] = rec.Requests
	s.lastDecided, s.anyDecided = rec.Window, true
	maps.DeleteFunc(s.counts, func(window int64, _ map[string]int64) bool { return s.isDecided(window) })
	for window := range s.decided {
		if window <= s.lastDecided-retainedWindows {
			delete(s.decided, window)
			delete(s.reported, window)
		}
	}
	maps.DeleteFunc(s.senders, func(_ string, seen senderState) bool { return seen.window <= s.lastDecided-retainedWindows })
}

// unreported returns the decided windows that the platform has not taken, as far as is
// known, in ascending order.
func (s *state) unreported() []int64 {
	var windows []int64
	for window := s.lastDecided - retainedWindows + 1; window <= s.lastDecided; window++ {
		if _, decided := s.decided[window]; decided && !s.reported[window] {
			windows = append(windows, window)
		}
	}
	return windows
}

func addTo(counts map[int64]map[string]int64, window int64, requests map[string]int64) {
	if counts[window] == nil {
		counts[window] = map[string]int64{}
	}
	for tenant, count := range requests {
		counts[window][tenant] += count
	}
}

func totalRequests(requests map[string]int64) int64 {
	sum := int64(0)
	for _, count := range requests {
		sum += count
	}
	return sum
}
