package operator

import (
	"fmt"
	"testing"

	"woodworks/internal/daemon/golden"
	"woodworks/internal/journal/journaltest"
)

func TestRecordsKeepTheirForm(t *testing.T) {
	golden.CBOR[Policies](t, "policies")
	golden.CBOR[Version](t, "version")
	golden.CBOR[Machine](t, "machine")
	golden.JSON[Publication](t, "publication")
	log := journaltest.New()
	golden.Text(t, "names.txt", fmt.Sprintln(RecordsPartition(log), MachinesPartition(log), PoliciesKey, versionKeyPrefix))
}
