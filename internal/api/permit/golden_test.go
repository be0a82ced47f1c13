package permit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/golden"
	"woodworks/internal/journal/journaltest"
)

func TestEncodingOfRecordsIsUnchanged(t *testing.T) {
	golden.CBOR[record](t, "record")
	golden.Text(t, "kinds.txt", fmt.Sprint(int(kindClaim), int(kindOutcome), int(kindRelease)))
	log := journaltest.New()
	log.Partitions = 24
	permits := New(log, time.Minute, func() string { return "" }, zap.NewNop())
	var places strings.Builder
	for i := range 8 {
		key := fmt.Sprint("1700000000000-key-", i)
		fmt.Fprintln(&places, key, permits.partitionOf(key).name)
	}
	golden.Text(t, "partitions.txt", places.String())
}
