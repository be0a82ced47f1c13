// Package demand tells the daemon that changes weights which versions the trainers' batches
// still allow, and how much work they bring. Daemons that accept a batch write it to a keyed
// partition; only the daemon that needs it reads it.
//
// The package owns the records of that partition. It relies on nothing else: a record that is
// lost is made good by the next batch.
//
// # Usage
//
//	publisher := demand.NewPublisher(log, logger)
//	publisher.Publish(ctx, "model", demand.Demand{MinVersion: 3, Named: 5, Work: 80_000, Items: 512})
//
//	state := demand.NewState(logger)
//	go journal.NewKeyedFollower(log, demand.Partition, state, contactBound, logger).Run(ctx)
//	d := state.Of("model")
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
	// itemTimeKeyPrefix starts the keys of what owners have measured of a model.
	itemTimeKeyPrefix = "time/"
	// initialItemTime is how long an item is expected to take a slot before one was
	// measured: a text of twenty events, 40 ms each, and its prompt.
	initialItemTime = time.Second
)

// Demand is what the newest batch of a model allowed.
type Demand struct {
	// MinVersion is the oldest version that may make the batch's samples.
	MinVersion int64 `cbor:"1,keyasint"`
	// NewestVersion is the newest version named when the batch was accepted.
	NewestVersion int64 `cbor:"2,keyasint"`
	// Tokens is how many tokens the batch should make.
	Tokens int64 `cbor:"3,keyasint"`
	// Items is how many items the batch has.
	Items int `cbor:"4,keyasint"`
}

// itemTimeRecord is what an owner has itemTimeRecord of a batch of a model.
type itemTimeRecord struct {
	ItemTimeMs int64 `cbor:"1,keyasint"`
}

// MaxLag is how many versions behind the newest the batch allowed.
func (d Demand) MaxLag() int64 { return max(d.NewestVersion-d.MinVersion, 0) }

// Partition is where demands are kept.
var Partition = journal.Partition{Topic: journal.KeyedTopic(topic)}

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
func (p *Publisher) Publish(ctx context.Context, model string, demand Demand) {
	p.write(ctx, model, demand)
}

// PublishItemTime writes how long an item of a model took a slot, in the mean of a batch.
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
	if err := journal.AppendWithin(ctx, p.journal, writeTimeout, Partition, record); err != nil {
		p.logger.Info("demand not written", zap.String("key", key), zap.Error(err))
	}
}

const (
	// tokensSmoothing divides a new batch's difference in work: batches of a model differ, its
	// part of the engines should not.
	tokensSmoothing = 4
	// itemTimeSmoothing divides a new batch's difference in the time of its items.
	itemTimeSmoothing = 2
)

// State is the newest demand of each model, its work a running mean. It implements
// journal.KeyedHandler.
type State struct {
	logger *zap.Logger

	mu        sync.Mutex
	demands   map[string]Demand
	itemTimes map[string]time.Duration
}

// NewState returns the state before any record.
func NewState(logger *zap.Logger) *State {
	return &State{logger: logger, demands: map[string]Demand{}, itemTimes: map[string]time.Duration{}}
}

// Apply implements journal.KeyedHandler.
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
	if before, ok := s.demands[record.Key]; ok && before.Tokens > 0 {
		demand.Tokens = before.Tokens + (demand.Tokens-before.Tokens)/tokensSmoothing
	}
	s.demands[record.Key] = demand
}

// decode reports whether a record has a value that can be decoded. What it would have said
// stays as it was.
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

// applyItemTime takes what an owner has measured of a model.
func (s *State) applyItemTime(model string, value []byte) {
	var m itemTimeRecord
	if !s.decode(itemTimeKeyPrefix+model, value, &m) || m.ItemTimeMs <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	itemTime := time.Duration(m.ItemTimeMs) * time.Millisecond
	if before, ok := s.itemTimes[model]; ok {
		itemTime = before + (itemTime-before)/itemTimeSmoothing
	}
	s.itemTimes[model] = itemTime
}

// ItemTime is how long an item of a model takes a slot, a running mean over batches.
func (s *State) ItemTime(model string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if itemTime, ok := s.itemTimes[model]; ok {
		return itemTime
	}
	return initialItemTime
}

// Newest returns the newest demand of a model, the zero value if there is none.
func (s *State) Newest(model string) Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.demands[model]
}
