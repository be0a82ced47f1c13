package results

import (
	"fmt"
	"testing"

	"woodworks/internal/daemon/golden"
)

// Guards against changes of the RPC protocol between daemons of different versions.
func TestMessageEncoding(t *testing.T) {
	golden.Service(t, ServiceName, &Service{})
	golden.Gob[Query](t, "query")
	golden.Gob[Page](t, "page")
	golden.Gob[ItemQuery](t, "item-query")
	golden.Gob[Body](t, "body")
	golden.Gob[BeginningQuery](t, "beginning-query")
	golden.Gob[Beginning](t, "beginning")
	golden.Gob[ItemsQuery](t, "items-query")
	golden.Gob[Items](t, "items")
	golden.Text(t, "names.txt", fmt.Sprintln(methodResults, methodItem, methodBeginning, methodSamples, methodItems))
}
