package policy

import (
	"testing"

	"woodworks/internal/daemon/golden"
)

func TestTestResultEncodingIsStable(t *testing.T) {
	golden.JSON[TestResult](t, "case-result")
}
