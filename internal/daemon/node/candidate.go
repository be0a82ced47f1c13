package node

import (
	"slices"

	"woodworks/internal/batches/ledger"
	"woodworks/internal/journal"
)

// isCandidate reports whether a daemon with these assigned partitions claims the lease for engine
// orders when it is free. Candidates are the watchers of the first two partitions of the first batch
// topic and of the last partition of the last one. Under round-robin and contiguous assignment
// alike these are two or three daemons; a single candidate could be the lost holder itself.
func isCandidate(assigned map[journal.Partition]bool, partitionsPerTopic int) bool {
	return slices.ContainsFunc(candidatePartitions(partitionsPerTopic),
		func(partition journal.Partition) bool { return assigned[partition] })
}

// candidatePartitions returns the partitions whose watchers claim the lease.
func candidatePartitions(partitionsPerTopic int) []journal.Partition {
	topics := ledger.TopicNames()
	first, last := topics[0], topics[len(topics)-1]
	return []journal.Partition{{Topic: first}, {Topic: first, Number: 1}, {Topic: last, Number: partitionsPerTopic - 1}}
}
