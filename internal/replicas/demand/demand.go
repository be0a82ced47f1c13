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
	// timeKeyPrefix starts the keys of what owners have measured of a model.
	timeKeyPrefix = "time/"
	// initialItemTime is how long an item is expected to take a slot before one was
	// measured: a text of twenty events, 40 ms each, and its prompt.
	initialItemTime = time.Second
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

// measured is what an owner has measured of a batch of a model.
type measured struct {
	ItemTimeMs int64 `cbor:"1,keyasint"`
}

// Lag is how many versions behind the newest the batch allowed.
func (d Demand) Lag() int64 { return max(d.Named-d.MinVersion, 0) }

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

// PublishTime writes how long an item of a model took a slot, in the mean of a batch.
func (p *Publisher) PublishTime(ctx context.Context, model string, itemTime time.Duration) {
	p.write(ctx, timeKeyPrefix+model, measured{ItemTimeMs: itemTime.Milliseconds()})
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
	// workSmoothing divides a new batch's difference in work: batches of a model differ, its
	// part of the engines should not.
	workSmoothing = 4
	// timeSmoothing divides a new batch's difference in the time of its items.
	timeSmoothing = 2
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
	if model, isTime := strings.CutPrefix(record.Key, timeKeyPrefix); isTime {
		s.applyTime(model, record.Value)
		return
	}
	var demand Demand
	if !s.decode(record.Key, record.Value, &demand) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if before, ok := s.demands[record.Key]; ok && before.Work > 0 {
		demand.Work = before.Work + (demand.Work-before.Work)/workSmoothing
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

// applyTime takes what an owner has measured of a model.
func (s *State) applyTime(model string, value []byte) {
	var m measured
	if !s.decode(timeKeyPrefix+model, value, &m) || m.ItemTimeMs <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	itemTime := time.Duration(m.ItemTimeMs) * time.Millisecond
	if before, ok := s.itemTimes[model]; ok {
		itemTime = before + (itemTime-before)/timeSmoothing
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

// Of returns the newest demand of a model, the zero value if there is none.
func (s *State) Of(model string) Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.demands[model]
}
