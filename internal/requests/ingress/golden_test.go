package ingress

import (
	"testing"

	"woodworks/internal/daemon/golden"
)

// Guards the texts in answers and logs from which clients learn why a request was refused.
func TestReasonsKeepTheirTexts(t *testing.T) { golden.Literals(t, "texts.literals") }
