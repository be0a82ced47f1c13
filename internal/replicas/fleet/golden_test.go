package fleet

import (
	"fmt"
	"testing"

	"woodworks/internal/daemon/golden"
)

func TestOrdersKeepTheirForm(t *testing.T) {
	golden.CBOR[orderRecord](t, "ordered")
	golden.Text(t, "partition.txt", fmt.Sprint(partition))
}
