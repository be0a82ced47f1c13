package engine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"woodworks/internal/backend/engine"
)

func generate(t *testing.T, status int, body string) (engine.EndReason, int, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(status)
		_, _ = writer.Write([]byte(body))
	}))
	defer server.Close()
	client := engine.NewClient(strings.TrimPrefix(server.URL, "http://"))
	defer client.Close()
	tokens := 0
	end, err := client.Generate(context.Background(), engine.GenerateRequest{ID: "x"}, func(frame engine.Frame) { tokens += len(frame.Tokens) })
	return end, tokens, err
}

// A stream is whole only with an end mark that agrees with what arrived.
func TestOnlyWholeStreamsEndWell(t *testing.T) {
	const frame = `{"version":3,"tokens":[1,2]}` + "\n"
	cases := map[string]struct {
		status int
		body   string
		want   error
	}{
		"whole":              {200, frame + `{"end":"stop","total":2}` + "\n", nil},
		"no end mark":        {200, frame, engine.ErrIncomplete},
		"frame lost":         {200, frame + `{"end":"stop","total":4}` + "\n", engine.ErrIncomplete},
		"frame doubled":      {200, frame + frame + `{"end":"stop","total":2}` + "\n", engine.ErrIncomplete},
		"cut in a frame":     {200, frame + `{"version":3,"tok`, engine.ErrBroken},
		"tokens, no version": {200, `{"tokens":[1]}` + "\n", engine.ErrBroken},
		"unknown end":        {200, `{"end":"nap","total":0}` + "\n", engine.ErrBroken},
		"error frame":        {200, frame + `{"error":"swap failed"}` + "\n", engine.ErrBroken},
		"stale fence":        {409, `{}`, engine.ErrFenced},
		"engine full":        {503, `full`, engine.ErrRefused},
		"engine failed":      {500, `oops`, engine.ErrBroken},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			end, _, err := generate(t, one.status, one.body)
			if one.want == nil {
				is.NoErr(err)
				is.Equal(end, engine.EndStop)
				return
			}
			is.True(errors.Is(err, one.want))
		})
	}
}

func TestUnreachableEngineIsToldApart(t *testing.T) {
	is := is.New(t)
	client := engine.NewClient("127.0.0.1:1")
	_, err := client.State(context.Background())
	is.True(errors.Is(err, engine.ErrUnreachable))
}

func FuzzDecodeFrame(f *testing.F) {
	f.Add([]byte(`{"version":3,"tokens":[1,2]}`))
	f.Add([]byte(`{"end":"stop","total":2}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		frame, err := engine.DecodeFrame(line)
		if err == nil && len(frame.Tokens) > 0 && frame.Version == 0 {
			t.Fatal("tokens without a version")
		}
	})
}

func BenchmarkDecodeFrame(b *testing.B) {
	line := []byte(`{"version":3,"tokens":[` + strings.TrimSuffix(strings.Repeat("123456,", 64), ",") + `]}`)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := engine.DecodeFrame(line); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/64, "ns/token")
}
