// Package operator writes what operators and trainers decide into the log:
// policies, versions of weights, orders to drain a back end.
//
// The configuration is one keyed record with all policy documents. A change is
// appended on the condition that the partition still ends where it was read, so
// that of operators who race one wins and the others hear of the conflict.
//
// The package owns the records of the operators' and the machines' partitions; it keeps
// nothing in memory. It relies on the journal's conditional append, and on policy to judge
// documents. What comes into force is read by catalog.
//
// # Usage
//
//	published, err := operator.Publish(ctx, operator.Change{Name: "assessor", Author: "ops", Source: text})
package operator

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/journal"
)

// Errors of a change.
var (
	// ErrInvalid: the change is wrong in itself.
	ErrInvalid = errors.New("operator: invalid")
	// ErrConflict: another change came first.
	ErrConflict = errors.New("operator: another change came first")
	// ErrNotDone: the log did not answer and nothing was changed.
	ErrNotDone = errors.New("operator: not done")
	// ErrOutcomeUnknown: the change may be in force, or come into force.
	ErrOutcomeUnknown = errors.New("operator: outcome unknown")
	// ErrMachineNotListed: the list has no such back end.
	ErrMachineNotListed = errors.New("operator: no such back end is listed")
)

// Keys of the records in the operators' partition.
const (
	PoliciesKey      = "policies"
	versionKeyPrefix = "version/"
)

// RecordsPartition holds the operators' records, MachinesPartition the list of back ends.
var (
	RecordsPartition  = journal.Partition{Topic: journal.KeyedTopic("operator")}
	MachinesPartition = journal.Partition{Topic: journal.KeyedTopic("machines")}
)

// Version is the newest version of a model's weights.
type Version struct {
	Model    string `cbor:"1,keyasint"`
	Version  int64  `cbor:"2,keyasint"`
	Artifact string `cbor:"3,keyasint"`
}

// Machine is a back end's entry in the list.
type Machine struct {
	Service string `cbor:"1,keyasint"`
	// Address is IP:port.
	Address string           `cbor:"2,keyasint"`
	Zone    string           `cbor:"3,keyasint"`
	Slots   int              `cbor:"4,keyasint"`
	Leaving bool             `cbor:"5,keyasint"`
	Models  map[string]int64 `cbor:"6,keyasint"`
}

// Store is safe for concurrent use.
type Store struct {
	journal journal.Journal
	logger  *zap.Logger
}

// New returns an operator.
func New(log journal.Journal, logger *zap.Logger) *Store {
	return &Store{journal: log, logger: logger}
}

// AnnounceVersion names a version of a model. Versions only rise: the newest known is
// returned, which may be a newer one.
func (o *Store) AnnounceVersion(ctx context.Context, named Version) (int64, error) {
	newest := named.Version
	key := versionKeyPrefix + named.Model
	_, err := o.update(ctx, RecordsPartition, key, func(value []byte) ([]byte, error) {
		var last Version
		if len(value) > 0 && o.decode(key, value, &last) && last.Version >= named.Version {
			newest = last.Version
			return nil, nil
		}
		return cbor.Marshal(named)
	})
	return newest, err
}

// SetDraining orders that a back end gets no new work, or takes the order back.
func (o *Store) SetDraining(ctx context.Context, machine string, leaving bool) error {
	return o.updateMachine(ctx, machine, func(m *Machine) bool {
		m.Leaving = leaving
		return true
	})
}

// RecordHeldVersion notes in an engine's entry that it holds a version of a model. The engine
// or an agent beside it does so: daemons learn from the list which engines may
// run a batch. An order to drain that was given meanwhile stays.
func (o *Store) RecordHeldVersion(ctx context.Context, machine, model string, version int64) error {
	return o.updateMachine(ctx, machine, func(m *Machine) bool {
		if m.Models == nil {
			m.Models = map[string]int64{}
		}
		rises := m.Models[model] < version
		m.Models[model] = max(m.Models[model], version)
		return rises
	})
}

// updateMachine changes the entry of a listed back end, unless change reports that nothing
// is to be written.
func (o *Store) updateMachine(ctx context.Context, machine string, change func(m *Machine) bool) error {
	_, err := o.update(ctx, MachinesPartition, machine, func(value []byte) ([]byte, error) {
		var m Machine
		if len(value) == 0 || !o.decode(machine, value, &m) {
			return nil, ErrMachineNotListed
		}
		if !change(&m) {
			return nil, nil
		}
		return cbor.Marshal(m)
	})
	return err
}

// SetMachine puts a back end into the list, or takes it out if entry is nil.
func (o *Store) SetMachine(ctx context.Context, machine string, entry *Machine) error {
	_, err := o.update(ctx, MachinesPartition, machine, func([]byte) ([]byte, error) {
		if entry == nil {
			return []byte{}, nil
		}
		return cbor.Marshal(entry)
	})
	return err
}

// decode reads the value of a key. One that is malformed is logged and counts as none.
func (o *Store) decode(key string, value []byte, into any) bool {
	err := cbor.Unmarshal(value, into)
	if err != nil {
		o.logger.Warn("operators' record not decoded", zap.String("key", key), zap.Error(err))
	}
	return err == nil
}
