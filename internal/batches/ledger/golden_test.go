package ledger

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"go.uber.org/zap"

	"woodworks/internal/daemon/golden"
	"woodworks/internal/journal/journaltest"
)

// Stored batches must stay in the partitions that their ids map to.
func TestBatchPartitionsAreStable(t *testing.T) {
	log := journaltest.New()
	log.Partitions = 24
	ledger := New(context.Background(), log, zap.NewNop())
	var places strings.Builder
	for i := range 32 {
		id := fmt.Sprint("trainer/batch-", i)
		fmt.Fprintln(&places, id, ledger.Locate(id))
	}
	golden.Text(t, "partitions.txt", places.String())
	golden.Text(t, "topics.txt", strings.Join(TopicNames(), "\n"))
}
