package demand

import (
	"fmt"
	"testing"

	"woodworks/internal/daemon/golden"
)

func TestStoredFormsAreStable(t *testing.T) {
	golden.CBOR[Demand](t, "demand")
	golden.CBOR[itemTimeRecord](t, "measured")
	golden.Text(t, "names.txt", fmt.Sprintln(Partition, itemTimeKeyPrefix))
}
