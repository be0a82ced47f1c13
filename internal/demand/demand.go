// Package demand tells the daemon that changes weights which versions the
// trainers' batches still allow. Daemons that accept a batch write it to a keyed
// partition; only the daemon that needs it reads it.
package demand

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"woodworks/internal/journal"
)

const (
	topic        = "woodworks.demand"
	writeTimeout = time.Second
)

// Demand is what the newest batch of a model allowed.
type Demand struct {
	// MinVersion is the oldest version that may make the batch's samples.
	MinVersion int64 `cbor:"1,keyasint"`
	// Named is the newest version named when the batch was accepted.
	Named int64 `cbor:"2,keyasint"`
	// Work is how many tokens the batch should make.
	Work int64 `cbor:"3,keyasint"`
	// Items is how many items the batch has.
	Items int `cbor:"4,keyasint"`
}

// Lag is how many versions behind the newest the batch allowed.
func (demand Demand) Lag() int64 { return max(demand.Named-demand.MinVersion, 0) }

// Partition is where demands are kept.
func Partition(log journal.Journal) journal.Partition {
	return journal.Partition{Topic: log.KeyedTopic(topic)}
}

// Publisher writes demands. It is safe for concurrent use.
type Publisher struct {
	journal journal.Journal
	logger  *zap.Logger
}

// NewPublisher returns a publisher.
func NewPublisher(log journal.Journal, logger *zap.Logger) *Publisher {
	return &Publisher{journal: log, logger: logger}
}

// Publish writes a demand once. One that is lost is made good by the next.
func (publisher *Publisher) Publish(ctx context.Context, model string, demand Demand) {
	encoded, err := cbor.Marshal(demand)
	if err != nil {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	record := publisher.journal.JoinKeyed(journal.KeyedRecord{Key: model, Value: encoded})
	if _, err := publisher.journal.Append(bounded, journal.Append{Partition: Partition(publisher.journal), Records: [][]byte{record}}); err != nil {
		publisher.logger.Info("demand not written", zap.String("model", model), zap.Error(err))
	}
}

// workSmoothing is the part of a new batch's difference in work that counts at
// once: batches of a model differ, its share of the engines should not.
const workSmoothing = 4

// State is the newest demand of each model, its work a running mean. It implements journal.KeyedHandler.
type State struct {
	mutex   sync.Mutex
	demands map[string]Demand
}

// NewState returns the state before any record.
func NewState() *State { return &State{demands: map[string]Demand{}} }

// Reset implements journal.KeyedHandler.
func (state *State) Reset(records []journal.KeyedRecord) {
	for _, record := range records {
		state.Apply(record)
	}
}

// Apply implements journal.KeyedHandler.
func (state *State) Apply(record journal.KeyedRecord) {
	var demand Demand
	if len(record.Value) == 0 || cbor.Unmarshal(record.Value, &demand) != nil {
		return
	}
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if before, known := state.demands[record.Key]; known && before.Work > 0 {
		demand.Work = before.Work + (demand.Work-before.Work)/workSmoothing
	}
	state.demands[record.Key] = demand
}

// Of returns the newest demand of a model.
func (state *State) Of(model string) (Demand, bool) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	demand, known := state.demands[model]
	return demand, known
}
