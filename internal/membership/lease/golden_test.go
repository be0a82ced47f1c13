package lease

import (
	"fmt"
	"testing"

	"woodworks/internal/daemon/golden"
)

// Records are stored in the journal, so the encoding of records and their kinds must not change.
func TestRecordEncodingIsStable(t *testing.T) {
	golden.CBOR[record](t, "claim")
	golden.Text(t, "kinds.txt", fmt.Sprint(int(claimed), int(renewed), int(resigned)))
}
