// Package catalog keeps the configuration in force, the newest announced version of each model,
// and the list of replicas, as the operator and the replicas have written them to the platform's
// journal.
//
// Anyone may write to these partitions. A record that can't be decoded is logged once per content
// and affects only its own key.
//
// OperatorState holds the configuration and the versions in memory; ReplicaDirectory feeds the
// replica table. Both get their records from followers of the journal, and decode them with the
// platform's Decoder.
//
// # Usage
//
// The partitions hold few records, which may change in bursts, such as when hundreds of replicas
// rewrite their entries after an outage. Each daemon reads all of them.
//
//	state := catalog.NewOperatorState(decoder, installed, logger)
//	directory := catalog.NewReplicaDirectory(decoder, table, logger)
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

// OperatorRecord is a decoded record of the operator: a configuration or the announced version of
// a model. It is empty if the record is of another kind.
type OperatorRecord struct {
	Configuration *route.Configuration
	Model         string
	ModelVersion  int64
}

// Decoder decodes records of the platform's encoding.
type Decoder interface {
	DecodeOperatorRecord(key string, value []byte) (OperatorRecord, error)
	DecodeReplicaEntry(id string, value []byte) (replica.Entry, error)
}

// OperatorState holds the newest configuration and model versions that the operator has written.
// Versions only increase during the life of the process: older records are ignored. It is safe
// for concurrent use, except that Apply must be called by one goroutine.
type OperatorState struct {
	decoder Decoder
	logger  *zap.Logger

	// rejected is used by Apply only.
	rejected rejectedRecords

	mu             sync.RWMutex
	configuration  *route.Configuration
	newestVersions map[string]int64
	onChange       func(*route.Configuration)
}

// NewOperatorState returns an empty state. It calls onChange with each configuration that comes
// into force.
func NewOperatorState(decoder Decoder, onChange func(*route.Configuration), logger *zap.Logger) *OperatorState {
	return &OperatorState{decoder: decoder, logger: logger, newestVersions: map[string]int64{}, onChange: onChange, rejected: newRejectedRecords()}
}

// Configuration returns the configuration in force, or nil before the first.
func (s *OperatorState) Configuration() *route.Configuration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.configuration
}

// NewestVersions returns a copy of the newest announced version of each model.
func (s *OperatorState) NewestVersions() map[string]int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.newestVersions)
}

// Apply implements journal.KeyedHandler. Removed keys and older versions are ignored.
func (s *OperatorState) Apply(record journal.KeyedRecord) {
	if isRemoval(record) {
		return
	}
	decoded, err := s.decode(record)
	if err != nil {
		if s.rejected.add(record) {
			s.logger.Error("operator record rejected", zap.String("key", record.Key),
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
		s.logger.Info("version announced", zap.String("model", model), zap.Int64("version", version), zap.Int64("offset", offset))
	}
}
