// Package catalog holds what the operator and the replicas have written on
// the platform: the configuration in force, the versions named, the replicas.
//
// The partitions take records of any writer. One that can't be decoded is logged once a
// change, and changes nothing but what is known of its own key.
//
// The package owns the State (configuration in force, newest versions named) in memory only;
// a Directory feeds the replica table. It relies on followers of the journal for the records,
// and on a platform's Decoder for their form.
//
// # Usage
//
// Few records change often (hundreds of replicas that write their entries anew after an
// outage, configurations in quick succession) and all are read by each daemon:
//
//	state := catalog.NewState(decoder, installed, logger)
//	directory := catalog.NewDirectory(decoder, table, logger)
//	go journal.NewKeyedFollower(log, records, state, contactBound, logger).Run(ctx)
package catalog

import (
	"maps"
	"sync"

	"go.uber.org/zap"

	"woodworks/internal/journal"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/route"
)

// OperatorRecord is one record of the operator: a configuration, or the version named
// of a model, or neither if the record is of no concern here.
type OperatorRecord struct {
	Configuration *route.Configuration
	Model         string
	ModelVersion  int64
}

// Decoder reads the records as the platform spells them.
type Decoder interface {
	DecodeOperatorRecord(key string, value []byte) (OperatorRecord, error)
	DecodeReplicaEntry(id string, value []byte) (replica.Entry, error)
}

// OperatorState is what the operator has set last. Versions only rise while the process
// lives: a record older than the one in force changes nothing.
type OperatorState struct {
	decoder Decoder
	logger  *zap.Logger

	// rejected is for the handler's methods only.
	rejected rejectedRecords

	mu             sync.RWMutex
	configuration  *route.Configuration
	newestVersions map[string]int64
	onChange       func(*route.Configuration)
}

// NewOperatorState returns the state before any record. OnChange is called with each
// configuration that comes into force.
func NewOperatorState(decoder Decoder, onChange func(*route.Configuration), logger *zap.Logger) *OperatorState {
	return &OperatorState{decoder: decoder, logger: logger, newestVersions: map[string]int64{}, onChange: onChange, rejected: newRejectedRecords()}
}

// Configuration returns the configuration in force, or nil before the first.
func (s *OperatorState) Configuration() *route.Configuration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.configuration
}

// NewestVersions returns the newest version named of each model.
func (s *OperatorState) NewestVersions() map[string]int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.newestVersions)
}

// Apply implements journal.KeyedHandler. A key that is missing takes nothing back.
func (s *OperatorState) Apply(record journal.KeyedRecord) {
	if isRemoval(record) {
		return
	}
	decoded, err := s.decode(record)
	if err != nil {
		if s.rejected.add(record) {
			s.logger.Error("operator's record refused", zap.String("key", record.Key),
				zap.Int64("offset", record.Offset), zap.Error(err))
		}
		return
	}
	s.rejected.remove(record.Key)
	switch {
	case decoded.Configuration != nil:
		s.installConfiguration(decoded.Configuration, record.Offset)
	case decoded.Model != "":
		s.updateNewestVersion(decoded.Model, decoded.ModelVersion, record.Offset)
	}
}

func (s *OperatorState) decode(record journal.KeyedRecord) (OperatorRecord, error) {
	if record.Unreadable {
		return OperatorRecord{}, ErrUnreadable
	}
	return s.decoder.DecodeOperatorRecord(record.Key, record.Value)
}

func (s *OperatorState) installConfiguration(configuration *route.Configuration, offset int64) {
	s.mu.Lock()
	inForce := s.configuration
	newer := inForce == nil || configuration.Version > inForce.Version
	if newer {
		s.configuration = configuration
	}
	s.mu.Unlock()
	if !newer {
		return
	}
	s.logger.Info("configuration in force", zap.Int64("version", configuration.Version), zap.Int64("offset", offset),
		zap.Int("routes", len(configuration.Routes)), zap.Int("services", len(configuration.Services)))
	s.onChange(configuration)
}

func (s *OperatorState) updateNewestVersion(model string, version, offset int64) {
	s.mu.Lock()
	newer := version > s.newestVersions[model]
	if newer {
		s.newestVersions[model] = version
	}
	s.mu.Unlock()
	if newer {
		s.logger.Info("version named", zap.String("model", model), zap.Int64("version", version), zap.Int64("offset", offset))
	}
}
