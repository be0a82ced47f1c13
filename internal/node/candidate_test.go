package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/group"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/ledger"
	"woodworks/internal/runner"
)

// A holder of the lease that is parted from the journal may be the candidate
// itself: a second one must have watched the lease all along, or its wait begins
// only when partitions are dealt anew (incident 004, 2.7 s later than needed).
func TestTwoDaemonsStandByForTheLease(t *testing.T) {
	for _, daemons := range []int{2, 3, 12, 40} {
		is := is.New(t)
		log := journaltest.New()
		log.Partitions = 8
		topics := append(ledger.TopicNames(), runner.RunnersTopic)
		members := make([]*group.Member, daemons)
		ctx, cancel := context.WithCancel(context.Background())
		for i := range members {
			members[i] = group.New(log, fmt.Sprint("daemon-", i), topics, zap.NewNop())
			go members[i].Run(ctx)
		}
		candidates := 0
		for end := time.Now().Add(20 * time.Second); candidates != 2 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			candidates = 0
			for _, each := range members {
				if isCandidate(each.Partitions()) {
					candidates++
				}
			}
		}
		cancel()
		is.Equal(candidates, 2)
	}
}
