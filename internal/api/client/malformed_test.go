package client

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// startServer starts a server that answers each request with the given bytes and closes.
func startServer(t *testing.T, sent string) (base string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, sent)
			}
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against a caller that takes what no daemon sends for a response.
func TestMalformedResponseIsNoResponse(t *testing.T) {
	for name, sent := range map[string]string{
		"status 600":         "HTTP/1.1 600 OK\r\nContent-Length: 4\r\n\r\nbody",
		"blank in a name":    "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 4\r\n\r\nbody",
		"blank in length":    "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody",
		"no length":          "HTTP/1.1 200 OK\r\n\r\nbody",
		"cut off":            "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nbody",
		"chunks cut off":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
		"head that stops":    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n",
		"status line alone":  "HTTP/1.1 200 OK\r\n",
		"status without end": "HTTP/1.1 200",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := New(startServer(t, sent), "key").Do(t.Context(), http.MethodPost, "/v1/x", nil, []byte("{}"))
			is.True(errors.Is(err, ErrNoResponse))
		})
	}
	is := is.New(t)
	got, err := New(startServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"), "key").Do(t.Context(), http.MethodPost, "/v1/x", nil, nil)
	is.NoErr(err)
	is.Equal(string(got.Body), "body")
	got, err = New(startServer(t, "HTTP/1.1 204 No Content\r\n\r\n"), "key").Do(t.Context(), http.MethodPost, "/v1/x", nil, nil)
	is.NoErr(err)
	is.Equal(got.Status, http.StatusNoContent)
}
