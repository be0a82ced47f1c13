// Package catalog holds what the operator and the replicas have written on
// the platform: the configuration in force, the versions named, the replicas.
//
// The partitions take records of any writer. One that can't be understood is logged once a
// change, and changes nothing but what is believed of its own key.
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
	"sync"

	"go.uber.org/zap"

	"woodworks/internal/journal"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/route"
)

// Record is one record of the operator: a configuration, or the version named
// of a model, or neither if the record is of no concern here.
type Record struct {
	Configuration *route.Configuration
	Model         string
	ModelVersion  int64
}

// Decoder reads the records as the platform spells them.
type Decoder interface {
	Operator(key string, value []byte) (Record, error)
	Replica(id string, value []byte) (replica.Entry, error)
}

// State is the operator's newest word. Versions only rise while the process
// lives: a record older than the one in force changes nothing.
type State struct {
	decoder Decoder
	logger  *zap.Logger

	// refused is for the handler's methods only.
	refused refusals

	mutex         sync.RWMutex
	configuration *route.Configuration
	named         map[string]int64
	onChange      func(*route.Configuration)
}

// NewState returns the state before any record. OnChange is called with each
// configuration that comes into force.
func NewState(decoder Decoder, onChange func(*route.Configuration), logger *zap.Logger) *State {
	return &State{decoder: decoder, logger: logger, named: map[string]int64{}, onChange: onChange, refused: newRefusals()}
}

// Configuration returns the configuration in force, or nil before the first.
func (state *State) Configuration() *route.Configuration {
	state.mutex.RLock()
	defer state.mutex.RUnlock()
	return state.configuration
}

// Named returns the newest version named of each model.
func (state *State) Named() map[string]int64 {
	state.mutex.RLock()
	defer state.mutex.RUnlock()
	named := make(map[string]int64, len(state.named))
	for model, version := range state.named {
		named[model] = version
	}
	return named
}

// Reset implements journal.KeyedHandler. A missing key takes nothing back.
func (state *State) Reset(records []journal.KeyedRecord) {
	for _, record := range records {
		state.Apply(record)
	}
}

// Apply implements journal.KeyedHandler.
func (state *State) Apply(record journal.KeyedRecord) {
	if len(record.Value) == 0 && !record.Unreadable {
		return
	}
	decoded, err := state.decode(record)
	if err != nil {
		if state.refused.isNew(record) {
			state.logger.Error("operator's record refused", zap.String("key", record.Key), zap.Int64("offset", record.Offset), zap.Error(err))
		}
		return
	}
	state.refused.forget(record.Key)
	switch {
	case decoded.Configuration != nil:
		state.install(decoded.Configuration, record.Offset)
	case decoded.Model != "":
		state.name(decoded.Model, decoded.ModelVersion, record.Offset)
	}
}

func (state *State) decode(record journal.KeyedRecord) (Record, error) {
	if record.Unreadable {
		return Record{}, ErrUnreadable
	}
	return state.decoder.Operator(record.Key, record.Value)
}

func (state *State) install(configuration *route.Configuration, offset int64) {
	state.mutex.Lock()
	inForce := state.configuration
	newer := inForce == nil || configuration.Version > inForce.Version
	if newer {
		state.configuration = configuration
	}
	state.mutex.Unlock()
	if !newer {
		return
	}
	state.logger.Info("configuration in force", zap.Int64("version", configuration.Version), zap.Int64("offset", offset),
		zap.Int("routes", len(configuration.Routes)), zap.Int("services", len(configuration.Services)))
	if state.onChange != nil {
		state.onChange(configuration)
	}
}

func (state *State) name(model string, version, offset int64) {
	state.mutex.Lock()
	newer := version > state.named[model]
	if newer {
		state.named[model] = version
	}
	state.mutex.Unlock()
	if newer {
		state.logger.Info("version named", zap.String("model", model), zap.Int64("version", version), zap.Int64("offset", offset))
	}
}
