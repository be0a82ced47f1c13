package policy

import (
	"testing"

	"woodworks/internal/daemon/golden"
)

func TestResultsOfCasesKeepTheirForm(t *testing.T) {
	golden.JSON[TestResult](t, "case-result")
}
