package node

import (
	"slices"

	"woodworks/internal/batches/ledger"
	"woodworks/internal/journal"
)

// isCandidate reports whether the partitions dealt to a daemon make it one that
// claims the lease for orders when it is free: the first two partitions of the
// first topic of batches and the last of the last. Whether partitions are dealt
// in turn or in runs, these are two or three daemons; one alone might be the
// holder that has been lost.
func isCandidate(dealt map[journal.Partition]bool, partitionsPerTopic int) bool {
	return slices.ContainsFunc(candidatePartitions(partitionsPerTopic),
		func(partition journal.Partition) bool { return dealt[partition] })
}

// candidatePartitions are the partitions whose members claim the lease.
func candidatePartitions(partitionsPerTopic int) []journal.Partition {
	topics := ledger.TopicNames()
	first, last := topics[0], topics[len(topics)-1]
	return []journal.Partition{{Topic: first}, {Topic: first, Number: 1}, {Topic: last, Number: partitionsPerTopic - 1}}
}
