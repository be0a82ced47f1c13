package fleet

import (
	"fmt"
	"testing"

	"woodworks/internal/daemon/golden"
	"woodworks/internal/journal/journaltest"
)

func TestOrdersKeepTheirForm(t *testing.T) {
	golden.CBOR[orderRecord](t, "ordered")
	golden.Text(t, "partition.txt", fmt.Sprint((&Manager{Parts: Parts{Journal: journaltest.New()}}).partition()))
}
