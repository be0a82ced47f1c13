package usage

import (
	"maps"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// recordKind is the kind of a record. The values are stored and must not change.
type recordKind int

const (
	// kindCounted adds the counts of a daemon.
	kindCounted recordKind = iota + 1
	// kindDecided fixes the counts of a window: the first such record of a window applies.
	kindDecided
	// kindReported means that the reporting of a window is finished.
	kindReported
)

// record is a record in Partition. Kind determines which other fields are set.
type record struct {
	Kind recordKind `cbor:"1,keyasint"`
	// Sender is the incarnation of the daemon that counted; Number increases by one with each
	// of its records.
	Sender string `cbor:"2,keyasint,omitempty"`
	Number int64  `cbor:"3,keyasint,omitempty"`
	// Counts has the number of requests by window and tenant.
	Counts map[int64]map[string]int64 `cbor:"4,keyasint,omitempty"`
	// Window is the window that is decided or reported, Requests the decided counts by tenant.
	Window   int64            `cbor:"5,keyasint,omitempty"`
	Requests map[string]int64 `cbor:"6,keyasint,omitempty"`
}

func encode(rec record) []byte {
	encoded, err := cbor.Marshal(rec)
	if err != nil {
		// Cannot happen: values of these field types always encode.
		panic(errors.Wrap(err, "usage: encode"))
	}
	return encoded
}

// retainedWindows is the number of decided windows that the fold retains, and the number of
// windows after which it removes a sender that no longer counts: far more than a record can be
// delayed. A record of an older window is still not counted, as all windows up to the last
// decided one count as decided.
const retainedWindows = 64

// state is the fold of the partition. Every reader that applies the same records in the same
// order has the same state.
//
// Invariant: a window is decided once; its decided counts never change after that.
type state struct {
	// counts has the number of requests by window and tenant, for windows that are not decided.
	counts map[int64]map[string]int64
	// senders has the incarnations of daemons that counted, so that a record that was appended
	// twice counts once.
	senders map[string]senderState
	// decided has the counts of decided windows by tenant, reported the windows whose reporting
	// is finished.
	decided  map[int64]map[string]int64
	reported map[int64]bool
	// lastDecided is the newest decided window, valid if anyDecided.
	lastDecided int64
	anyDecided  bool
	// lateRequests counts requests in records that follow the decision of their window. They are
	// not reported.
	lateRequests int64
}

// senderState has the number of a sender's last record and the newest window with counts in that
// record.
type senderState struct{ number, window int64 }

func newState() *state {
	return &state{
		counts: map[int64]map[string]int64{}, senders: map[string]senderState{},
		decided: map[int64]map[string]int64{}, reported: map[int64]bool{},
	}
}

// apply applies the next record. A record that repeats or contradicts an earlier one changes
// nothing. An error means that the record can't be decoded and changed nothing.
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
	sender := senderState{number: rec.Number}
	for window := range rec.Counts {
		sender.window = max(sender.window, window)
	}
	s.senders[rec.Sender] = sender
	for window, requests := range rec.Counts {
		if s.isDecided(window) {
			s.lateRequests += totalRequests(requests)
			continue
		}
		addTo(s.counts, window, requests)
	}
}

// isDecided reports whether a window is decided. Windows are decided in ascending order, so all
// windows up to lastDecided are.
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
	maps.DeleteFunc(s.senders, func(_ string, sender senderState) bool { return sender.window <= s.lastDecided-retainedWindows })
}

// unreported returns the retained windows that are decided and whose reporting isn't known to be
// finished, in ascending order.
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
