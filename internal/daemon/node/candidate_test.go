package node

import (
	"testing"

	"woodworks/internal/batches/ledger"
	"woodworks/internal/batches/runner"
	"woodworks/internal/journal"
)

// A lost lease holder may be a candidate itself, so another candidate must already be watching the
// lease, whether partitions are assigned round robin or in contiguous runs.
func TestTwoOrThreeDaemonsAreLeaseCandidates(t *testing.T) {
	const partitions = 8
	var all []journal.Partition
	for _, topic := range append(ledger.TopicNames(), runner.RunnersTopic) {
		for number := range partitions {
			all = append(all, journal.Partition{Topic: topic, Number: number})
		}
	}
	assignments := map[string]func(row, daemons int) int{
		"round robin": func(row, daemons int) int { return row % daemons },
		"contiguous":  func(row, daemons int) int { return row * daemons / len(all) },
	}
	for name, assignedTo := range assignments {
		for daemons := 2; daemons <= 50; daemons++ {
			assigned := make([]map[journal.Partition]bool, daemons)
			for row, partition := range all {
				to := assignedTo(row, daemons)
				if assigned[to] == nil {
					assigned[to] = map[journal.Partition]bool{}
				}
				assigned[to][partition] = true
			}
			candidates := 0
			for _, e := range assigned {
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
