package handoff

import (
	"fmt"
	"testing"

	"woodworks/internal/daemon/golden"
)

func TestMessagesKeepTheirForm(t *testing.T) {
	golden.Service(t, ServiceName, &Service{})
	golden.Gob[Request](t, "request")
	golden.Gob[Reply](t, "reply")
	golden.Gob[Cancellation](t, "cancellation")
	golden.Gob[Done](t, "done")
	golden.Gob[Inquiry](t, "inquiry")
	golden.Gob[Offers](t, "offers")
	golden.Text(t, "names.txt", fmt.Sprintln(methodRun, methodCancel, methodOffers, int(Answered), int(Refused), int(Busy), int(Failed), int(TooLong)))
}
