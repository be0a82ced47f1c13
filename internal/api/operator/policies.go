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

// Document is a policy document with its author and its version.
type Document struct {
	Source string `cbor:"1,keyasint"`
	Author string `cbor:"2,keyasint"`
	// Version is the version of the configuration that last changed the document.
	Version int64 `cbor:"3,keyasint"`
}

// Policies is the record of the whole configuration: all policy documents, by name.
type Policies struct {
	// Version increases by one with each change.
	Version   int64               `cbor:"1,keyasint"`
	Documents map[string]Document `cbor:"2,keyasint"`
	// Changed is the name of the document that this version changed.
	Changed string `cbor:"3,keyasint"`
}

// Sources returns the source texts of the documents by name, as policy.Compile takes them.
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
	// Replaces is the version of the document that the change is based on: 0 for a new
	// document, nil to replace any version. Another current version is an ErrConflict.
	Replaces *int64
}

// Publication is the version of the configuration that a change made and the offset of its
// record.
type Publication struct {
	Version int64 `json:"version"`
	Offset  int64 `json:"offset"`
}

// Publish adds or replaces a policy document. It is durable in the journal if the error is nil;
// otherwise the error is one of ErrInvalid, ErrConflict, ErrNotDone and ErrOutcomeUnknown.
func (s *Store) Publish(ctx context.Context, change Change) (Publication, error) {
	if err := policy.CheckName(change.Name); err != nil {
		return Publication{}, errors.Wrap(ErrInvalid, err.Error())
	}
	var version int64
	offset, err := s.update(ctx, RecordsPartition, PoliciesKey, func(value []byte) ([]byte, error) {
		next, err := applyChange(value, change)
		if err != nil {
			return nil, err
		}
		version = next.Version
		return cbor.Marshal(next)
	})
	s.logger.Info("policy published", zap.String("document", change.Name), zap.String("author", change.Author),
		zap.Int64("version", version), zap.Int64("offset", offset), zap.Error(err))
	return Publication{Version: version, Offset: offset}, err
}

// applyChange returns the configuration that follows the encoded one (empty for none) by a change.
// The error is ErrInvalid or ErrConflict.
func applyChange(value []byte, change Change) (Policies, error) {
	var current Policies
	if len(value) > 0 {
		if err := cbor.Unmarshal(value, &current); err != nil {
			return Policies{}, errors.Wrap(ErrInvalid, err.Error())
		}
	}
	currentVersion := current.Documents[change.Name].Version
	if change.Replaces != nil && *change.Replaces != currentVersion {
		return Policies{}, errors.Wrapf(ErrConflict, "document %q is at version %d, not %d", change.Name, currentVersion, *change.Replaces)
	}
	next := Policies{Version: current.Version + 1, Documents: map[string]Document{}, Changed: change.Name}
	maps.Copy(next.Documents, current.Documents)
	next.Documents[change.Name] = Document{Source: change.Source, Author: change.Author, Version: next.Version}
	if err := policy.Validate(next.Sources()); err != nil {
		return Policies{}, errors.Wrap(ErrInvalid, err.Error())
	}
	return next, nil
}

// Current returns the newest configuration in the journal, the zero value if there is none.
func (s *Store) Current(ctx context.Context) (Policies, error) {
	var current Policies
	value, _, err := s.read(ctx, RecordsPartition, PoliciesKey)
	if err != nil {
		return current, errors.Wrap(ErrNotDone, err.Error())
	}
	if len(value) == 0 {
		return current, nil
	}
	return current, errors.Wrap(cbor.Unmarshal(value, &current), "operator: policies")
}

// History returns the configurations that the journal still holds, oldest first. Malformed
// records are logged and left out.
func (s *Store) History(ctx context.Context) ([]Policies, error) {
	var history []Policies
	_, err := journal.ReadToEnd(ctx, s.journal, RecordsPartition, 0, callTimeout, func(_ int64, records [][]byte) {
		for _, record := range records {
			if policies, ok := s.decodePolicies(record); ok {
				history = append(history, policies)
			}
		}
	})
	if err != nil {
		return nil, errors.Wrap(ErrNotDone, err.Error())
	}
	return history, nil
}

// decodePolicies decodes the configuration in a keyed record. It returns false if the record has
// another key or is malformed.
func (s *Store) decodePolicies(record []byte) (policies Policies, ok bool) {
	keyed, err := journal.DecodeKeyed(record)
	if err != nil {
		s.logger.Warn("malformed operators' record ignored", zap.Error(err))
		return policies, false
	}
	return policies, keyed.Key == PoliciesKey && s.decode(keyed.Key, keyed.Value, &policies)
}
