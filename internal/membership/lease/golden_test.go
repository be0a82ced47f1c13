package lease

import (
	"fmt"
	"testing"

	"woodworks/internal/daemon/golden"
)

// Records and kinds are stored in the journal, so that their encoding must not change.
func TestRecordEncodingIsStable(t *testing.T) {
	golden.CBOR[record](t, "claim")
	golden.Text(t, "kinds.txt", fmt.Sprint(int(claimed), int(renewed), int(resigned)))
}
