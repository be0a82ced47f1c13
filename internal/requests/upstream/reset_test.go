package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"woodworks/internal/requests/eventstream"
)

const (
	// uploadBytes is more than the buffers of a loopback connection take.
	uploadBytes = 12 << 20
	// earlyTries is how often a peer answers early, so that either side is the first to meet a reset.
	earlyTries = 40
	earlyEvent = "id: 1\ndata: x\n\n"
)

// startEarlyPeer starts a peer that reads the head of a request, answers with one event and without a
// length, and then ends the connection.
func startEarlyPeer(t *testing.T, end func(conn *net.TCPConn)) netip.AddrPort {
	t.Helper()
	return startPeer(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+req.Header.Get("X-Id")+"\r\n\r\n"+earlyEvent)
		end(conn.(*net.TCPConn))
	})
}

// exchangeUpload sends a long request and reads its answer once pause has passed.
func exchangeUpload(t *testing.T, address netip.AddrPort, pause time.Duration, read func(*Answer) error) error {
	t.Helper()
	req := newRequest("a")
	req.Body = make([]byte, uploadBytes)
	answer, err := newTestPool().Exchange(t.Context(), address, req)
	if err != nil {
		return err
	}
	defer answer.Close()
	time.Sleep(pause)
	return read(answer)
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// Guards against an answer that ends with its connection being taken for whole when the connection is
// reset while the request is still being written: the write may get the reset, and the read an end.
func TestAnswerResetAmidUploadIsIncomplete(t *testing.T) {
	for name, read := range map[string]func(*Answer) error{
		"body": func(answer *Answer) error {
			_, err := io.Copy(io.Discard, answer)
			return err
		},
		"stream": func(answer *Answer) error {
			events := eventstream.NewReader(answer, "")
			for {
				if _, err := events.Next(); err == io.EOF {
					return nil
				} else if err != nil {
					return err
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			whole := 0
			for try := range earlyTries {
				address := startEarlyPeer(t, func(conn *net.TCPConn) {
					time.Sleep(time.Duration(try%8) * time.Millisecond)
					reset(conn)
				})
				err := exchangeUpload(t, address, time.Duration(try%5)*2*time.Millisecond, read)
				if err == nil {
					whole++
				} else {
					is.True(errors.Is(err, ErrNoAnswer))
				}
			}
			is.Equal(whole, 0)
		})
	}
}

// A peer that has read enough answers early and closes: its answer is whole, whether it goes on to read,
// reads nothing more, or resets the connection once it has closed it.
func TestEarlyAnswerThatEndsInOrderIsWhole(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){
		"reads on": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		},
		"reads nothing": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(50 * time.Millisecond)
		},
		"resets later": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(2 * time.Millisecond)
			reset(conn)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for try := range earlyTries {
				err := exchangeUpload(t, startEarlyPeer(t, end), time.Duration(try%5)*2*time.Millisecond, func(answer *Answer) error {
					body, err := io.ReadAll(answer)
					is.Equal(string(body), earlyEvent)
					return err
				})
				is.NoErr(err)
			}
		})
	}
}
