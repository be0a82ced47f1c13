package logservice

import (
	"fmt"
	"testing"

	"woodworks/internal/daemon/golden"
)

// Guards against changes of the messages and names of the protocol.
func TestProtocolEncodingIsStable(t *testing.T) {
	golden.CBOR[newestRequest](t, "newest")
	golden.CBOR[memberRequest](t, "member")
	golden.CBOR[refusal](t, "refusal")
	golden.Text(t, "names.txt", fmt.Sprintln(pathPrefix, contentType, callAppend, callRead, callNewest, callJoin, callLeave, callOwners,
		reasonNotDone, reasonPosition, reasonTrimmed))
}
