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

// ServiceName is the name under which daemons answer each other about contents, and
// tellMethod what they call there.
const (
	ServiceName = "Quarantine"
	tellMethod  = ServiceName + ".Tell"
)

const (
	// gatherDelay is how long a change waits for others to be told with: the ends that one
	// crash leaves at a daemon come within milliseconds.
	gatherDelay = 5 * time.Millisecond
	// callTimeout bounds one call to a neighbour, retryInterval is the time between two tries.
	callTimeout    = 700 * time.Millisecond
	callRetryDelay = 300 * time.Millisecond
	// giveUpTimeout is how long a neighbour that does not answer is tried. One that is away for
	// longer learns from the journal what is refused.
	giveUpTimeout = time.Minute
	// maxEntriesPerCall bounds the entries of one call, of 3 KiB each at most.
	maxEntriesPerCall = 128
)

// Neighbours are the daemons that this one tells.
type Neighbours interface {
	// Neighbours returns the machines to tell: if each daemon tells its own, all learn.
	Neighbours() []string
	Ask(ctx context.Context, machine, method string, req, answer any) error
}

// Told is what one daemon tells another. net/rpc encodes it by the names of its fields, which
// stay, as those of Entry and Label.
type Told struct {
	From    string
	Entries []Entry
}

// Service takes in what other daemons tell. Its exported method is that of net/rpc.
type Service struct{ table *Table }

// NewService returns the service of a table.
func NewService(table *Table) *Service { return &Service{table: table} }

// Tell takes entries in. It is exported for net/rpc, whose callers know it by its name.
func (s *Service) Tell(msg Told, taken *int) error {
	s.table.Merge(msg.Entries, msg.From)
	*taken = len(msg.Entries)
	return nil
}

// Gossiper tells neighbours of changes of a table. What they learn anew they tell on, so
// that all daemons know after a few calls, with or without the journal.
type Gossiper struct {
	table      *Table
	neighbours Neighbours
	logger     *zap.Logger

	mu sync.Mutex
	// pending are the contents that a neighbour has to be told of. A neighbour has an entry
	// while a goroutine tells it.
	pending map[string]map[Digest]bool
}

// NewGossiper returns a spreader; Run starts it.
func NewGossiper(table *Table, neighbours Neighbours, logger *zap.Logger) *Gossiper {
	return &Gossiper{table: table, neighbours: neighbours, logger: logger, pending: map[string]map[Digest]bool{}}
}

// Run tells of changes until the context ends.
func (s *Gossiper) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.table.wake:
		}
		periodic.Pause(ctx, gatherDelay)
		changed := s.table.takeChanged()
		for _, machine := range s.neighbours.Neighbours() {
			s.enqueue(ctx, machine, changed)
		}
	}
}

// enqueue has a neighbour told of contents.
func (s *Gossiper) enqueue(ctx context.Context, machine string, changed []Digest) {
	if len(changed) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	due, telling := s.pending[machine]
	if !telling {
		due = map[Digest]bool{}
		s.pending[machine] = due
		go s.sendPending(ctx, machine)
	}
	for _, digest := range changed {
		due[digest] = true
	}
}

// sendPending tells a neighbour what is due until nothing is, or until it has not answered for
// too long.
func (s *Gossiper) sendPending(ctx context.Context, machine string) {
	var silent time.Duration
	for {
		batch, over := s.takeBatch(machine, ctx.Err() != nil || silent >= giveUpTimeout)
		if over {
			return
		}
		err := s.sendBatch(ctx, machine, batch)
		if err == nil {
			silent = 0
			continue
		}
		if silent == 0 {
			s.logger.Info("sending suspected contents to a peer failed", zap.String("machine", machine),
				zap.Int("contents", len(batch)), zap.Error(err))
		}
		s.requeue(machine, batch)
		silent += callRetryDelay
		periodic.Pause(ctx, callRetryDelay)
	}
}

// sendBatch makes one call. A neighbour that does not know the call, as one of an earlier
// version, is taken as told.
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

// takeBatch returns the next contents to tell a neighbour of. If there are none, or if it is
// given up, the telling is over.
func (s *Gossiper) takeBatch(machine string, giveUp bool) (batch []Digest, over bool) {
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

func (s *Gossiper) requeue(machine string, batch []Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, digest := range batch {
		s.pending[machine][digest] = true
	}
}
