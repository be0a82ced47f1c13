// Package ledgertest provides fleets of daemons for tests: each daemon has a ledger of its own on a
// shared journal and watches some of the partitions.
//
// # Usage
//
//	fleet := ledgertest.Start(ctx, log, 91, bytesPerSecond)
//	fleet.AssignPartitions()
//	watcher, ok := fleet.WatcherOf(ctx, partition)
package ledgertest

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/ledger"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/membership/identity"
)

// Fleet is a set of daemons that share a journal.
type Fleet struct {
	// Incarnations has the incarnation of each daemon, on machines m0, m1 and so on. Ledgers has
	// the ledger of each, at the same index.
	Incarnations []string
	Ledgers      []*ledger.Ledger
	// WatcherIndex maps each assigned partition to the index of the daemon that watches it.
	WatcherIndex map[journal.Partition]int

	log *journaltest.Journal
}

// Start returns a fleet whose daemons read the journal through links of linkBytesPerSecond each. No
// partition is assigned yet.
func Start(ctx context.Context, log *journaltest.Journal, daemons int, linkBytesPerSecond float64) *Fleet {
	f := &Fleet{log: log, WatcherIndex: map[journal.Partition]int{}}
	for i := range daemons {
		f.Incarnations = append(f.Incarnations, identity.New(fmt.Sprint("m", i), time.Now()))
		f.Ledgers = append(f.Ledgers, ledger.New(ctx, log.OverLink(linkBytesPerSecond), zap.NewNop()))
	}
	return f
}

// AssignPartitions assigns all partitions to the daemons in turn. Each daemon follows its partitions.
func (f *Fleet) AssignPartitions() {
	for _, topic := range ledger.TopicNames() {
		for number := range f.log.Partitions {
			name := journal.Partition{Topic: topic, Number: number}
			f.WatcherIndex[name] = len(f.WatcherIndex) % len(f.Incarnations)
			f.Ledgers[f.WatcherIndex[name]].Partition(name).Follow()
		}
	}
}

// WatcherOf returns the incarnation that watches a partition, or false if it is not assigned.
func (f *Fleet) WatcherOf(_ context.Context, partition journal.Partition) (string, bool) {
	index, ok := f.WatcherIndex[partition]
	if !ok {
		return "", false
	}
	return f.Incarnations[index], true
}

// Daemons returns the number of daemons in the fleet.
func (f *Fleet) Daemons() int { return len(f.Incarnations) }
