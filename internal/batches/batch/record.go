package batch

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// recordKind is the type of a record. Its values are stored.
type recordKind int

const (
	kindAccepted recordKind = iota + 1
	kindResultsAdded
	kindTakenOver
	kindReleased
	kindEnded
	kindFragment
	kindHeartbeat
	kindCheckpoint
	kindItemsReturned
	kindContentSuspected
	kindItemFailed
	kindFragmentsAbandoned
)

// record is one entry of a journal partition. Which fields are set depends on Kind.
type record struct {
	Kind    recordKind `cbor:"1,keyasint"`
	BatchID string     `cbor:"2,keyasint,omitempty"`
	// Submission is set in kindAccepted. Owner is the incarnation that owns the batch from this
	// record on, or that sends a heartbeat or a checkpoint.
	Submission *Submission `cbor:"3,keyasint,omitempty"`
	Owner      string      `cbor:"4,keyasint,omitempty"`
	Results    []Result    `cbor:"5,keyasint,omitempty"`
	// From is the owner that a takeover replaces, or that releases the batch or returns items.
	// A takeover or release takes effect only if From is the owner at that point.
	From string `cbor:"6,keyasint,omitempty"`
	// HandedOff are the items that the releasing owner still finishes, or the items that it returns.
	HandedOff []int `cbor:"7,keyasint,omitempty"`
	// Key, Index, Count and Part are those of a fragment of a record that exceeds the journal's
	// limit. Key is random and new for each append, so that fragments of two appends are never
	// joined; kindFragmentsAbandoned has the Key of those that will never be complete. In
	// kindContentSuspected, Index is that of an item, and Part what the quarantine knows of
	// the content of the item or of its reward call. In kindItemFailed, Index is that of an item, and
	// Count how often its reward call has failed.
	Key   string `cbor:"8,keyasint,omitempty"`
	Index int    `cbor:"9,keyasint,omitempty"`
	Count int    `cbor:"10,keyasint,omitempty"`
	Part  []byte `cbor:"11,keyasint,omitempty"`
	// Progress is set in kindCheckpoint.
	Progress []Progress `cbor:"12,keyasint,omitempty"`
	// Number increases with each heartbeat or checkpoint of one owner, starting at 1 or more. It is
	// 0 in records of earlier versions of this program. In kindItemFailed it is how often the item has
	// failed.
	Number int64 `cbor:"13,keyasint,omitempty"`
	// Tenant is that of the caller that ends the batch.
	Tenant string `cbor:"14,keyasint,omitempty"`
}

// fragmentOverhead is reserved in each fragment for the fields other than Part, in bytes.
const fragmentOverhead = 256

func encode(rec record) []byte {
	encoded, err := cbor.Marshal(rec)
	if err != nil {
		// All fields are plain values, which always encode.
		panic(errors.Wrap(err, "batch: encode record"))
	}
	return encoded
}

func decode(encoded []byte) (record, error) {
	var rec record
	err := cbor.Unmarshal(encoded, &rec)
	return rec, errors.Wrap(err, "batch: decode record")
}

// Accepted returns the encoded record that creates a batch with an owner.
func Accepted(submission *Submission, owner string) []byte {
	return encode(record{Kind: kindAccepted, BatchID: submission.ID, Submission: submission, Owner: owner})
}

// ResultsAdded returns the encoded record that appends results to those of a batch.
func ResultsAdded(batchID string, results []Result) []byte {
	return encode(record{Kind: kindResultsAdded, BatchID: batchID, Results: results})
}

// TakenOver returns the encoded record that replaces one owner of a batch by another. The argument
// from is "" for a batch that was released.
func TakenOver(batchID, from, owner string) []byte {
	return encode(record{Kind: kindTakenOver, BatchID: batchID, From: from, Owner: owner})
}

// Released returns the encoded record that leaves a batch without an owner. The argument from is the
// owner so far, which still finishes the items with the indexes in handedOff.
func Released(batchID, from string, handedOff []int) []byte {
	return encode(record{Kind: kindReleased, BatchID: batchID, From: from, HandedOff: handedOff})
}

// ItemsReturned returns the encoded record that leaves handed-off items to the next owner. The
// argument from is the owner that released the batch and does not finish these items after all.
func ItemsReturned(batchID, from string, items []int) []byte {
	return encode(record{Kind: kindItemsReturned, BatchID: batchID, From: from, HandedOff: items})
}

// Ended returns the encoded record that ends a batch of a tenant. The fold ignores the record if
// the batch does not belong to that tenant.
func Ended(batchID, tenant string) []byte {
	return encode(record{Kind: kindEnded, BatchID: batchID, Tenant: tenant})
}

// Heartbeat returns the encoded record that shows that an owner is alive. Its number must be higher
// than those of the owner's earlier heartbeats and checkpoints.
func Heartbeat(batchID, owner string, number int64) []byte {
	return encode(record{Kind: kindHeartbeat, BatchID: batchID, Owner: owner, Number: number})
}

// Checkpoint returns the encoded record of a heartbeat that also stores the progress of unfinished
// items, so that another owner can continue them.
func Checkpoint(batchID, owner string, number int64, progress []Progress) []byte {
	return encode(record{Kind: kindCheckpoint, BatchID: batchID, Owner: owner, Number: number, Progress: progress})
}

// ContentSuspected returns the encoded record of what the owner's quarantine knows of an item's
// content, so that the next owner knows it before it starts the item. The entry is opaque here; it
// replaces the item's earlier one.
func ContentSuspected(batchID string, item int, entry []byte) []byte {
	return encode(record{Kind: kindContentSuspected, BatchID: batchID, Index: item, Part: entry})
}

// ItemFailed returns the encoded record of how often replicas have reported a failure of an item and of
// its reward call, so that the next owner goes on counting. It never lowers a count.
func ItemFailed(batchID string, item int, failures Failures) []byte {
	return encode(record{Kind: kindItemFailed, BatchID: batchID, Index: item, Number: int64(failures.Item), Count: failures.Reward})
}

// FragmentsAbandoned returns the encoded record that gives up the record with fragments of a key: not all of
// them were appended. Fragments that arrive after it are ignored.
func FragmentsAbandoned(key string) []byte {
	return encode(record{Kind: kindFragmentsAbandoned, Key: key})
}

// Fragment splits a record longer than limit bytes into records of at most limit bytes, and returns
// a shorter one unchanged. The fold joins the fragments into the original record, at the offset of
// the first one. The key must be unique to this append.
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
