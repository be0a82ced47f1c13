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

// The load and the slowdown reported in an answer must be recorded for the answering replica only.
func TestReportedLoadIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := replica.NewTable(time.Second, zap.NewNop())
		table.Replace([]replica.Entry{{ID: "a", Service: "s", StartedAt: time.UnixMilli(1)}, {ID: "b", Service: "s"}})
		loads := []headers.Load{{Running: 2, Waiting: 1, Slowdown: 2}, {Running: 4}}
		f := &Forwarder{MaxConnections: UnboundedConnections, Table: table}
		for _, load := range loads {
			f.Names.DecodeLoad = func(http.Header) (headers.Load, bool) { return load, true }
			rep, _ := table.Get("a")
			f.recordLoad(rep, nil)
			known, _ := table.Get("a")
			is.Equal(known.ReportedLoad, load.Running+load.Waiting)
			is.Equal(known.Slowdown, 2.0) // a report without a slowdown keeps the last one
			other, _ := table.Get("b")
			is.Equal(other.ReportedLoad, 0)
			is.Equal(other.Slowdown, 1.0)
		}
	})
}

// The load must be read from every answer: complete answers, streams and declines.
func TestLoadIsReadFromEveryAnswer(t *testing.T) {
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
				f := newTestService(t, 1, does)
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
					_, _ = f.call(t, func(*Call) {}) // only the header matters here
				}
				is.Equal(read.Load(), int64(f.attemptCount()))
			})
		}
	}
}
