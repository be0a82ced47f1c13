package ledger

import (
	"context"
	"testing"

	"go.uber.org/zap"

	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

// Each partition is the counterpart of one other, and for most of them the two are
// dealt to different members, in turn or in runs.
func TestCounterpartsAreWatchedByOthers(t *testing.T) {
	log := journaltest.New()
	log.Partitions = 8
	ledger := New(context.Background(), log, zap.NewNop())
	var all []journal.Partition
	index := map[journal.Partition]int{}
	for _, topic := range TopicNames() {
		for number := range log.Partitions {
			name := journal.Partition{Topic: topic, Number: number}
			index[name] = len(all)
			all = append(all, name)
		}
	}
	seen := map[journal.Partition]bool{}
	for _, name := range all {
		other := ledger.Counterpart(name)
		if other == name || seen[other] {
			t.Fatalf("%v is the counterpart of %v", other, name)
		}
		seen[other] = true
	}
	if len(seen) != len(all) {
		t.Fatalf("%d of %d are counterparts", len(seen), len(all))
	}
	dealings := map[string]func(row, members int) int{
		"in turn": func(row, members int) int { return row % members },
		"in runs": func(row, members int) int { return row * members / len(all) },
	}
	for dealing, dealtTo := range dealings {
		for members := 2; members <= 50; members++ {
			alone := 0
			for _, name := range all {
				if dealtTo(index[name], members) == dealtTo(index[ledger.Counterpart(name)], members) {
					alone++
				}
			}
			if alone > len(all)*2/3 || members > 2 && members != counterpartDistance && alone > len(all)/2 {
				t.Errorf("%s, %d members: %d partitions are watched by one member only", dealing, members, alone)
			}
		}
	}
}
