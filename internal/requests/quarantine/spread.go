package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal/relay"
)

// ServiceName is the net/rpc service through which daemons receive entries from each other.
// tellMethod is the method that they call.
const (
	ServiceName = "Quarantine"
	tellMethod  = ServiceName + ".Tell"
)

const (
	// gatherDelay is how long a change waits so that it is sent together with other changes. The
	// ends caused by one crash are observed within milliseconds of each other.
	gatherDelay = 5 * time.Millisecond
	// callTimeout bounds one call to a neighbour; callRetryDelay is the wait after a failed
	// call.
	callTimeout    = 700 * time.Millisecond
	callRetryDelay = 300 * time.Millisecond
	// giveUpTimeout is for how long calls to an unresponsive neighbour are repeated. A neighbour
	// that is away for longer reads the entries from the journal.
	giveUpTimeout = time.Minute
	// newNeighbourInterval is the time between two checks for neighbours that have not been told
	// yet: a neighbour may become known only after the last change.
	newNeighbourInterval = time.Second
	// maxEntriesPerCall bounds the entries of one call, each of at most 3 KiB.
	maxEntriesPerCall = 128
)

// Neighbours gives access to the peers to which this daemon sends entries.
type Neighbours interface {
	// Neighbours returns the machines of the peers. They must be chosen so that entries reach
	// all daemons if each daemon forwards them to its own neighbours.
	Neighbours() []string
	// Ask calls a net/rpc method at a peer. Its errors are those of relay.Journal.Ask.
	Ask(ctx context.Context, machine, method string, req, answer any) error
}

// Told is the argument of the net/rpc method Quarantine.Tell. Its encoding contains names of
// types and fields, so those of Told, Entry and Label must not change.
type Told struct {
	From    string
	Entries []Entry
}

// Service is the net/rpc service that receives entries from peers.
type Service struct{ table *Table }

// NewService returns the service that merges received entries into table.
func NewService(table *Table) *Service { return &Service{table: table} }

// Tell merges the entries of a peer and sets taken to their number. As Tell is a net/rpc method,
// its name must not change.
func (s *Service) Tell(msg Told, taken *int) error {
	s.table.Merge(msg.Entries, msg.From)
	*taken = len(msg.Entries)
	return nil
}

// Gossiper sends changed entries of a table to the neighbours. A neighbour forwards the entries
// that change its own table, so entries reach all daemons in a few steps, even without the
// journal.
type Gossiper struct {
	table      *Table
	neighbours Neighbours
	logger     *zap.Logger
	// told holds the neighbours of the last round, nil before the first. Only the goroutine of Run
	// uses it.
	told map[string]bool

	mu sync.Mutex
	// pending maps each neighbour to the contents to send to it. It has a key for a neighbour
	// exactly while a goroutine runs sendPending for that neighbour.
	pending map[string]map[Digest]bool
}

// NewGossiper returns a gossiper; Run starts it.
func NewGossiper(table *Table, neighbours Neighbours, logger *zap.Logger) *Gossiper {
	return &Gossiper{table: table, neighbours: neighbours, logger: logger, pending: map[string]map[Digest]bool{}}
}

// Run sends changes of the table to the neighbours, and all suspected contents to new ones, until
// the context ends.
func (s *Gossiper) Run(ctx context.Context) {
	newNeighbours := time.NewTicker(newNeighbourInterval)
	defer newNeighbours.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-newNeighbours.C:
		case <-s.table.wake:
			periodic.Pause(ctx, gatherDelay)
		}
		s.tellNeighbours(ctx)
	}
}

// tellNeighbours sends the queued changes to the neighbours, and all suspected contents to those
// that have become neighbours since the last call. At the first call there are none: who was
// known before any change is told of each.
func (s *Gossiper) tellNeighbours(ctx context.Context) {
	changed, neighbours := s.table.takeChanged(), s.neighbours.Neighbours()
	told := make(map[string]bool, len(neighbours))
	for _, machine := range neighbours {
		told[machine] = true
		if s.told == nil || s.told[machine] {
			s.enqueue(ctx, machine, changed)
		} else {
			s.enqueue(ctx, machine, s.table.suspected())
		}
	}
	s.told = told
}

// enqueue adds contents to those pending for a neighbour, and starts a goroutine with
// sendPending for the neighbour if none is running.
func (s *Gossiper) enqueue(ctx context.Context, machine string, changed []Digest) {
	if len(changed) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	due, sending := s.pending[machine]
	if !sending {
		due = map[Digest]bool{}
		s.pending[machine] = due
		go s.sendPending(ctx, machine)
	}
	for _, digest := range changed {
		due[digest] = true
	}
}

// sendPending sends pending contents to a neighbour until none are left or giveUpTimeout is
// reached.
func (s *Gossiper) sendPending(ctx context.Context, machine string) {
	var unresponsive time.Duration
	for {
		batch, done := s.takeBatch(machine, ctx.Err() != nil || unresponsive >= giveUpTimeout)
		if done {
			return
		}
		err := s.sendBatch(ctx, machine, batch)
		if err == nil {
			unresponsive = 0
			continue
		}
		if unresponsive == 0 {
			s.logger.Info("sending suspected contents to a peer failed", zap.String("machine", machine),
				zap.Int("contents", len(batch)), zap.Error(err))
		}
		s.requeue(machine, batch)
		unresponsive += callRetryDelay
		periodic.Pause(ctx, callRetryDelay)
	}
}

// sendBatch makes one call with the present entries of the batch. If the neighbour rejects the
// call, for example because its version lacks the method, the batch counts as sent.
func (s *Gossiper) sendBatch(ctx context.Context, machine string, batch []Digest) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	taken := 0
	err := s.neighbours.Ask(bounded, machine, tellMethod, Told{From: s.table.machine, Entries: s.table.entriesOf(batch)}, &taken)
	if errors.Is(err, relay.ErrRefused) {
		s.logger.Info("peer does not take suspected contents", zap.String("machine", machine), zap.Error(err))
		return nil
	}
	return err
}

// takeBatch removes and returns the next contents to send to a neighbour. If none are left or
// giveUp is set, it drops the neighbour from pending and returns done; the caller must then stop
// sending.
func (s *Gossiper) takeBatch(machine string, giveUp bool) (batch []Digest, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.pending[machine]
	if len(due) == 0 || giveUp {
		delete(s.pending, machine)
		return nil, true
	}
	for digest := range due {
		batch = append(batch, digest)
		delete(due, digest)
		if len(batch) == maxEntriesPerCall {
			break
		}
	}
	return batch, false
}

// requeue makes the contents of a failed batch pending again.
func (s *Gossiper) requeue(machine string, batch []Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, digest := range batch {
		s.pending[machine][digest] = true
	}
}
