// Package register keeps write-once records: for each key one value is decided,
// by a majority of a group of daemons, and never changes.
//
// It is single-decree Paxos a key, held in memory. The groups come from
// placement epochs; moving to a new epoch seals the old group by majority and
// carries its records over. Everything here is pure: the caller gives the time
// and carries the messages.
package register

import (
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/placement"
)

// Errors of this layer.
var (
	// ErrWrongEpoch means that the acceptor does not serve the shard in the
	// message's epoch.
	ErrWrongEpoch = errors.New("register: not serving this epoch")
	// ErrNotReady means that records are still being carried over.
	ErrNotReady = errors.New("register: shard is not ready")
	// ErrExpired means that the key is older than records are kept.
	ErrExpired = errors.New("register: key is too old")
	// ErrRecordsLost means that a majority of an earlier group is gone and the
	// key may have been decided there.
	ErrRecordsLost = errors.New("register: an earlier record of this key may be lost")
	// ErrFull means that the acceptor holds as many records as it may.
	ErrFull = errors.New("register: too many records")
)

// Ballot orders proposals. A later epoch is always higher.
type Ballot struct {
	Epoch    uint64
	Round    uint64
	Proposer string
}

// Less reports whether ballot is lower than other.
func (ballot Ballot) Less(other Ballot) bool {
	if ballot.Epoch != other.Epoch {
		return ballot.Epoch < other.Epoch
	}
	if ballot.Round != other.Round {
		return ballot.Round < other.Round
	}
	return ballot.Proposer < other.Proposer
}

// IsZero reports whether this is no ballot at all.
func (ballot Ballot) IsZero() bool { return ballot == Ballot{} }

// Value is what is decided: who holds the permit to send the request.
type Value struct {
	// Holder is the node that may send, Attempt its one try.
	Holder  string
	Attempt string
	// Fingerprint is a digest of the request, to refuse the same key with
	// another content.
	Fingerprint uint64
}

// Key names a record. IssuedAt is part of what the caller sent, so every
// daemon sees the same one.
type Key struct {
	Name     string
	IssuedAt time.Time
}

// Record is what an acceptor knows of one key.
type Record struct {
	Key      Key
	Promised Ballot
	Accepted Ballot
	Value    Value
}

// Prepare is phase one of a proposal.
type Prepare struct {
	Key    Key
	Ballot Ballot
}

// Promise answers a Prepare. If Granted is false, Promised is the ballot that
// stands in the way.
type Promise struct {
	Granted  bool
	Promised Ballot
	Accepted Ballot
	Value    Value
}

// Accept is phase two of a proposal.
type Accept struct {
	Key    Key
	Ballot Ballot
	Value  Value
}

// Accepted answers an Accept.
type Accepted struct {
	Granted  bool
	Promised Ballot
}

type shardState uint8

const (
	inactive shardState = iota
	importing
	active
	sealed
)

type shard struct {
	state shardState
	epoch uint64
	// complete is the latest epoch in which all earlier records are known
	// here. Only up to it may this daemon answer for the shard.
	complete uint64
	records  map[string]*Record
	// keysFrom refuses keys issued before it, after records were lost.
	keysFrom time.Time
}

// Bounds limits what an Acceptor keeps.
type Bounds struct {
	// Retention is how long after its issue a key may still be used.
	Retention time.Duration
	// ClockSkew bounds the difference between any two clocks involved.
	ClockSkew time.Duration
	// MaxRecords is the most records kept.
	MaxRecords int
}

// Acceptor is one daemon's memory of the records that it keeps. It is not safe
// for concurrent use.
//
// Invariant: in one epoch an acceptor never grants a ballot below one that it
// has promised, and once sealed it grants nothing in that epoch any more.
type Acceptor struct {
	bounds Bounds
	shards [placement.ShardCount]shard
	count  int
}

// NewAcceptor returns an acceptor that serves nothing yet.
func NewAcceptor(bounds Bounds) *Acceptor { return &Acceptor{bounds: bounds} }

// Records returns how many records are held.
func (acceptor *Acceptor) Records() int { return acceptor.count }

// Epoch returns the epoch a shard is in and whether it is served.
func (acceptor *Acceptor) Epoch(index int) (epoch uint64, serving bool) {
	held := &acceptor.shards[index]
	return held.epoch, held.state == active
}

// Start serves a shard in the first epoch, before which there are no records.
func (acceptor *Acceptor) Start(index int, epoch uint64) {
	held := &acceptor.shards[index]
	if held.state != inactive || epoch <= held.epoch {
		return
	}
	held.state = active
	held.epoch = epoch
	held.complete = epoch
	held.records = map[string]*Record{}
}

// BeginImport moves a shard to a later epoch, in which it is not served until
// FinishImport. What it holds of an earlier epoch is kept.
func (acceptor *Acceptor) BeginImport(index int, epoch uint64) {
	held := &acceptor.shards[index]
	if epoch <= held.epoch {
		return
	}
	held.state = importing
	held.epoch = epoch
	if held.records == nil {
		held.records = map[string]*Record{}
	}
}

// FinishImport adds the records of a sealed majority of the earlier group and
// serves the shard. A keysFrom that is not zero says that no majority was left
// and refuses keys issued before it.
func (acceptor *Acceptor) FinishImport(index int, epoch uint64, imported []Record, keysFrom time.Time) {
	held := &acceptor.shards[index]
	if held.state != importing || held.epoch != epoch {
		return
	}
	for _, record := range imported {
		acceptor.importRecord(held, record)
	}
	if keysFrom.After(held.keysFrom) {
		held.keysFrom = keysFrom
	}
	held.state = active
	held.complete = epoch
}

// importRecord keeps, for each key, the value with the highest ballot. Taking
// over an accepted value is the same as receiving that Accept late.
func (acceptor *Acceptor) importRecord(held *shard, record Record) {
	if record.Accepted.IsZero() {
		return
	}
	known, exists := held.records[record.Key.Name]
	if !exists {
		copied := record
		copied.Promised = record.Accepted
		held.records[record.Key.Name] = &copied
		acceptor.count++
		return
	}
	if known.Accepted.Less(record.Accepted) {
		known.Accepted = record.Accepted
		known.Value = record.Value
	}
	if known.Promised.Less(record.Accepted) {
		known.Promised = record.Accepted
	}
}

// Leave stops serving a shard in an epoch in which this daemon is no longer in
// the group. The records stay for those that still have to seal.
func (acceptor *Acceptor) Leave(index int, nextEpoch uint64) {
	held := &acceptor.shards[index]
	if held.state == active && held.epoch < nextEpoch {
		held.state = sealed
	}
}

// Seal ends the service of a shard in oldEpoch and returns its records. It
// also answers once this daemon serves a later epoch: what it then holds
// contains all that it held before.
func (acceptor *Acceptor) Seal(index int, oldEpoch uint64) ([]Record, time.Time, error) {
	held := &acceptor.shards[index]
	if held.state == inactive || held.epoch < oldEpoch {
		return nil, time.Time{}, ErrWrongEpoch
	}
	if held.complete < oldEpoch {
		return nil, time.Time{}, ErrNotReady
	}
	if held.epoch == oldEpoch {
		held.state = sealed
	}
	records := make([]Record, 0, len(held.records))
	for _, record := range held.records {
		records = append(records, *record)
	}
	return records, held.keysFrom, nil
}

// check finds the shard of a key and refuses what must not be served.
func (acceptor *Acceptor) check(now time.Time, key Key, epoch uint64) (*shard, error) {
	held := &acceptor.shards[placement.ShardOf(key.Name)]
	if held.epoch != epoch || held.state == sealed || held.state == inactive {
		return nil, ErrWrongEpoch
	}
	if held.state == importing {
		return nil, ErrNotReady
	}
	if now.Sub(key.IssuedAt) > acceptor.bounds.Retention+acceptor.bounds.ClockSkew {
		return nil, ErrExpired
	}
	if key.IssuedAt.Before(held.keysFrom) {
		return nil, ErrRecordsLost
	}
	return held, nil
}

// HandlePrepare promises to grant nothing below the ballot.
func (acceptor *Acceptor) HandlePrepare(now time.Time, message Prepare) (Promise, error) {
	held, err := acceptor.check(now, message.Key, message.Ballot.Epoch)
	if err != nil {
		return Promise{}, err
	}
	record, err := acceptor.recordOf(held, message.Key)
	if err != nil {
		return Promise{}, err
	}
	if message.Ballot.Less(record.Promised) {
		return Promise{Promised: record.Promised, Accepted: record.Accepted, Value: record.Value}, nil
	}
	record.Promised = message.Ballot
	return Promise{Granted: true, Promised: message.Ballot, Accepted: record.Accepted, Value: record.Value}, nil
}

// HandleAccept accepts a value unless a higher ballot was promised.
func (acceptor *Acceptor) HandleAccept(now time.Time, message Accept) (Accepted, error) {
	held, err := acceptor.check(now, message.Key, message.Ballot.Epoch)
	if err != nil {
		return Accepted{}, err
	}
	record, err := acceptor.recordOf(held, message.Key)
	if err != nil {
		return Accepted{}, err
	}
	if message.Ballot.Less(record.Promised) {
		return Accepted{Promised: record.Promised}, nil
	}
	record.Promised = message.Ballot
	record.Accepted = message.Ballot
	record.Value = message.Value
	return Accepted{Granted: true, Promised: message.Ballot}, nil
}

func (acceptor *Acceptor) recordOf(held *shard, key Key) (*Record, error) {
	record, known := held.records[key.Name]
	if known {
		return record, nil
	}
	if acceptor.count >= acceptor.bounds.MaxRecords {
		return nil, ErrFull
	}
	record = &Record{Key: key}
	held.records[key.Name] = record
	acceptor.count++
	return record, nil
}

// Expire drops the records of keys that no daemon will serve any more. It
// waits twice the clock skew longer than check, so that a daemon with a fast
// clock cannot forget what one with a slow clock still asks for.
func (acceptor *Acceptor) Expire(now time.Time) {
	bound := acceptor.bounds.Retention + 3*acceptor.bounds.ClockSkew
	for index := range acceptor.shards {
		held := &acceptor.shards[index]
		for name, record := range held.records {
			if now.Sub(record.Key.IssuedAt) > bound {
				delete(held.records, name)
				acceptor.count--
			}
		}
	}
}
