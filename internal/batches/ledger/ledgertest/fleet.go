// Package ledgertest has fleets of daemons for tests: each with a ledger of its own before one
// journal, and with partitions that it watches.
//
// # Usage
//
//	fleet := ledgertest.Start(ctx, log, 91, bytesPerSecond)
//	fleet.Deal()
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

// Fleet is a number of daemons that have just started.
type Fleet struct {
	// Runs are the incarnations of the daemons, on machines m0, m1 and so on.
	Runs    []string
	Ledgers []*ledger.Ledger
	// Dealt has for each partition the index of the daemon that watches it.
	Dealt map[journal.Partition]int

	log *journaltest.Journal
}

// Start starts daemons before a journal, each behind a link that carries so many bytes a second.
func Start(ctx context.Context, log *journaltest.Journal, daemons int, link float64) *Fleet {
	f := &Fleet{log: log, Dealt: map[journal.Partition]int{}}
	for i := range daemons {
		f.Runs = append(f.Runs, identity.New(fmt.Sprint("m", i), time.Now()))
		f.Ledgers = append(f.Ledgers, ledger.New(ctx, log.OverLink(link), zap.NewNop()))
	}
	return f
}

// Deal deals all partitions to the daemons in turn, and has them followed there.
func (f *Fleet) Deal() {
	for _, topic := range ledger.TopicNames() {
		for number := range f.log.Partitions {
			name := journal.Partition{Topic: topic, Number: number}
			f.Dealt[name] = len(f.Dealt) % len(f.Runs)
			f.Ledgers[f.Dealt[name]].Partition(name).Follow()
		}
	}
}

// WatcherOf returns the incarnation that watches a partition.
func (f *Fleet) WatcherOf(_ context.Context, partition journal.Partition) (string, bool) {
	at, ok := f.Dealt[partition]
	if !ok {
		return "", false
	}
	return f.Runs[at], true
}

// Daemons is how many daemons there are.
func (f *Fleet) Daemons() int { return len(f.Runs) }
