package forward

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/replicas/replica"
)

// Guards against an engine that is avoided for seconds after each failure although its streams in between
// were complete.
func TestFailuresBetweenCompleteStreamsDoNotAddUp(t *testing.T) {
	is := is.New(t)
	f := newTestService(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Signature", "s")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	})
	engine := func() replica.Replica { return f.forwarder.Table.Replicas("s")[0] }
	const shortBackoff = time.Second
	for range 6 {
		f.forwarder.Table.RequestFailed(engine().Incarnation())
		is.True(time.Until(engine().AvoidUntil) < shortBackoff)
		req := Request{RequestID: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"r"}}}
		stream, err := f.forwarder.OpenStream(t.Context(), &StreamRequest{Request: req}, engine())
		is.NoErr(err)
		for err == nil {
			_, err = stream.Next()
		}
		is.Equal(err, io.EOF)
		stream.Close()
	}
}
