// Package operator carries out operators' orders: publishing policies and
// draining back ends.
package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/announce"
	"woodworks/internal/catalog"
	"woodworks/internal/periodic"
	"woodworks/internal/policy"
)

// Errors of this layer.
var (
	// ErrInvalid means that the policy has a fault; nothing was published.
	ErrInvalid = errors.New("policy is invalid")
	// ErrConflict means that another change came first.
	ErrConflict = errors.New("policy conflicts with a change that came first")
	// ErrPending means that the change is in the log and in force where it has
	// been read, but not yet held by a majority of the witnesses.
	ErrPending = errors.New("policy is in the log but not yet confirmed everywhere")
	// ErrUnknown means that the log did not answer: the change may or may not
	// have been published.
	ErrUnknown = errors.New("the log did not answer; the change may have been published")
	// ErrNoMachine means that no machine of the name is listed.
	ErrNoMachine = errors.New("no machine of this name is listed")
)

const (
	retryDelay = 200 * time.Millisecond
	// readWait bounds one wait for the log to show a record.
	readWait = 500 * time.Millisecond
	// appendsAtMost bounds the appends of one change.
	appendsAtMost = 5
)

// Catalog is what this package needs of the configuration.
type Catalog interface {
	State() catalog.State
	ReadLog(ctx context.Context, wait time.Duration) error
	Accept(ctx context.Context, offset uint64, gone func(id, address string) bool) error
}

// Log appends records.
type Log interface {
	Append(ctx context.Context, id string, kind catalog.Kind, payload any) (uint64, error)
}

// Peers is what this package needs of the membership.
type Peers interface {
	ProvedGone(id, address string) bool
	Announce(announcements ...announce.Announcement)
	AnnounceWidely(ctx context.Context, announcement announce.Announcement) error
}

// Operator is safe for concurrent use.
type Operator struct {
	catalog Catalog
	log     Log
	peers   Peers
	board   *announce.Board
}

// New returns an operator.
func New(catalog Catalog, log Log, peers Peers, board *announce.Board) *Operator {
	return &Operator{catalog: catalog, log: log, peers: peers, board: board}
}

// Publication is what became of a published change.
type Publication struct {
	Offset  uint64          `json:"offset"`
	Verdict catalog.Verdict `json:"verdict"`
	Reason  string          `json:"reason,omitempty"`
}

// Publish publishes a policy document. A nil error means accepted: it is in
// the log, it won, and a majority of the witnesses hold it. If replaces is nil
// the version that this daemon has in force is replaced.
func (operator *Operator) Publish(ctx context.Context, name, author, source string, replaces *uint64) (Publication, error) {
	if err := policy.CheckName(name); err != nil {
		return Publication{}, errors.Wrap(ErrInvalid, err.Error())
	}
	state := operator.catalog.State()
	sources := state.Sources()
	sources[name] = source
	if err := policy.Validate(sources); err != nil {
		return Publication{}, errors.Wrap(ErrInvalid, err.Error())
	}
	change := catalog.PolicyChange{Name: name, Author: author, Source: source, Replaces: state.Documents[name].Offset}
	if replaces != nil {
		change.Replaces = *replaces
	}
	entry, err := operator.appendAndFind(ctx, change)
	if err != nil {
		return Publication{}, err
	}
	publication := Publication{Offset: entry.Offset, Verdict: entry.Verdict, Reason: entry.Reason}
	switch entry.Verdict {
	case catalog.Conflict:
		return publication, errors.Wrap(ErrConflict, entry.Reason)
	case catalog.Invalid:
		return publication, errors.Wrap(ErrInvalid, entry.Reason)
	}
	return publication, operator.awaitAccepted(ctx, entry.Offset)
}

// appendAndFind appends a change and reads on until it shows up. An append
// whose answer was lost is looked for before it is tried again; should both
// have taken effect, the first counts and the second loses.
func (operator *Operator) appendAndFind(ctx context.Context, change catalog.PolicyChange) (catalog.HistoryEntry, error) {
	id := newID()
	for range appendsAtMost {
		offset, appendErr := operator.log.Append(ctx, id, catalog.KindPolicy, change)
		entry, read := operator.find(ctx, id, offset, appendErr == nil)
		if read {
			return entry, nil
		}
		if ctx.Err() != nil {
			break
		}
		periodic.Pause(ctx, retryDelay)
	}
	return catalog.HistoryEntry{}, ErrUnknown
}

// find reads on in the log until the record shows up. Where the append's
// offset is not known, it gives up once the log has been read to its head.
func (operator *Operator) find(ctx context.Context, id string, offset uint64, known bool) (catalog.HistoryEntry, bool) {
	for ctx.Err() == nil {
		err := operator.catalog.ReadLog(ctx, readWait)
		if entry, found := operator.catalog.State().Find(id); found {
			return entry, true
		}
		if err == nil && (!known || operator.catalog.State().Offset >= offset) {
			return catalog.HistoryEntry{}, false
		}
		if err != nil {
			periodic.Pause(ctx, retryDelay)
		}
	}
	return catalog.HistoryEntry{}, false
}

func (operator *Operator) awaitAccepted(ctx context.Context, offset uint64) error {
	for {
		err := operator.catalog.Accept(ctx, offset, operator.peers.ProvedGone)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrap(ErrPending, err.Error())
		}
		periodic.Pause(ctx, retryDelay)
	}
}

// ErrNotSpread means that an order was taken in by a daemon that may be cut
// off; it should be given to another too.
var ErrNotSpread = errors.New("the order was heard by too few daemons")

// Drain orders a machine to take no new work, or takes the order back. The
// order spreads by gossip and by the log, and one of them is enough; a nil
// error means that the log or at least half of this daemon's partners have it.
func (operator *Operator) Drain(ctx context.Context, machine string, drain bool) error {
	key := announce.Key{Kind: announce.Drain, Subject: machine}
	held, _ := operator.board.Get(key)
	draining := held.Version%2 == 1
	if draining != drain {
		held = announce.Announcement{Key: key, Version: held.Version + 1}
	}
	if held.Version == 0 {
		return nil
	}
	// By gossip it reaches daemons that are cut off from the log, by the log
	// those that are cut off from their peers.
	spread := operator.peers.AnnounceWidely(ctx, held)
	_, logged := operator.log.Append(ctx, newID(), catalog.KindOrder, catalog.OrderChange{Machine: machine, Version: held.Version})
	if spread != nil && logged != nil {
		return errors.Wrap(ErrNotSpread, spread.Error())
	}
	return nil
}

// DeclareGone states that one run of a daemon is over for good. Where it is
// not true, records that it keeps may be decided twice.
func (operator *Operator) DeclareGone(id string) {
	operator.peers.Announce(announce.Announcement{Key: announce.Key{Kind: announce.DaemonGone, Subject: id}, Version: 1})
}

func newID() string {
	var random [12]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}
