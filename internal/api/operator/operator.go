// Package operator writes what operators and trainers decide into the log:
// policies, versions of weights, orders to drain a back end.
//
// The configuration is one keyed record with all policy documents. A change is
// appended on the condition that the partition still ends where it was read, so
// that of operators who race one wins and the others hear of the conflict.
//
// # Usage
//
//	published, err := operator.Publish(ctx, operator.Change{Name: "assessor", Author: "ops", Source: text})
package operator

import (
	"bytes"
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/api/policy"
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
	// ErrUnknown: the change may be in force, or come into force.
	ErrUnknown = errors.New("operator: outcome unknown")
	// ErrNoMachine: the list has no such back end.
	ErrNoMachine = errors.New("operator: no such back end is listed")
)

// Keys of the records in the operators' partition.
const (
	PoliciesKey      = "policies"
	versionKeyPrefix = "version/"
)

const (
	callTimeout = 1500 * time.Millisecond
	// tries bounds how often a change is made again after the partition's end
	// has moved, for example by another model's version.
	tries = 8
)

// Document is one policy document in force.
type Document struct {
	Source string `cbor:"1,keyasint"`
	Author string `cbor:"2,keyasint"`
	// Version is the configuration by which the document came into force.
	Version int64 `cbor:"3,keyasint"`
}

// Policies is the whole configuration.
type Policies struct {
	// Version rises with each change.
	Version   int64               `cbor:"1,keyasint"`
	Documents map[string]Document `cbor:"2,keyasint"`
	// Changed names the document that this version changed.
	Changed string `cbor:"3,keyasint"`
}

// Sources returns the documents' texts by name.
func (p Policies) Sources() map[string]string {
	sources := make(map[string]string, len(p.Documents))
	for name, document := range p.Documents {
		sources[name] = document.Source
	}
	return sources
}

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

// Operator is safe for concurrent use.
type Operator struct {
	journal journal.Journal
	logger  *zap.Logger
}

// New returns an operator.
func New(log journal.Journal, logger *zap.Logger) *Operator {
	return &Operator{journal: log, logger: logger}
}

// RecordsPartition holds the operators' records, MachinesPartition the list of back ends.
var (
	RecordsPartition  = journal.Partition{Topic: journal.KeyedTopic("operator")}
	MachinesPartition = journal.Partition{Topic: journal.KeyedTopic("machines")}
)

// Change is a policy document to publish.
type Change struct {
	Name   string
	Author string
	Source string
	// Replaces is the version of the document that the author saw, nil for the
	// one in force, 0 for none.
	Replaces *int64
}

// Publication is what became of a change.
type Publication struct {
	Version int64 `json:"version"`
	Offset  int64 `json:"offset"`
}

// Publish publishes a policy document. Nil means that it is in the log.
func (o *Operator) Publish(ctx context.Context, change Change) (Publication, error) {
	if err := policy.CheckName(change.Name); err != nil {
		return Publication{}, errors.Wrap(ErrInvalid, err.Error())
	}
	var published Publication
	err := o.update(ctx, RecordsPartition, PoliciesKey, func(value []byte) ([]byte, error) {
		next, err := changed(value, change)
		if err != nil {
			return nil, err
		}
		published.Version = next.Version
		return cbor.Marshal(next)
	}, &published.Offset)
	o.logger.Info("policy published", zap.String("document", change.Name), zap.String("author", change.Author),
		zap.Int64("version", published.Version), zap.Int64("offset", published.Offset), zap.Error(err))
	return published, err
}

// changed returns the configuration after a change.
func changed(value []byte, change Change) (Policies, error) {
	var current Policies
	if len(value) > 0 {
		if err := cbor.Unmarshal(value, &current); err != nil {
			return Policies{}, errors.Wrap(ErrInvalid, err.Error())
		}
	}
	inForce := current.Documents[change.Name].Version
	if change.Replaces != nil && *change.Replaces != inForce {
		return Policies{}, errors.Wrapf(ErrConflict, "document %q is at version %d, not %d", change.Name, inForce, *change.Replaces)
	}
	next := Policies{Version: current.Version + 1, Documents: map[string]Document{}, Changed: change.Name}
	for name, document := range current.Documents {
		next.Documents[name] = document
	}
	next.Documents[change.Name] = Document{Source: change.Source, Author: change.Author, Version: next.Version}
	if err := policy.Validate(next.Sources()); err != nil {
		return Policies{}, errors.Wrap(ErrInvalid, err.Error())
	}
	return next, nil
}

// Announce names a version of a model. Versions only rise: the newest known is
// returned, which may be a newer one.
func (o *Operator) Announce(ctx context.Context, named Version) (int64, error) {
	newest := named.Version
	err := o.update(ctx, RecordsPartition, versionKeyPrefix+named.Model, func(value []byte) ([]byte, error) {
		var known Version
		if len(value) > 0 && cbor.Unmarshal(value, &known) == nil && known.Version >= named.Version {
			newest = known.Version
			return nil, nil
		}
		return cbor.Marshal(named)
	}, nil)
	return newest, err
}

// Drain orders that a back end gets no new work, or takes the order back.
func (o *Operator) Drain(ctx context.Context, machine string, leaving bool) error {
	return o.update(ctx, MachinesPartition, machine, func(value []byte) ([]byte, error) {
		var entry Machine
		if len(value) == 0 || cbor.Unmarshal(value, &entry) != nil {
			return nil, ErrNoMachine
		}
		entry.Leaving = leaving
		return cbor.Marshal(entry)
	}, nil)
}

// Hold notes in an engine's entry that it holds a version of a model. The engine
// or an agent beside it does so: daemons learn from the list which engines may
// run a batch. An order to drain that was given meanwhile stays.
func (o *Operator) Hold(ctx context.Context, machine, model string, version int64) error {
	return o.update(ctx, MachinesPartition, machine, func(value []byte) ([]byte, error) {
		var entry Machine
		if len(value) == 0 || cbor.Unmarshal(value, &entry) != nil {
			return nil, ErrNoMachine
		}
		if entry.Models == nil {
			entry.Models = map[string]int64{}
		}
		if entry.Models[model] >= version {
			return nil, nil
		}
		entry.Models[model] = version
		return cbor.Marshal(entry)
	}, nil)
}

// List puts a back end into the list, or takes it out if entry is nil.
func (o *Operator) List(ctx context.Context, machine string, entry *Machine) error {
	return o.update(ctx, MachinesPartition, machine, func([]byte) ([]byte, error) {
		if entry == nil {
			return []byte{}, nil
		}
		return cbor.Marshal(entry)
	}, nil)
}

// update replaces a key's value by what next makes of it, on the condition that
// the partition has not changed meanwhile. A nil value changes nothing. An
// append without an answer is settled by reading what the key holds.
func (o *Operator) update(ctx context.Context, p journal.Partition, key string, next func(value []byte) ([]byte, error), offset *int64) error {
	for range tries {
		value, end, err := o.read(ctx, p, key)
		if err != nil {
			return errors.Wrap(ErrNotDone, err.Error())
		}
		wanted, err := next(value)
		if err != nil || wanted == nil {
			return err
		}
		appended, err := o.append(ctx, p, key, wanted, end)
		switch {
		case err == nil:
			if offset != nil {
				*offset = appended
			}
			return nil
		case errors.Is(err, journal.ErrPosition):
			continue
		case errors.Is(err, journal.ErrNotDone):
			return errors.Wrap(ErrNotDone, err.Error())
		}
		return o.settle(ctx, p, key, wanted, end, offset, err)
	}
	return errors.Wrap(ErrConflict, "the log changed at every try")
}

// settle finds out what became of an append without an answer. Its record can
// only stand where the partition ended; once another stands there, the
// condition cannot hold any more.
func (o *Operator) settle(ctx context.Context, p journal.Partition, key string, wanted []byte, end int64, offset *int64, cause error) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	read, err := o.journal.Read(bounded, journal.Read{Partition: p, From: end})
	if err != nil || len(read.Records) == 0 {
		return errors.Wrap(ErrUnknown, cause.Error())
	}
	ours := journal.EncodeKeyed(key, wanted)
	if !bytes.Equal(read.Records[0], ours) {
		return ErrConflict
	}
	if offset != nil {
		*offset = end
	}
	return nil
}

func (o *Operator) append(ctx context.Context, p journal.Partition, key string, value []byte, end int64) (int64, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record := journal.EncodeKeyed(key, value)
	appended, err := o.journal.Append(bounded, journal.Append{Partition: p, Records: [][]byte{record}, ExpectedEnd: &end})
	return appended.Offset, err
}

// read returns a key's value and the end of the partition that it holds at. As
// pages form no snapshot, the end is that of the first page: a change after it
// fails the condition of the append.
func (o *Operator) read(ctx context.Context, p journal.Partition, key string) ([]byte, int64, error) {
	end, after := int64(-1), ""
	for {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		page, err := o.journal.Newest(bounded, p, after)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if end < 0 {
			end = page.End
		}
		for _, record := range page.Records {
			after = record.Key
			if record.Key == key {
				return record.Value, end, nil
			}
		}
		if !page.More || len(page.Records) == 0 {
			return nil, end, nil
		}
	}
}

// Current returns the configuration that the log holds now.
func (o *Operator) Current(ctx context.Context) (Policies, error) {
	var current Policies
	value, _, err := o.read(ctx, RecordsPartition, PoliciesKey)
	if err != nil {
		return current, errors.Wrap(ErrNotDone, err.Error())
	}
	if len(value) == 0 {
		return current, nil
	}
	return current, errors.Wrap(cbor.Unmarshal(value, &current), "operator: policies")
}

// History returns the configurations that the log still has, the oldest first.
func (o *Operator) History(ctx context.Context) ([]Policies, error) {
	var history []Policies
	p := RecordsPartition
	for next := int64(0); ; {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		read, err := o.journal.Read(bounded, journal.Read{Partition: p, From: next})
		cancel()
		var trimmed *journal.TrimmedError
		if errors.As(err, &trimmed) {
			next = trimmed.First
			continue
		}
		if err != nil {
			return nil, errors.Wrap(ErrNotDone, err.Error())
		}
		for _, record := range read.Records {
			if policies, ok := o.policiesIn(record); ok {
				history = append(history, policies)
			}
		}
		next += int64(len(read.Records))
		if next >= read.End || len(read.Records) == 0 {
			return history, nil
		}
	}
}

func (o *Operator) policiesIn(record []byte) (Policies, bool) {
	var policies Policies
	keyed, err := journal.DecodeKeyed(record)
	ours := err == nil && keyed.Key == PoliciesKey && cbor.Unmarshal(keyed.Value, &policies) == nil
	return policies, ours
}
