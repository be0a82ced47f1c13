package usage

import (
	"fmt"
	"testing"

	"woodworks/internal/daemon/golden"
)

func TestRecordEncodingIsStable(t *testing.T) {
	golden.CBOR[record](t, "record")
	golden.Text(t, "names.txt", fmt.Sprintln(Partition, int(kindCounted), int(kindDecided), int(kindReported)))
}
