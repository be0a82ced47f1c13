package plain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"woodworks/internal/backend/plain"
	"woodworks/internal/sendgate"
)

// backend accepts connections and lets answer write what it likes.
func backend(t *testing.T, answer func(connection net.Conn)) (address string, requests *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(connection))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				requests.Add(1)
				answer(connection)
			}()
		}
	}()
	return listener.Addr().String(), requests
}

func send(t *testing.T, address string, gate *sendgate.Gate) (plain.Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	connection, err := plain.Dial(ctx, address)
	if err != nil {
		t.Fatal(err)
	}
	return plain.Send(ctx, connection, gate, plain.Call{Address: address, Operation: "move", Body: []byte("e4"), AttemptID: "a"})
}

func TestWholeAnswerIsReturned(t *testing.T) {
	is := is.New(t)
	address, _ := backend(t, func(connection net.Conn) {
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	answer, err := send(t, address, &sendgate.Gate{})
	is.NoErr(err)
	is.Equal(string(answer.Body), "ok")
}

// The HTTP library must not send a request again, whatever the back end does.
func TestBrokenAnswersAreUnknownAndNeverSentAgain(t *testing.T) {
	cases := map[string]string{
		"closed after reading":    "",
		"cut in the headers":      "HTTP/1.1 200 OK\r\nContent-Le",
		"cut in the body":         "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"cut between chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"no end that can be told": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf",
	}
	for name, written := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, requests := backend(t, func(connection net.Conn) { _, _ = io.WriteString(connection, written) })
			_, err := send(t, address, &sendgate.Gate{})
			is.True(errors.Is(err, plain.ErrUnknown))
			time.Sleep(20 * time.Millisecond)
			is.Equal(requests.Load(), int64(1))
		})
	}
}

func TestGivenUpRequestNeverArrives(t *testing.T) {
	is := is.New(t)
	address, requests := backend(t, func(net.Conn) {})
	gate := &sendgate.Gate{}
	is.True(gate.Abandon())
	_, err := send(t, address, gate)
	is.True(errors.Is(err, plain.ErrUnreachable))
	time.Sleep(20 * time.Millisecond)
	is.Equal(requests.Load(), int64(0))
}
