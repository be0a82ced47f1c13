// Package batch is the state of batch jobs: a deterministic fold over the
// records of a journal partition.
//
// Every reader of a partition folds the same records in the same order and so
// holds the same state. Of records that contradict each other the first valid
// one counts; the others change nothing. A daemon that is late, paused or
// mistaken about its role can therefore waste work, but cannot lose, double or
// reorder a result.
//
// The package owns the form of the records (record.go) and the rules of the fold (fold.go);
// it is pure. Package ledger reads and writes the partitions.
//
// # Usage
//
//	state := batch.NewStateAt(0)
//	state.Apply(batch.Accepted(&submission, owner)) // each record of the partition, in order
//	b, ok := state.Get(submission.ID)
package batch

import "time"

// Header is one header of an item's request.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Reward is the request that scores an item's text.
type Reward struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint"`
}

// Item is one request of a batch.
type Item struct {
	ID      string   `cbor:"1,keyasint"`
	Path    string   `cbor:"2,keyasint"`
	Headers []Header `cbor:"3,keyasint"`
	Body    []byte   `cbor:"4,keyasint"`
	// Tokens is the size of the prompt and of the longest answer together.
	Tokens int64  `cbor:"5,keyasint"`
	Group  string `cbor:"6,keyasint,omitempty"`
	// Reward is nil if the text needs no score.
	Reward *Reward `cbor:"7,keyasint,omitempty"`
}

// Submission is a batch as its caller handed it in.
type Submission struct {
	ID string `cbor:"1,keyasint"`
	// Host and Path are those of the submitting request: they name the route.
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	// AcceptedAtMs is the accepting daemon's time of day, in milliseconds. It is for logs:
	// clocks of daemons may differ by any amount, and nothing is decided by it.
	AcceptedAtMs int64 `cbor:"4,keyasint"`
	// Step and Model are the trainer's, MinVersion is the oldest version that may make a
	// token, Desired how many whole groups the trainer waits for.
	Step       int64  `cbor:"5,keyasint"`
	Model      string `cbor:"6,keyasint"`
	MinVersion int64  `cbor:"7,keyasint"`
	Desired    int    `cbor:"8,keyasint"`
	Items      []Item `cbor:"9,keyasint"`
	// Tenant is the name of the tenant that the batch belongs to for as long as it
	// exists, whatever becomes of the key; "" where there are no tenants.
	Tenant string `cbor:"10,keyasint,omitempty"`
}

// AcceptedAt is the accepting daemon's time of day at the acceptance.
func (s *Submission) AcceptedAt() time.Time { return time.UnixMilli(s.AcceptedAtMs) }

// Outcome says how an item ended.
type Outcome int

// Outcomes of items.
const (
	// Done items have their whole text.
	Done Outcome = iota + 1
	// Dead items were given up.
	Dead
)

// Result is the end of one item.
type Result struct {
	// Item is the item's place in the submission.
	Item    int     `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
	Text    []byte  `cbor:"3,keyasint"`
	// Versions are all versions of the weights that made a part of the text.
	Versions []int64 `cbor:"4,keyasint"`
	Score    string  `cbor:"5,keyasint"`
}

// Progress is a further part of an unfinished item's text.
type Progress struct {
	Item int `cbor:"1,keyasint"`
	// From is how many events were kept before these.
	From   int      `cbor:"2,keyasint"`
	Events [][]byte `cbor:"3,keyasint"`
	// LastEvent is the id of the last of these events.
	LastEvent int64 `cbor:"4,keyasint"`
	// Versions are all versions that made an event so far.
	Versions []int64 `cbor:"5,keyasint"`
}

// Partial is the kept beginning of an item's text.
type Partial struct {
	Events    [][]byte
	LastEvent int64
	Versions  []int64
}

// Batch is the folded state of one batch. Readers must not change it.
type Batch struct {
	Submission
	// Offset is where the batch begins in its partition: no earlier record is about it.
	Offset int64
	// Owner is the daemon that runs the batch, "" after a release.
	Owner string
	// HandedOffItems are the items that the owner before said it would still finish when it
	// released the batch, less those that it has given back since. It is replaced, never
	// changed.
	HandedOffItems map[int]bool
	// handedOffBy is the owner that released the batch last, while HandedOff counts.
	handedOffBy string
	// Results in the order of their positions.
	Results []Result
	// HasResult says of each item whether it has a position.
	HasResult []bool
	Ended     bool
	// Partials are the kept beginnings of items without a position.
	Partials map[int]Partial
	// LivenessSignals counts the records that show the owner alive.
	LivenessSignals int64
	// lastHeartbeat is the highest number of the owner's signs.
	lastHeartbeat int64
}

// BelongsTo reports whether a tenant's callers may read and end the batch. A batch
// that was submitted without a tenant is anyone's.
func (b *Batch) BelongsTo(tenant string) bool { return b.Tenant == "" || b.Tenant == tenant }

// IsOpen reports whether the batch still has work: it is not ended and an item
// has no position yet.
func (b *Batch) IsOpen() bool { return !b.Ended && len(b.Results) < len(b.HasResult) }

// ItemCount is the number of items.
func (b *Batch) ItemCount() int { return len(b.HasResult) }
