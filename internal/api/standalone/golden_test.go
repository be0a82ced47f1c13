package standalone

import (
	"fmt"
	"testing"

	"woodworks/internal/daemon/golden"
)

func TestEngineProtocolKeepsItsForm(t *testing.T) {
	golden.JSON[EngineState](t, "state")
	golden.JSON[EngineOrder](t, "order")
	golden.Text(t, "names.txt", fmt.Sprintln(StatePath, OrderPath, MannerFinish, MannerContinue, MannerReset, ServiceHost("service"), SamplesHost("trainer"), OperationPath("operation")))
	golden.Text(t, "headers.txt", golden.Strings(HeaderNames()))
}
