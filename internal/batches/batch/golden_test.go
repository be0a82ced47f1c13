package batch

import (
	"fmt"
	"testing"

	"woodworks/internal/daemon/golden"
)

// Stored records must stay readable: their encoding may not change.
func TestRecordEncodingIsStable(t *testing.T) {
	golden.CBOR[record](t, "record")
	submission := golden.Filled[Submission]()
	results, progress := golden.Filled[[]Result](), golden.Filled[[]Progress]()
	records := map[string][]byte{
		"accepted":  Accepted(submission, "owner"),
		"listed":    ResultsAdded("batch", *results),
		"taken":     TakenOver("batch", "from", "owner"),
		"released":  Released("batch", "from", []int{1, 2}),
		"returned":  ItemsReturned("batch", "from", []int{1}),
		"ended":     Ended("batch", "tenant"),
		"beat":      Heartbeat("batch", "owner", 3),
		"suspected": ContentSuspected("batch", 2, []byte("entry")),
		"failed":    ItemFailed("batch", 2, Failures{Item: 3, Reward: 1}),
		"abandoned": FragmentsAbandoned("key"),
		"advanced":  Checkpoint("batch", "owner", 4, *progress),
	}
	for name, encoded := range records {
		golden.Text(t, name+".cbor", encoded)
	}
	for i, part := range Fragment(records["accepted"], fragmentOverhead+100, "key") {
		golden.Text(t, fmt.Sprintf("fragment%d.cbor", i), part)
	}
	golden.Text(t, "outcomes.txt", fmt.Sprint(int(Done), int(Dead)))
}
