package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A request that was handed on has its hop in the story, from both daemons' logs, and the
// answer to the caller as its outcome.
func TestAHandedOnRequestShowsItsHop(t *testing.T) {
	is := is.New(t)
	const asker = "time=2026-01-01T00:00:01.030Z level=info event=\"request handed on\" node=edge-1 request=r1 peer=edge-2 service=s outcome=answered replica=a attempts=1\n" +
		"time=2026-01-01T00:00:01.031Z level=info event=request node=edge-1 request=r1 route=x status=200 outcome=answered replica=a\n"
	const peer = "time=2026-01-01T00:00:01.029Z level=info event=\"request of a peer\" node=edge-2 request=r1 from=edge-1 result=answered replica=a\n"
	var sentences strings.Builder
	is.NoErr(Explain(&sentences, "r1", strings.NewReader(asker), strings.NewReader(peer)))
	at := -1
	for _, line := range []string{"edge-2: request of a peer", "edge-1: request handed on", "edge-1: request request=r1", "r1: request on edge-1: answered"} {
		next := strings.Index(sentences.String(), line)
		is.True(next > at)
		at = next
	}
}
