package batch

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// recordKind says what a record is.
type recordKind int

const (
	kindAccepted recordKind = iota + 1
	kindResults
	kindTakenOver
	kindReleased
	kindEnded
	kindFragment
	kindHeartbeat
	kindProgress
	kindReturned
)

// record is one entry of a journal partition.
type record struct {
	Kind    recordKind `cbor:"1,keyasint"`
	BatchID string     `cbor:"2,keyasint,omitempty"`
	// Submission and Owner come with an acceptance.
	Submission *Submission `cbor:"3,keyasint,omitempty"`
	Owner      string      `cbor:"4,keyasint,omitempty"`
	Results    []Result    `cbor:"5,keyasint,omitempty"`
	// From is the owner that a takeover or a release believes to replace.
	From string `cbor:"6,keyasint,omitempty"`
	// HandedOff are the items that the releasing owner still finishes, or those of them
	// that it gives back.
	HandedOff []int `cbor:"7,keyasint,omitempty"`
	// A fragment is a part of a record too long for the journal. Key is drawn
	// anew for each append, so that parts of two appends are never joined.
	Key   string `cbor:"8,keyasint,omitempty"`
	Index int    `cbor:"9,keyasint,omitempty"`
	Count int    `cbor:"10,keyasint,omitempty"`
	Part  []byte `cbor:"11,keyasint,omitempty"`
	// Progress is what the owner has of items that run.
	Progress []Progress `cbor:"12,keyasint,omitempty"`
	// Number rises with each sign of life of one owner of a batch, from 1.
	Number int64 `cbor:"13,keyasint,omitempty"`
	// Tenant is whose caller ends the batch.
	Tenant string `cbor:"14,keyasint,omitempty"`
}

// fragmentOverhead is room for the fields around a fragment's bytes.
const fragmentOverhead = 256

func encode(rec record) []byte {
	encoded, err := cbor.Marshal(rec)
	if err != nil {
		// All fields are plain values, which always encode.
		panic(errors.Wrap(err, "batch: encode"))
	}
	return encoded
}

func decode(encoded []byte) (record, error) {
	var rec record
	err := cbor.Unmarshal(encoded, &rec)
	return rec, errors.Wrap(err, "batch: record")
}

// Accepted is the record that makes a batch exist, owned by a daemon.
func Accepted(submission *Submission, owner string) []byte {
	return encode(record{Kind: kindAccepted, BatchID: submission.ID, Submission: submission, Owner: owner})
}

// ResultsAdded is the record that gives results their positions.
func ResultsAdded(batchID string, results []Result) []byte {
	return encode(record{Kind: kindResults, BatchID: batchID, Results: results})
}

// TakenOver is the record that makes owner the owner in place of from.
func TakenOver(batchID, from, owner string) []byte {
	return encode(record{Kind: kindTakenOver, BatchID: batchID, From: from, Owner: owner})
}

// Released is the record by which an owner releases a batch; the items in
// handedOff it still finishes.
func Released(batchID, from string, handedOff []int) []byte {
	return encode(record{Kind: kindReleased, BatchID: batchID, From: from, HandedOff: handedOff})
}

// ItemsReturned is the record by which an owner that has released a batch gives back items
// that it said it would still finish.
func ItemsReturned(batchID, from string, items []int) []byte {
	return encode(record{Kind: kindReturned, BatchID: batchID, From: from, HandedOff: items})
}

// Ended is the record after which nothing of the batch is run, if it belongs to the
// tenant.
func Ended(batchID, tenant string) []byte {
	return encode(record{Kind: kindEnded, BatchID: batchID, Tenant: tenant})
}

// Heartbeat is an owner's sign of life, the number-th of this owner. It changes nothing
// else in the fold.
func Heartbeat(batchID, owner string, number int64) []byte {
	return encode(record{Kind: kindHeartbeat, BatchID: batchID, Owner: owner, Number: number})
}

// Checkpoint is an owner's sign of life that keeps what it has of running items,
// so that another owner can go on with them.
func Checkpoint(batchID, owner string, number int64, progress []Progress) []byte {
	return encode(record{Kind: kindProgress, BatchID: batchID, Owner: owner, Number: number, Progress: progress})
}

// Fragment cuts a record that is longer than limit into records that are not.
// The fold takes the parts together as the record itself, at the offset of the
// first part. Key must be unique to this append.
func Fragment(encoded []byte, limit int, key string) [][]byte {
	if len(encoded) <= limit {
		return [][]byte{encoded}
	}
	parts := slices.Collect(slices.Chunk(encoded, limit-fragmentOverhead))
	for i, part := range parts {
		parts[i] = encode(record{Kind: kindFragment, Key: key, Index: i, Count: len(parts), Part: part})
	}
	return parts
}
