package node

import (
	"testing"

	"woodworks/internal/batches/ledger"
	"woodworks/internal/batches/runner"
	"woodworks/internal/journal"
)

// A holder of the lease that is parted from the journal may be the candidate
// itself: a second one must have watched the lease all along, or its wait begins
// only when partitions are dealt anew (once 2.7 s later than needed).
// The platform does not say how it deals: in turn or in runs.
func TestTwoOrThreeDaemonsAreLeaseCandidates(t *testing.T) {
	const partitions = 8
	var all []journal.Partition
	for _, topic := range append(ledger.TopicNames(), runner.RunnersTopic) {
		for number := range partitions {
			all = append(all, journal.Partition{Topic: topic, Number: number})
		}
	}
	dealings := map[string]func(row, daemons int) int{
		"in turn": func(row, daemons int) int { return row % daemons },
		"in runs": func(row, daemons int) int { return row * daemons / len(all) },
	}
	for name, dealtTo := range dealings {
		for daemons := 2; daemons <= 50; daemons++ {
			dealt := make([]map[journal.Partition]bool, daemons)
			for row, partition := range all {
				to := dealtTo(row, daemons)
				if dealt[to] == nil {
					dealt[to] = map[journal.Partition]bool{}
				}
				dealt[to][partition] = true
			}
			candidates := 0
			for _, e := range dealt {
				if isCandidate(e, partitions) {
					candidates++
				}
			}
			if candidates < 2 || candidates > 3 {
				t.Errorf("%s, %d daemons: %d candidates", name, daemons, candidates)
			}
		}
	}
}
