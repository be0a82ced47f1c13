package permit

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// errIncompleteRecord: a record names no key or no claimant.
var errIncompleteRecord = errors.New("permit: record without a key or a claimant")

// recordKind says what a record tells.
type recordKind int

const (
	kindClaim recordKind = iota + 1
	kindOutcome
	kindRelease
)

// record is one record of a permit partition.
type record struct {
	Kind     recordKind `cbor:"1,keyasint"`
	Key      string     `cbor:"2,keyasint"`
	Claimant string     `cbor:"3,keyasint"`
	// Digest is that of the request's content, for a claim.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
	// AtMs is the claimant's time of day, in milliseconds.
	AtMs    int64   `cbor:"5,keyasint"`
	Outcome Outcome `cbor:"6,keyasint,omitempty"`
}

func (r record) encode() []byte {
	encoded, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // a record is always encodable
	}
	return encoded
}

// Outcome is what the request's one run came to.
type Outcome struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
	// Replica is the back end that ran the request.
	Replica string `cbor:"4,keyasint"`
}

// claim is the claim of a key that counts, with what came of it.
type claim struct {
	claimant string
	digest   uint64
	// claimedAt is the claimant's time of day claimedAt the claim, foldedAt when the claim was read
	// here, by the steady clock.
	claimedAt, foldedAt time.Time
	outcome             *Outcome
}

// state is the fold of one partition: of the claims of a key the first counts,
// of the outcomes the first that its claimant gave. After the claimant has given
// the key back, the next claim counts.
type state map[string]*claim

// apply folds the next record. One that comes too late changes nothing, for every reader
// alike; nor does one that is malformed, which is an error.
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

// removeExpired drops the keys that were claimed before a time of day, and were read here a span
// ago at least: the time of day may be set ahead, and back again, and a claim that is
// forgotten is not read again. The time of day alone does for daemons whose clocks differ
// for good, as the use of keys is bounded by the same clock.
func (s state) removeExpired(before time.Time, kept time.Duration) {
	for key, c := range s {
		if c.claimedAt.Before(before) && time.Since(c.foldedAt) > kept {
			delete(s, key)
		}
	}
}
