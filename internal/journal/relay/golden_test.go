package relay

import (
	"errors"
	"fmt"
	"testing"

	"woodworks/internal/daemon/golden"
	"woodworks/internal/journal"
)

func TestMessagesKeepTheirForm(t *testing.T) {
	golden.Service(t, serviceName, &Service{})
	golden.Gob[Message](t, "message")
	golden.Text(t, "introduce.txt", fmt.Sprintln(introduceMethod))
	golden.Gob[Introduction](t, "introduction")
	golden.CBOR[operation](t, "operation")
	golden.CBOR[reply](t, "reply")
	golden.CBOR[peer](t, "peer")
	golden.Text(t, "names.txt", fmt.Sprintln(methodName, peersTopic))
}

func TestOutcomesKeepTheirNumbers(t *testing.T) {
	golden.Text(t, "outcomes.txt", fmt.Sprint(int(outcomeDone), int(outcomePathLost), int(outcomeNotDone), int(outcomeUnavailable),
		int(outcomePosition), int(outcomeTrimmed), int(outcomeUnknown), int(outcomeThrottled)))
	lines := ""
	for _, err := range []error{
		&journal.ThrottledError{Reason: "why"}, &journal.TrimmedError{First: 7}, journal.ErrPosition,
		&journal.UnavailableError{Reason: "why"}, journal.ErrNotDone, journal.ErrUnknown, errors.New("other"),
	} {
		message, encodeErr := encode(failedReply(err))
		lines += fmt.Sprintf("%x %v\n", message.Body, encodeErr)
	}
	golden.Text(t, "failures.txt", lines)
}
