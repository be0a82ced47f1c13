package lease

import (
	"fmt"
	"testing"

	"woodworks/internal/daemon/golden"
)

func TestRecordEncodingIsStable(t *testing.T) {
	golden.CBOR[record](t, "claim")
	golden.Text(t, "kinds.txt", fmt.Sprint(int(claimed), int(renewed), int(resigned)))
}
