package occupancy

import (
	"fmt"
	"testing"
	"time"

	"woodworks/internal/daemon/golden"
)

func TestWireFormatIsUnchanged(t *testing.T) {
	golden.Service(t, ServiceName, &Service{})
	golden.Gob[Message](t, "message")
	golden.Gob[Heard](t, "heard")
	golden.CBOR[Report](t, "report")
	golden.CBOR[Snapshot](t, "beliefs")
	golden.Text(t, "names.txt", fmt.Sprintln(tellMethod, askMethod, KeyOf("replica", time.Time{}), KeyOf("replica", time.UnixMilli(1_700_000_000_000)),
		NewMeasurement(7, 40*time.Millisecond, 3*time.Second)))
}
