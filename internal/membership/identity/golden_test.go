package identity

import (
	"testing"
	"time"

	"woodworks/internal/daemon/golden"
)

func TestIncarnationNameFormatIsStable(t *testing.T) {
	golden.Text(t, "run.txt", New("machine", time.UnixMilli(1_700_000_000_123)))
}
