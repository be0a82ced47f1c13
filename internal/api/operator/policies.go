package operator

import (
	"context"
	"maps"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/api/policy"
	"woodworks/internal/journal"
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
func (o *Store) Publish(ctx context.Context, change Change) (Publication, error) {
	if err := policy.CheckName(change.Name); err != nil {
		return Publication{}, errors.Wrap(ErrInvalid, err.Error())
	}
	var version int64
	offset, err := o.update(ctx, RecordsPartition, PoliciesKey, func(value []byte) ([]byte, error) {
		next, err := applyChange(value, change)
		if err != nil {
			return nil, err
		}
		version = next.Version
		return cbor.Marshal(next)
	})
	o.logger.Info("policy published", zap.String("document", change.Name), zap.String("author", change.Author),
		zap.Int64("version", version), zap.Int64("offset", offset), zap.Error(err))
	return Publication{Version: version, Offset: offset}, err
}

// applyChange returns the configuration after a change.
func applyChange(value []byte, change Change) (Policies, error) {
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
	maps.Copy(next.Documents, current.Documents)
	next.Documents[change.Name] = Document{Source: change.Source, Author: change.Author, Version: next.Version}
	if err := policy.Validate(next.Sources()); err != nil {
		return Policies{}, errors.Wrap(ErrInvalid, err.Error())
	}
	return next, nil
}

// Current returns the configuration that the log holds now.
func (o *Store) Current(ctx context.Context) (Policies, error) {
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
func (o *Store) History(ctx context.Context) ([]Policies, error) {
	var history []Policies
	_, err := journal.ReadToEnd(ctx, o.journal, RecordsPartition, 0, callTimeout, func(_ int64, records [][]byte) {
		for _, record := range records {
			if policies, ok := o.decodePolicies(record); ok {
				history = append(history, policies)
			}
		}
	})
	if err != nil {
		return nil, errors.Wrap(ErrNotDone, err.Error())
	}
	return history, nil
}

// decodePolicies returns the configuration in a record, if it has one.
func (o *Store) decodePolicies(record []byte) (policies Policies, ok bool) {
	keyed, err := journal.DecodeKeyed(record)
	if err != nil {
		o.logger.Warn("operators' record not decoded", zap.Error(err))
		return policies, false
	}
	return policies, keyed.Key == PoliciesKey && o.decode(keyed.Key, keyed.Value, &policies)
}
