// Package operator stores the decisions of operators and trainers in the journal: policy
// documents, versions of weights, the list of back ends and which of them are draining.
//
// The configuration is one keyed record with all policy documents. Each change is an
// append on the condition that the partition still ends where it was read. Of several
// concurrent changes one succeeds; the others retry or get ErrConflict.
//
// The package owns the records of the operators' and the machines' partitions and keeps
// no state in memory. It relies on the journal's conditional append, and on package policy to
// validate documents. Package catalog reads the records and puts them into force.
//
// # Usage
//
//	published, err := operator.New(log, logger).Publish(ctx, operator.Change{Name: "assessor", Author: "ops", Source: text})
package operator

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/journal"
)

// Errors of the methods of Store.
var (
	// ErrInvalid means that the change is not valid. Nothing was changed.
	ErrInvalid = errors.New("operator: invalid")
	// ErrConflict means that a concurrent change succeeded instead. Nothing was changed.
	ErrConflict = errors.New("operator: another change came first")
	// ErrNotDone means that the journal did not answer. Nothing was changed.
	ErrNotDone = errors.New("operator: not done")
	// ErrOutcomeUnknown means that the change may have been made, or may still be made.
	ErrOutcomeUnknown = errors.New("operator: outcome unknown")
	// ErrMachineNotListed means that the list has no such back end. Nothing was changed.
	ErrMachineNotListed = errors.New("operator: no such back end is listed")
)

// Keys of the records in the operators' partition.
const (
	PoliciesKey      = "policies"
	versionKeyPrefix = "version/"
)

// RecordsPartition holds the policies and the versions of weights, MachinesPartition the list of
// back ends.
var (
	RecordsPartition  = journal.Partition{Topic: journal.KeyedTopic("operator")}
	MachinesPartition = journal.Partition{Topic: journal.KeyedTopic("machines")}
)

// Version is the record of the newest version of a model's weights.
type Version struct {
	Model    string `cbor:"1,keyasint"`
	Version  int64  `cbor:"2,keyasint"`
	Artifact string `cbor:"3,keyasint"`
}

// Machine is the record of a back end in the list. Leaving means that it is draining; Models has
// the newest version that it holds of each model.
type Machine struct {
	Service string `cbor:"1,keyasint"`
	// Address has the form IP:port.
	Address string           `cbor:"2,keyasint"`
	Zone    string           `cbor:"3,keyasint"`
	Slots   int              `cbor:"4,keyasint"`
	Leaving bool             `cbor:"5,keyasint"`
	Models  map[string]int64 `cbor:"6,keyasint"`
}

// Store reads and changes the operators' records in the journal. It is safe for concurrent use.
type Store struct {
	journal journal.Journal
	logger  *zap.Logger
}

// New returns a store that keeps its records in log.
func New(log journal.Journal, logger *zap.Logger) *Store {
	return &Store{journal: log, logger: logger}
}

// AnnounceVersion records a version of a model's weights. An older version than the recorded
// one changes nothing. It returns the newest version, which may be newer than the given one.
func (s *Store) AnnounceVersion(ctx context.Context, announced Version) (int64, error) {
	newest := announced.Version
	key := versionKeyPrefix + announced.Model
	_, err := s.update(ctx, RecordsPartition, key, func(value []byte) ([]byte, error) {
		var last Version
		if len(value) > 0 && s.decode(key, value, &last) && last.Version >= announced.Version {
			newest = last.Version
			return nil, nil
		}
		return cbor.Marshal(announced)
	})
	return newest, err
}

// SetDraining starts or ends the drain of a listed back end, which gets no new work while it
// drains. It returns ErrMachineNotListed if there is no such back end.
func (s *Store) SetDraining(ctx context.Context, machine string, leaving bool) error {
	return s.updateMachine(ctx, machine, func(m *Machine) bool {
		m.Leaving = leaving
		return true
	})
}

// RecordHeldVersion records in an engine's entry that the engine holds a version of a model,
// unless a newer one is recorded. The engine or an agent on its host calls it: daemons read
// from the list which engines can run a batch. The rest of the entry, such as a concurrent drain,
// is unchanged. It returns ErrMachineNotListed if there is no such engine.
func (s *Store) RecordHeldVersion(ctx context.Context, machine, model string, version int64) error {
	return s.updateMachine(ctx, machine, func(m *Machine) bool {
		if m.Models == nil {
			m.Models = map[string]int64{}
		}
		isNewer := m.Models[model] < version
		m.Models[model] = max(m.Models[model], version)
		return isNewer
	})
}

// updateMachine applies change to the entry of a listed back end. Nothing is written if change
// returns false. It may call change several times, each time with the current entry.
func (s *Store) updateMachine(ctx context.Context, machine string, change func(m *Machine) bool) error {
	_, err := s.update(ctx, MachinesPartition, machine, func(value []byte) ([]byte, error) {
		var m Machine
		if len(value) == 0 || !s.decode(machine, value, &m) {
			return nil, ErrMachineNotListed
		}
		if !change(&m) {
			return nil, nil
		}
		return cbor.Marshal(m)
	})
	return err
}

// SetMachine adds or replaces a back end's entry in the list, or removes it if entry is nil.
func (s *Store) SetMachine(ctx context.Context, machine string, entry *Machine) error {
	_, err := s.update(ctx, MachinesPartition, machine, func([]byte) ([]byte, error) {
		if entry == nil {
			return []byte{}, nil
		}
		return cbor.Marshal(entry)
	})
	return err
}

// decode decodes the value of a key and reports whether it could. A malformed value is logged.
func (s *Store) decode(key string, value []byte, into any) bool {
	err := cbor.Unmarshal(value, into)
	if err != nil {
		s.logger.Warn("malformed operators' record ignored", zap.String("key", key), zap.Error(err))
	}
	return err == nil
}
