package identity

import (
	"testing"
	"time"

	"woodworks/internal/daemon/golden"
)

// Names of incarnations are stored and sent to other daemons, so that their format must not change.
func TestIncarnationNameFormatIsStable(t *testing.T) {
	golden.Text(t, "run.txt", New("machine", time.UnixMilli(1_700_000_000_123)))
}
