// Package relay lets a daemon that cannot reach the journal's store make its calls through
// another daemon, and carries all calls between daemons.
//
// A machine may be cut off from the store, or refused by it, while the store serves all others.
// Its callers still reach it, but without the journal it can neither accept batches nor list
// results. While its own path is lost, that is, while its direct calls fail, its calls therefore
// go through a peer that reaches the store.
//
// Correctness does not depend on the path of a call: the answers are those of the journal, and a
// call whose answer is lost on either path has an unknown outcome. Idempotent calls are repeated
// here; an append that may have happened is reported as unknown. A peer never relays a call
// further: if it has lost its own path as well, it refuses the call.
//
// The package contains the state of the own path (path.go), the connections to other daemons
// (peer.go, peers.go) and the service that answers them (service.go). Daemons communicate over these
// connections only. Besides calls to the journal, they carry the calls that the packages results,
// occupancy and quarantine register. The list of daemons is kept in the journal;
// while a daemon has lost its path, it also introduces itself to its neighbours (introduce.go).
//
// # Usage
//
//	relayed := relay.New(log, relay.Options{Name: name, Zone: zone, Address: address}, logger)
//	go relayed.Run(ctx)
package relay

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/logging"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
)

const (
	// lossCheckInterval is the time between two checks whether the own path is lost.
	lossCheckInterval = 100 * time.Millisecond
	// probeInterval is the time between two calls that probe a lost path, probeTimeout the bound
	// of each.
	probeInterval = 400 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	// keyAfterAll sorts after the names of all daemons: a page from there on is empty.
	keyAfterAll = "~"
)

// Options identifies this daemon.
type Options struct {
	// Name is the name of the machine, Zone the zone in which it runs.
	Name, Zone string
	// Address is the IP:port at which peers reach this daemon's relay.
	Address string
}

// Journal calls a journal on this daemon's own path or, while that is lost, through a peer. It
// implements journal.Journal and is safe for concurrent use.
type Journal struct {
	journal.Journal
	options   Options
	logger    *zap.Logger
	path      *path
	peers     *peers
	peerCalls callTracker
	// RelayedCalls counts the calls that succeeded through a peer, FailedRelayedCalls those that
	// failed there.
	RelayedCalls, FailedRelayedCalls atomic.Uint64
	// RefusedRelays counts the calls of peers that were refused because of maxBulkRelays.
	RefusedRelays atomic.Uint64
	// refusals logs those refusals as summaries.
	refusals *logging.Episodes
	// bulkRelays is a semaphore with maxBulkRelays slots.
	bulkRelays chan struct{}
	// receivers holds the receivers whose methods peers may call besides those of the journal, by
	// service name.
	receivers map[string]any
}

// New wraps a journal. Until Run is called, all calls use the own path.
func New(direct journal.Journal, options Options, logger *zap.Logger) *Journal {
	return &Journal{
		Journal:    direct,
		options:    options,
		logger:     logger,
		path:       newPath(time.Now()),
		peers:      newPeers(options, logger),
		bulkRelays: make(chan struct{}, maxBulkRelays),
		refusals:   logging.NewEpisodes(logger, "relayed calls refused", "", ""),
		receivers:  map[string]any{},
	}
}

// Run announces this daemon to the others and detects the loss and the return of the own path. It
// blocks until the context ends, and then closes the connections to peers.
func (j *Journal) Run(ctx context.Context) {
	go j.announce(ctx)
	go j.probe(ctx)
	go j.introduce(ctx)
	periodic.Every(ctx, lossCheckInterval, func(context.Context) {
		if lost, reason := j.path.detectLoss(time.Now()); lost {
			j.logger.Warn("own path to the journal lost", zap.String("reason", reason),
				zap.Duration("silent", j.path.timeSinceAnswer(time.Now())), zap.Int("peers", j.peers.count()))
		}
	})
	j.peers.close()
}

// probe tests the own path while it is lost: it calls the journal on that path at intervals of
// probeInterval. An answer that is no refusal restores the path. probe blocks until the context
// ends.
func (j *Journal) probe(ctx context.Context) {
	periodic.Every(ctx, probeInterval, func(ctx context.Context) {
		if lost, _ := j.path.state(); !lost {
			return
		}
		bounded, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		// callOnOwnPath updates the state of the path, so the outcome is not needed here.
		_, _ = j.callOnOwnPath(bounded, operation{Newest: &newestCall{Partition: PeersPartition, After: keyAfterAll}})
	})
}

// PathLost reports whether this daemon's own path to the journal is lost.
func (j *Journal) PathLost() bool {
	lost, _ := j.path.state()
	return lost
}

// Daemons returns how many daemons have announced themselves, including this one and those that
// no longer exist.
func (j *Journal) Daemons() int { return j.peers.count() + 1 }
