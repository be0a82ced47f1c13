package rollout

import (
	"testing"

	"github.com/matryer/is"

	"woodworks/internal/batches/batch"
	"woodworks/internal/daemon/golden"
)

func TestEncodingOfMessagesIsUnchanged(t *testing.T) {
	golden.JSON[Request](t, "request")
	golden.JSON[GenerateRequest](t, "generate")
	golden.JSON[Frame](t, "frame")
	golden.JSON[Result](t, "result")
}

func TestEncodingOfCursorIsUnchanged(t *testing.T) {
	is := is.New(t)
	cursor := NewCursor(Header{Trainer: "trainer", Name: "name", Digest: 1 << 60, Samples: 12}).Take(1, 9)
	golden.Text(t, "cursor.txt", cursor.String())
	parsed, err := ParseCursor(cursor.String())
	is.NoErr(err)
	is.Equal(parsed, cursor)
}

// Guards against rounds that differ between daemons: one may make a further round of a batch whose
// first round another made.
func TestEncodingOfRoundsIsUnchanged(t *testing.T) {
	request := Request{
		Trainer: "trainer", Name: "name", SamplesPerPrompt: 2, MaxTokens: 64, Seed: 7,
		Prompts: []Prompt{{ID: "p1", Text: "one", ExpectedTokens: 20}, {ID: "p2", Text: "two"}},
	}
	header := HeaderOf(request)
	first := FirstRound(request, header, 3, ItemHeaders{TokenUsage: "Usage", LengthHint: "Hint"})
	golden.Text(t, "first.cbor", batch.Accepted(first, "owner"))
	golden.Text(t, "next.cbor", batch.Accepted(FurtherRound(first, header, 2, []int{1, 3}, 4), "owner"))
}
