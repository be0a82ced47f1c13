package ingress

import (
	"testing"

	"woodworks/internal/daemon/golden"
)

// Bodies of answers and of logs tell clients why they were refused.
func TestReasonsKeepTheirTexts(t *testing.T) { golden.Literals(t, "texts.literals") }
