package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/headers"
)

// What an answer tells of its replica's load and of its pace of work is known of that
// replica.
func TestTheLoadThatAnAnswerTellsIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := replica.NewTable(time.Second, zap.NewNop())
		table.Replace([]replica.Entry{{ID: "a", Service: "s", StartedAt: time.UnixMilli(1)}, {ID: "b", Service: "s"}})
		loads := []headers.Load{{Running: 2, Waiting: 1, Slowdown: 2}, {Running: 4}}
		f := &Forwarder{MaxOpen: Unbounded, Table: table}
		for _, load := range loads {
			f.Names.DecodeLoad = func(http.Header) (headers.Load, bool) { return load, true }
			rep, _ := table.Get("a")
			f.noteLoad(rep, nil)
			known, _ := table.Get("a")
			is.Equal(known.ReportedLoad, load.Running+load.Waiting)
			is.Equal(known.Slowdown, 2.0) // one that tells no pace takes none back
			other, _ := table.Get("b")
			is.Equal(other.ReportedLoad, 0)
			is.Equal(other.Slowdown, 1.0)
		}
	})
}

// Loads are read of every answer, whether it is whole, events, or says that the request
// has not run.
func TestTheLoadOfEachAnswerIsRead(t *testing.T) {
	for name, does := range map[string]behaviour{
		"answer": answers,
		"events": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Signature", "s")
		},
		"declined": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		for _, stream := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				f := newFloor(t, 1, does)
				var read atomic.Int64
				f.forwarder.Names.DecodeLoad = func(http.Header) (headers.Load, bool) {
					read.Add(1)
					return headers.Load{}, false
				}
				if stream {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					opened, err := f.forwarder.OpenStream(ctx, &StreamRequest{Request: Request{RequestID: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"r"}}}}, f.forwarder.Table.Replicas("s")[0])
					if err == nil {
						opened.Close()
					}
				} else {
					_, _ = f.call(t, func(*Call) {}) // only what was told counts here
				}
				is.Equal(read.Load(), int64(f.offered()))
			})
		}
	}
}
