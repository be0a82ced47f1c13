package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// answerFrom returns what a request gets from a peer that sends the given bytes and closes.
func answerFrom(t *testing.T, sent string) (status int, body string, err error) {
	t.Helper()
	near, far := net.Pipe()
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			_, _ = io.WriteString(far, sent) // The reader closes as soon as it knows enough.
		}
		_ = far.Close() // nothing reads it any more
	}()
	answer, err := newConnection(newTestPool(), peerAddress, near).exchange(t.Context(), newRequest("a"))
	if err != nil {
		return 0, "", err
	}
	defer answer.Close()
	content, err := io.ReadAll(answer)
	return answer.Status, string(content), err
}

// Guards against a status that is none, such as 000, being passed on, or skipped as informational so that
// the answer's own body is read as the next answer.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwrong"
	for _, status := range []string{"000", "001", "020", "099", "+99", "-00", "600", "700", "999"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			for _, body := range []string{"", "body", inner} {
				_, _, err := answerFrom(t, "HTTP/1.1 "+status+" OK\r\nX-Id: a\r\n\r\n"+body)
				is.True(errors.Is(err, ErrMalformed))
			}
		})
	}
}

// Guards against a head with a field that the grammar does not allow being passed on, without the line or
// with a body that ends elsewhere than the peer's: at the end of the connection, or with its chunks in it.
func TestFieldThatIsNoneIsNoAnswer(t *testing.T) {
	for name, fields := range map[string]string{
		"blank before colon":    "X-A : b\r\nContent-Length: 4\r\n",
		"tab before colon":      "X-A\t: b\r\nContent-Length: 4\r\n",
		"blank in name":         "X A: b\r\nContent-Length: 4\r\n",
		"blank in length":       "Content-Length : 4\r\n",
		"blank in coding":       "Transfer-Encoding : chunked\r\n",
		"control byte in name":  "X-\x01A: b\r\nContent-Length: 4\r\n",
		"control byte in value": "X-A: \x01b\r\nContent-Length: 4\r\n",
		"line feed in name":     "X\nContent-Length: 4\r\n",
		"line feed in value":    "X-A: b\nContent-Length: 4\r\n",
		"folded":                "X-A: b\r\n Content-Length: 4\r\n",
		"chunks and length":     "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := answerFrom(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\n"+fields+"\r\n4\r\nbody\r\n0\r\n\r\n")
			is.True(errors.Is(err, ErrMalformed))
		})
	}
	for name, sent := range map[string]string{
		"blank in informational": "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + answerText("a", "body"),
		"blank in late answer":   "HTTP/1.1 200 OK\r\nX-Id: earlier\r\nContent-Length : 4\r\n\r\n" + answerText("a", "body"),
		"blank in trailer":       "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX A: b\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := answerFrom(t, sent)
			is.True(errors.Is(err, ErrMalformed))
		})
	}
}

// A head that stops anywhere is no answer, whether the peer closes or resets the connection, and whether the
// head is the answer's own, a 1xx head before it, or that of a late answer to another request.
func TestHeadThatStopsIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Sum: 1\r\nContent-Length: 0\r\n\r\n"
	for name, before := range map[string]string{
		"answer":        "",
		"informational": "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
		"late answer":   "HTTP/1.1 200 OK\r\nX-Id: earlier\r\nContent-Length: 2\r\n\r\nno",
		"late chunks":   "HTTP/1.1 200 OK\r\nX-Id: earlier\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nX-Sum: 1\r\n\r\n",
	} {
		for ending, end := range map[string]func(*net.TCPConn){"closed": func(*net.TCPConn) {}, "reset": reset} {
			t.Run(name+" "+ending, func(t *testing.T) {
				is := is.New(t)
				text := before + head
				p := newTestPool()
				for cut := range len(text) {
					address := startPeer(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
						if _, ok := readRequest(reader); ok {
							_, _ = io.WriteString(conn, text[:cut])
							end(conn.(*net.TCPConn))
						}
					})
					_, err := exchangeBody(p, address, "a")
					is.True(errors.Is(err, ErrNoAnswer) || errors.Is(err, ErrForeignAnswer))
				}
			})
		}
	}
}
