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
