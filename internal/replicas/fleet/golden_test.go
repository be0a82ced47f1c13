package fleet

import (
	"fmt"
	"testing"

	"woodworks/internal/daemon/golden"
)

// The encoding of stored orders must not change, because other versions of the daemon read them.
func TestOrderEncodingIsStable(t *testing.T) {
	golden.CBOR[orderRecord](t, "ordered")
	golden.Text(t, "partition.txt", fmt.Sprint(partition))
}
