// Package batch defines the records of batch jobs and the state built from them: a deterministic
// fold over the records of a journal partition.
//
// Every reader applies the same records in the same order and therefore holds the same state. Of
// records that contradict each other only the first valid one takes effect. A daemon that is slow,
// paused or wrong about its role can waste work, but cannot lose, duplicate or reorder a result.
//
// The package defines the encoding of the records (record.go) and the rules of the fold (fold.go).
// It does no I/O: package ledger reads and writes the partitions.
//
// # Usage
//
//	state := batch.NewStateAt(0)
//	state.Apply(batch.Accepted(&submission, owner)) // each record of the partition, in order
//	b, ok := state.Get(submission.ID)
package batch

import "time"

// Header is one HTTP header of an item's request.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Reward is the request that computes the score of an item's text.
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
	// Tokens is the size of the prompt plus the maximum size of the answer.
	Tokens int64  `cbor:"5,keyasint"`
	Group  string `cbor:"6,keyasint,omitempty"`
	// Reward is nil if the text is not scored.
	Reward *Reward `cbor:"7,keyasint,omitempty"`
}

// Submission is a batch as submitted by its caller.
type Submission struct {
	ID string `cbor:"1,keyasint"`
	// Host and Path are those of the submitting request and select the route.
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	// AcceptedAtMs is the wall-clock time of the accepting daemon in milliseconds. It is used in
	// logs only: the clocks of daemons are not synchronized, so no decision may depend on it.
	AcceptedAtMs int64 `cbor:"4,keyasint"`
	// Step and Model are the trainer's training step and model. MinVersion is the oldest version
	// of the weights that may generate a token. DesiredGroups is the number of complete groups
	// that the trainer waits for.
	Step          int64  `cbor:"5,keyasint"`
	Model         string `cbor:"6,keyasint"`
	MinVersion    int64  `cbor:"7,keyasint"`
	DesiredGroups int    `cbor:"8,keyasint"`
	Items         []Item `cbor:"9,keyasint"`
	// Tenant owns the batch for its whole lifetime, even if the key used for the submission is
	// revoked or reassigned. It is "" where there are no tenants.
	Tenant string `cbor:"10,keyasint,omitempty"`
}

// AcceptedAt returns the wall-clock time of the accepting daemon at the acceptance.
func (s *Submission) AcceptedAt() time.Time { return time.UnixMilli(s.AcceptedAtMs) }

// Outcome is the way in which an item ended. Its values are stored.
type Outcome int

// Outcomes of items.
const (
	// Done means that the text is complete.
	Done Outcome = iota + 1
	// Dead means that the item was given up.
	Dead
)

// Result is the outcome of one item.
type Result struct {
	// Item is the index of the item in the submission.
	Item    int     `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
	Text    []byte  `cbor:"3,keyasint"`
	// Versions are all versions of the weights that generated a part of the text.
	Versions []int64 `cbor:"4,keyasint"`
	Score    string  `cbor:"5,keyasint"`
}

// Progress holds consecutive events of an unfinished item's text, as stored by a checkpoint.
type Progress struct {
	Item int `cbor:"1,keyasint"`
	// From is the index of the first of these events in the item's text.
	From   int      `cbor:"2,keyasint"`
	Events [][]byte `cbor:"3,keyasint"`
	// LastEvent is the id of the last of these events.
	LastEvent int64 `cbor:"4,keyasint"`
	// Versions are all versions of the weights that generated an event of the item so far.
	Versions []int64 `cbor:"5,keyasint"`
}

// Partial is the checkpointed beginning of an unfinished item's text. Its fields are those of the
// Progress records that it was joined from.
type Partial struct {
	Events    [][]byte
	LastEvent int64
	Versions  []int64
}

// Failures counts the answers of replicas that report a failure of an item, or of its reward call.
type Failures struct{ Item, Reward int }

// Batch is the state of one batch after the records applied so far. Readers must not change it.
type Batch struct {
	Submission
	// Offset is the partition offset at which the batch begins: no earlier record concerns it.
	Offset int64
	// Owner is the incarnation that runs the batch, or "" after a release.
	Owner string
	// HandedOffItems are the items that the previous owner still finishes after it released the
	// batch, without those that it has returned since. The map is replaced, never modified.
	HandedOffItems map[int]bool
	// HandOffSignals counts the heartbeats of the owner that released the batch last: it still finishes
	// HandedOffItems. Earlier versions of this program send none after a release.
	HandOffSignals int64
	// HandedOffBy is the owner that released the batch last, or "" if no items are handed off.
	HandedOffBy string
	// Results are only appended: the index of a result is its position and never changes.
	Results []Result
	// HasResult reports, by index of the item, whether Results includes the item.
	HasResult []bool
	Ended     bool
	// EndedEarly reports that an end of the batch precedes its acceptance. None of its items may be
	// started. A reader that lacks the early end, as an earlier version of this program or one whose
	// records were trimmed, holds the batch to be open until a daemon appends the end once more;
	// until then results are added for every reader alike.
	EndedEarly bool
	// Partials are the checkpointed beginnings of items without a result, by index of the item.
	Partials map[int]Partial
	// Suspected holds the quarantine's entries of the contents of items without a result, by index of
	// the item.
	Suspected map[int][]byte
	// Failures are those of items without a result, by index of the item.
	Failures map[int]Failures
	// LivenessSignals counts the records that show that an owner is alive. It never decreases; an
	// owner is suspected when it stays the same for too long.
	LivenessSignals int64
	// lastHeartbeat is the highest heartbeat number received from the current owner.
	lastHeartbeat int64
}

// BelongsTo reports whether callers of a tenant may read and end the batch. A batch that was
// submitted without a tenant is open to every tenant.
func (b *Batch) BelongsTo(tenant string) bool { return b.Tenant == "" || b.Tenant == tenant }

// HasEnded reports whether the batch has ended, also if its end precedes its acceptance.
func (b *Batch) HasEnded() bool { return b.Ended || b.EndedEarly }

// IsOpen reports whether the batch has not ended and an item has no result yet.
func (b *Batch) IsOpen() bool { return !b.HasEnded() && len(b.Results) < len(b.HasResult) }

// ItemCount returns the number of items, also after the end of the batch.
func (b *Batch) ItemCount() int { return len(b.HasResult) }
