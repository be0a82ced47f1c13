// Package demand publishes how old the weights may be that the trainers' batches accept, and how
// much work the batches bring. The daemon that accepts a batch writes this to a keyed partition
// of the journal; the holder of the lease, which loads weights into the engines and sizes the
// fleet, reads it.
//
// The package owns the records of that partition. A lost record needs no repair, as the next
// batch writes a new one.
//
// # Usage
//
//	publisher := demand.NewPublisher(log, logger)
//	publisher.Publish(ctx, "model", demand.Demand{MinVersion: 3, NewestVersion: 5, Tokens: 80_000, Items: 512})
//
//	state := demand.NewState(logger)
//	go journal.NewKeyedFollower(log, demand.Partition, state, contactBound, logger).Run(ctx)
//	d := state.Newest("model")
package demand

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"woodworks/internal/journal"
)

const (
	topic = "woodworks.demand"
	// writeTimeout bounds one append.
	writeTimeout = time.Second
	// itemTimeKeyPrefix starts the keys of measured item times; the model follows.
	itemTimeKeyPrefix = "time/"
	// initialItemTime is the expected time of an item in a slot before one has been measured:
	// twenty events of 40 ms each, and the prompt.
	initialItemTime = time.Second
)

// Demand describes the newest batch of a model.
type Demand struct {
	// MinVersion is the oldest version that may generate the batch's samples.
	MinVersion int64 `cbor:"1,keyasint"`
	// NewestVersion is the newest announced version when the batch was accepted.
	NewestVersion int64 `cbor:"2,keyasint"`
	// Tokens is the number of tokens that the batch is expected to generate.
	Tokens int64 `cbor:"3,keyasint"`
	// Items is the number of items in the batch.
	Items int `cbor:"4,keyasint"`
}

// itemTimeRecord is the mean time that an item of a batch occupied a slot, as measured by the
// batch's owner.
type itemTimeRecord struct {
	ItemTimeMs int64 `cbor:"1,keyasint"`
}

// MaxLag returns how many versions behind the newest one the batch allows.
func (d Demand) MaxLag() int64 { return max(d.NewestVersion-d.MinVersion, 0) }

// Partition is the keyed partition of the journal that holds demands and item times.
var Partition = journal.Partition{Topic: journal.KeyedTopic(topic)}

// Publisher writes demands. It is safe for concurrent use.
type Publisher struct {
	journal journal.Journal
	logger  *zap.Logger
}

// NewPublisher returns a publisher that writes to the journal.
func NewPublisher(log journal.Journal, logger *zap.Logger) *Publisher {
	return &Publisher{journal: log, logger: logger}
}

// Publish writes the demand of a model. It logs errors and doesn't retry, as the next batch
// writes a new demand.
func (p *Publisher) Publish(ctx context.Context, model string, demand Demand) {
	p.write(ctx, model, demand)
}

// PublishItemTime writes the mean time that an item of a batch of a model occupied a slot. It
// logs errors and doesn't retry.
func (p *Publisher) PublishItemTime(ctx context.Context, model string, itemTime time.Duration) {
	p.write(ctx, itemTimeKeyPrefix+model, itemTimeRecord{ItemTimeMs: itemTime.Milliseconds()})
}

func (p *Publisher) write(ctx context.Context, key string, value any) {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		p.logger.Error("demand not encoded", zap.String("key", key), zap.Error(err))
		return
	}
	record := journal.EncodeKeyed(key, encoded)
	if err := journal.AppendWithTimeout(ctx, p.journal, writeTimeout, Partition, record); err != nil {
		p.logger.Info("demand not written", zap.String("key", key), zap.Error(err))
	}
}

const (
	// tokensSmoothing divides the change of the token count with a new batch. Batches of a model
	// differ in size, but its allotment of engines should be stable.
	tokensSmoothing = 4
	// itemTimeSmoothing divides the change of the item time with a new batch.
	itemTimeSmoothing = 2
)

// State holds the newest demand of each model, with a running mean of its tokens, and a running
// mean of its item times. It implements journal.KeyedHandler and is safe for concurrent use.
type State struct {
	logger *zap.Logger

	mu        sync.Mutex
	demands   map[string]Demand
	itemTimes map[string]time.Duration
}

// NewState returns an empty state.
func NewState(logger *zap.Logger) *State {
	return &State{logger: logger, demands: map[string]Demand{}, itemTimes: map[string]time.Duration{}}
}

// Apply implements journal.KeyedHandler. Removed keys and records that can't be decoded are
// ignored.
func (s *State) Apply(record journal.KeyedRecord) {
	if model, isTime := strings.CutPrefix(record.Key, itemTimeKeyPrefix); isTime {
		s.applyItemTime(model, record.Value)
		return
	}
	var demand Demand
	if !s.decode(record.Key, record.Value, &demand) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if previous, ok := s.demands[record.Key]; ok && previous.Tokens > 0 {
		demand.Tokens = previous.Tokens + (demand.Tokens-previous.Tokens)/tokensSmoothing
	}
	s.demands[record.Key] = demand
}

// decode reports whether a value was decoded. Errors are logged; an empty value, which stands for
// a removed key, is ignored.
func (s *State) decode(key string, value []byte, into any) bool {
	if len(value) == 0 {
		return false
	}
	if err := cbor.Unmarshal(value, into); err != nil {
		s.logger.Warn("demand not decoded", zap.String("key", key), zap.Error(err))
		return false
	}
	return true
}

// applyItemTime updates the mean item time of a model with a measured one.
func (s *State) applyItemTime(model string, value []byte) {
	var record itemTimeRecord
	if !s.decode(itemTimeKeyPrefix+model, value, &record) || record.ItemTimeMs <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	itemTime := time.Duration(record.ItemTimeMs) * time.Millisecond
	if previous, ok := s.itemTimes[model]; ok {
		itemTime = previous + (itemTime-previous)/itemTimeSmoothing
	}
	s.itemTimes[model] = itemTime
}

// ItemTime returns the running mean of the time that an item of a model occupies a slot, or
// initialItemTime before the first measurement.
func (s *State) ItemTime(model string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if itemTime, ok := s.itemTimes[model]; ok {
		return itemTime
	}
	return initialItemTime
}

// Newest returns the newest demand of a model, with a running mean of its tokens, or the zero
// value if there is none.
func (s *State) Newest(model string) Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.demands[model]
}
