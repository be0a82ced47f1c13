package permit

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// errIncompleteRecord is returned for a record without a key or a claimant.
var errIncompleteRecord = errors.New("permit: record without a key or a claimant")

// recordKind is the type of a record. The values are stored.
type recordKind int

const (
	kindClaim recordKind = iota + 1
	kindOutcome
	kindRelease
)

// record is one record of a permit partition.
type record struct {
	Kind recordKind `cbor:"1,keyasint"`
	Key  string     `cbor:"2,keyasint"`
	// Claimant is the ID of the try that wrote the record.
	Claimant string `cbor:"3,keyasint"`
	// Digest is the hash of the request's content, in a claim.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
	// AtMs is the wall-clock time at the claimant, in Unix milliseconds.
	AtMs    int64   `cbor:"5,keyasint"`
	Outcome Outcome `cbor:"6,keyasint,omitempty"`
}

func (r record) encode() []byte {
	encoded, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // records are always encodable
	}
	return encoded
}

// Outcome is the response to the one run of a request.
type Outcome struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
	// Replica is the back end that ran the request.
	Replica string `cbor:"4,keyasint"`
}

// claim is the valid claim of a key, with the outcome of its request.
type claim struct {
	claimant string
	digest   uint64
	// claimedAt is the claimant's wall-clock time at the claim. foldedAt is when this daemon read
	// the claim; intervals since then are measured by the monotonic clock.
	claimedAt, foldedAt time.Time
	outcome             *Outcome
}

// state is the fold of one partition: the valid claim of each key. The first claim of a key is
// valid until its claimant releases the key, then the next one. The first outcome from the claimant
// counts.
type state map[string]*claim

// apply folds the next record. A record that has no effect because an earlier one won is skipped by
// every reader alike. A malformed record is skipped too, and returned as an error.
func (s state) apply(encoded []byte) error {
	var r record
	if err := cbor.Unmarshal(encoded, &r); err != nil {
		return err
	}
	if r.Key == "" || r.Claimant == "" {
		return errIncompleteRecord
	}
	c := s[r.Key]
	switch r.Kind {
	case kindClaim:
		if c == nil {
			s[r.Key] = &claim{claimant: r.Claimant, digest: r.Digest, claimedAt: time.UnixMilli(r.AtMs), foldedAt: time.Now()}
		}
	case kindOutcome:
		if c != nil && c.claimant == r.Claimant && c.outcome == nil {
			c.outcome = new(r.Outcome)
		}
	case kindRelease:
		if c != nil && c.claimant == r.Claimant && c.outcome == nil {
			delete(s, r.Key)
		}
	}
	return nil
}

// removeExpired removes the keys that were claimed before a wall-clock time and were read here more
// than minAge ago. The second condition keeps claims while the wall clock is set ahead, since a
// removed claim is never read again. The first one alone suffices between daemons whose clocks
// differ permanently, because Check compares keys with the same clock.
func (s state) removeExpired(before time.Time, minAge time.Duration) {
	for key, c := range s {
		if c.claimedAt.Before(before) && time.Since(c.foldedAt) > minAge {
			delete(s, key)
		}
	}
}
