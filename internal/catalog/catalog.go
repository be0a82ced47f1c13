// Package catalog folds the platform's log into the configuration in force.
//
// The fold is deterministic: every daemon that has applied the same records
// holds the same State. A version of the configuration is a log offset, and a
// State's offset only rises; that is what "never reverts" rests on.
package catalog

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/pkg/errors"
)

// Kind says what a log record holds.
type Kind string

// The kinds of records. Records of other kinds are passed over.
const (
	KindPolicy    Kind = "policy"
	KindPlacement Kind = "placement"
	// KindOrder is an operator's order for a back end. The fold passes over
	// it; it reaches the announcement board, which settles orders by version.
	KindOrder Kind = "order"
)

// Record is one entry of the log.
type Record struct {
	// Offset is the record's place in the log, from 1.
	Offset uint64 `json:"offset"`
	// ID is unique for each attempt to append; the log may hold a record
	// twice when an append's answer was lost.
	ID      string          `json:"id"`
	Kind    Kind            `json:"kind"`
	Payload json.RawMessage `json:"payload"`
}

// PolicyChange is the payload of a KindPolicy record.
type PolicyChange struct {
	// Name is the policy document's name; each document has its own history.
	Name string `json:"name"`
	// Replaces is the offset of the document's version that the author saw,
	// 0 for none. At a race the first record in the log wins.
	Replaces uint64 `json:"replaces"`
	Author   string `json:"author"`
	Source   string `json:"source"`
}

// OrderChange is the payload of a KindOrder record.
type OrderChange struct {
	Machine string `json:"machine"`
	// Version is the version of the announcement.
	Version uint64 `json:"version"`
}

// PlacementMember is one daemon of a placement epoch.
type PlacementMember struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// PlacementChange is the payload of a KindPlacement record.
type PlacementChange struct {
	// Epoch must be one above the epoch in force.
	Epoch   uint64            `json:"epoch"`
	Members []PlacementMember `json:"members"`
}

// Document is one policy document in force.
type Document struct {
	Name   string
	Offset uint64
	Source string
}

// Verdict says what became of a record.
type Verdict string

// The verdicts.
const (
	Accepted Verdict = "accepted"
	Conflict Verdict = "conflict"
	Invalid  Verdict = "invalid"
	Ignored  Verdict = "ignored"
)

// HistoryEntry is what became of one policy record.
type HistoryEntry struct {
	Offset   uint64  `json:"offset"`
	ID       string  `json:"id"`
	Name     string  `json:"name"`
	Author   string  `json:"author"`
	Replaces uint64  `json:"replaces"`
	Verdict  Verdict `json:"verdict"`
	Reason   string  `json:"reason,omitempty"`
	Source   string  `json:"source,omitempty"`
}

// Epoch is one agreed set of daemons from which record groups are drawn.
type Epoch struct {
	Number  uint64
	Offset  uint64
	Members []PlacementMember
}

// State is the fold of the log up to Offset.
type State struct {
	Offset    uint64
	Documents map[string]Document
	// Placement is the epoch in force and Previous the one before it, whose
	// groups are sealed and carried over.
	Placement Epoch
	Previous  Epoch
	History   []HistoryEntry
}

const (
	// historyLimit is how many policy records a State remembers.
	historyLimit = 64
	// historySources is how many of the newest entries keep their source.
	historySources = 8
)

// Validator judges a complete set of policy sources, by document name. It must
// be a pure function of its argument.
type Validator func(sources map[string]string) error

// Empty returns the state before the first record.
func Empty() State { return State{Documents: map[string]Document{}} }

// Clone returns a deep copy.
func (state State) Clone() State {
	copied := state
	copied.Documents = make(map[string]Document, len(state.Documents))
	for name, document := range state.Documents {
		copied.Documents[name] = document
	}
	copied.History = append([]HistoryEntry{}, state.History...)
	return copied
}

// Sources returns the source of each document in force.
func (state State) Sources() map[string]string {
	sources := make(map[string]string, len(state.Documents))
	for name, document := range state.Documents {
		sources[name] = document.Source
	}
	return sources
}

// DocumentNames returns the names of the documents in force, sorted.
func (state State) DocumentNames() []string {
	names := make([]string, 0, len(state.Documents))
	for name := range state.Documents {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// ErrGap is returned by Apply for a record that is not the next one.
var ErrGap = errors.New("catalog: record is not the next after the state's offset")

// Apply returns the state after one record. The record's offset must be the
// state's offset plus one. A record that is invalid or lost a race changes
// nothing but the offset and the history. A second copy of a record always
// loses: what it replaces is no longer in force.
func (state State) Apply(record Record, validate Validator) (State, Verdict, error) {
	if record.Offset != state.Offset+1 {
		return state, Ignored, errors.Wrapf(ErrGap, "record %d after %d", record.Offset, state.Offset)
	}
	next := state.Clone()
	next.Offset = record.Offset
	switch record.Kind {
	case KindPolicy:
		verdict := next.applyPolicy(record, validate)
		return next, verdict, nil
	case KindPlacement:
		verdict := next.applyPlacement(record)
		return next, verdict, nil
	default:
		return next, Ignored, nil
	}
}

func (state *State) applyPolicy(record Record, validate Validator) Verdict {
	var change PolicyChange
	entry := HistoryEntry{Offset: record.Offset, ID: record.ID}
	if err := json.Unmarshal(record.Payload, &change); err != nil || change.Name == "" {
		entry.Verdict = Invalid
		entry.Reason = "payload is not a policy change"
		state.remember(entry)
		return Invalid
	}
	entry.Name = change.Name
	entry.Author = change.Author
	entry.Replaces = change.Replaces
	entry.Source = change.Source
	entry.Verdict, entry.Reason = state.judgePolicy(change, validate)
	if entry.Verdict == Accepted {
		state.Documents[change.Name] = Document{Name: change.Name, Offset: record.Offset, Source: change.Source}
	}
	state.remember(entry)
	return entry.Verdict
}

func (state *State) judgePolicy(change PolicyChange, validate Validator) (Verdict, string) {
	inForce := state.Documents[change.Name].Offset
	if change.Replaces != inForce {
		return Conflict, errors.Errorf("replaces offset %d, but offset %d is in force", change.Replaces, inForce).Error()
	}
	sources := state.Sources()
	sources[change.Name] = change.Source
	if err := validate(sources); err != nil {
		return Invalid, err.Error()
	}
	return Accepted, ""
}

func (state *State) applyPlacement(record Record) Verdict {
	var change PlacementChange
	if err := json.Unmarshal(record.Payload, &change); err != nil || len(change.Members) == 0 {
		return Invalid
	}
	if change.Epoch != state.Placement.Number+1 {
		return Conflict
	}
	state.Previous = state.Placement
	state.Placement = Epoch{Number: change.Epoch, Offset: record.Offset, Members: change.Members}
	return Accepted
}

// remember adds to the history, drops what is over the limit and frees the
// sources of older entries.
func (state *State) remember(entry HistoryEntry) {
	state.History = append(state.History, entry)
	if len(state.History) > historyLimit {
		state.History = state.History[len(state.History)-historyLimit:]
	}
	if stale := len(state.History) - historySources - 1; stale >= 0 {
		state.History[stale].Source = ""
	}
}

// Find returns the first history entry of the record with this id.
func (state State) Find(id string) (HistoryEntry, bool) {
	for _, entry := range state.History {
		if entry.ID == id {
			return entry, true
		}
	}
	return HistoryEntry{}, false
}

// Confirmation says since when a state is known to be the newest.
type Confirmation struct {
	Offset uint64
	// Age is how long ago the state was known to be the newest. Ages travel
	// between daemons in place of times, so clocks need not agree.
	Age time.Duration
}
