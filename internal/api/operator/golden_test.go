package operator

import (
	"fmt"
	"testing"

	"woodworks/internal/daemon/golden"
)

func TestRecordEncodingIsStable(t *testing.T) {
	golden.CBOR[Policies](t, "policies")
	golden.CBOR[Version](t, "version")
	golden.CBOR[Machine](t, "machine")
	golden.JSON[Publication](t, "publication")
	golden.Text(t, "names.txt", fmt.Sprintln(RecordsPartition, MachinesPartition, PoliciesKey, versionKeyPrefix))
}
