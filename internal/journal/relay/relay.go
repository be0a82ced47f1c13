// Package relay lets a daemon that has lost its own path to the journal go on through
// another daemon, and carries all calls between daemons.
//
// A machine may be cut off from the platform's store, or be refused by it, while the
// store serves all others. Callers still reach that machine: its batches could not
// be accepted, its results not be listed. Its calls therefore go to a peer that
// reaches the store, until its own path is back.
//
// Nothing rests on which path a call takes: the journal's answers are what they are,
// and a call whose answer is lost on either path has an unknown outcome. Calls that change
// nothing when made again are repeated here; an append that may have happened is reported as
// unknown. A peer never passes a call on again: one that has lost the path as well says so.
//
// The package owns what is believed of the own path (path.go), the connections to other daemons
// (peer.go) and the service that answers them (service.go). All that daemons say to each other goes over these
// connections: calls to the journal, and what results, occupancy and quarantine register. It
// relies on the journal for the list of daemons.
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

	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
)

const (
	// lossCheckInterval is the time between two judgements of the path.
	lossCheckInterval = 100 * time.Millisecond
	// probeInterval is the time between two tries of a lost path, probeTimeout how
	// long each may take.
	probeInterval = 400 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	// keyAfterAll is after the names of all daemons: a page from there on is empty.
	keyAfterAll = "~"
)

// Options say who this daemon is.
type Options struct {
	// Name is the machine's, Zone where it is.
	Name, Zone string
	// Address is where peers reach this daemon's relay, IP:port.
	Address string
}

// Journal is a journal with two paths to it, the own one and one through a peer. It
// implements journal.Journal and is safe for concurrent use.
type Journal struct {
	journal.Journal
	options   Options
	logger    *zap.Logger
	path      *path
	peers     *peers
	peerCalls callTracker
	// RelayedCalls counts the calls that a peer has made, FailedRelayedCalls those through one that failed.
	RelayedCalls, FailedRelayedCalls atomic.Uint64
	// receivers answer the other calls of peers, by name.
	receivers map[string]any
}

// New wraps a journal. Without Run, all calls go straight to it.
func New(direct journal.Journal, options Options, logger *zap.Logger) *Journal {
	return &Journal{
		Journal:   direct,
		options:   options,
		logger:    logger,
		path:      newPath(time.Now()),
		peers:     newPeers(options, logger),
		receivers: map[string]any{},
	}
}

// Run keeps the beliefs about the path up to date until the context ends.
func (j *Journal) Run(ctx context.Context) {
	go j.announce(ctx)
	go j.probe(ctx)
	periodic.Every(ctx, lossCheckInterval, func(context.Context) {
		if lost, reason := j.path.detectLoss(time.Now()); lost {
			j.logger.Warn("own path to the journal lost", zap.String("reason", reason),
				zap.Duration("silent", j.path.timeSinceAnswer(time.Now())), zap.Int("peers", j.peers.count()))
		}
	})
	j.peers.close()
}

// probe tries the own path while it is lost.
func (j *Journal) probe(ctx context.Context) {
	periodic.Every(ctx, probeInterval, func(ctx context.Context) {
		if lost, _ := j.path.state(); !lost {
			return
		}
		bounded, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		// What it tells is what onOwnPath learns from its outcome.
		_, _ = j.callOnOwnPath(bounded, operation{Newest: &newestCall{Partition: PeersPartition, After: keyAfterAll}})
	})
}

// PathLost reports whether the own path is lost.
func (j *Journal) PathLost() bool {
	lost, _ := j.path.state()
	return lost
}

// Daemons returns how many daemons have announced themselves, this one included.
// Those that are gone for good are among them.
func (j *Journal) Daemons() int { return j.peers.count() + 1 }
