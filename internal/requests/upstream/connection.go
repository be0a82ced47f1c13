package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/daemon/recvbuf"
)

const (
	readBufferBytes = 4 << 10
	// maxForeignAnswers is how many answers to earlier requests are passed over.
	maxForeignAnswers = 2
	// maxInformational is how many 1xx answers are passed over.
	maxInformational = 4
)

// connection is one connection to a peer; one request is under way on it at
// most.
type connection struct {
	pool    *Pool
	address string
	raw     net.Conn
	reader  *bufio.Reader
	// sureUntil is until when it may rest for any request, restUntil for one that may be
	// repeated.
	sureUntil, restUntil time.Time
	closeOnce            sync.Once
	// writing is closed when the request's body has been written; nil if the
	// whole request was written before the answer was awaited.
	writing  chan struct{}
	writeErr atomic.Bool
	tainted  bool
}

func newConnection(pool *Pool, address string, raw net.Conn) *connection {
	return &connection{pool: pool, address: address, raw: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}
}

func (conn *connection) close() {
	conn.closeOnce.Do(func() {
		_ = conn.raw.Close()
		conn.pool.closed(conn.address)
	})
}

// usable reports whether a resting connection has not rested too long for a request.
func (conn *connection) usable(now time.Time, repeatable bool) bool {
	if repeatable {
		return now.Before(conn.restUntil)
	}
	return now.Before(conn.sureUntil)
}

// quiet reports whether a resting connection is open and has no bytes to read:
// bytes there belong to no request of ours.
func (conn *connection) quiet() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	if _, ok := conn.raw.(syscall.Conn); !ok {
		return true
	}
	return recvbuf.Look(conn.raw) == recvbuf.Empty
}

func (conn *connection) exchange(ctx context.Context, request *Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, conn.close)
	fail := func(err error) (*Answer, error) {
		stop()
		conn.close()
		return nil, err
	}
	head := appendHead(nil, request)
	if request.Sending != nil {
		request.Sending()
	}
	if len(request.Body) <= inlineBodyBytes {
		written, err := conn.raw.Write(append(head, request.Body...))
		if err != nil && written == 0 {
			return fail(errors.Wrap(ErrNotSent, err.Error()))
		}
		if err != nil {
			return fail(errors.Wrap(ErrNoAnswer, err.Error()))
		}
	} else {
		written, err := conn.raw.Write(head)
		if err != nil && written == 0 {
			return fail(errors.Wrap(ErrNotSent, err.Error()))
		}
		conn.writeBody(request.Body)
	}
	response, err := conn.readHead(request)
	if err != nil {
		return fail(err)
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, response: response, conn: conn, stop: stop}, nil
}

// writeBody writes a long body while the answer is awaited, as a peer may
// answer before it has read all.
func (conn *connection) writeBody(body []byte) {
	done := make(chan struct{})
	conn.writing = done
	go func() {
		defer close(done)
		if _, err := conn.raw.Write(body); err != nil {
			conn.writeErr.Store(true)
		}
	}()
}

// readHead reads the head of the answer, passing over answers that are late
// and belong to earlier requests.
func (conn *connection) readHead(request *Request) (*http.Response, error) {
	asked := &http.Request{Method: request.Method}
	informational := 0
	for foreign := 0; ; {
		response, err := http.ReadResponse(conn.reader, asked)
		if err != nil {
			return nil, errors.Wrap(ErrNoAnswer, err.Error())
		}
		if response.StatusCode < http.StatusOK {
			informational++
			if informational > maxInformational || response.StatusCode == http.StatusSwitchingProtocols {
				return nil, errors.Wrap(ErrNoAnswer, "unexpected status "+strconv.Itoa(response.StatusCode))
			}
			continue
		}
		echoed := response.Header.Get(request.EchoName)
		if request.EchoName == "" || echoed == "" || echoed == request.EchoValue {
			return response, nil
		}
		foreign++
		conn.tainted = true
		if foreign > maxForeignAnswers {
			return nil, ErrForeignAnswer
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return nil, ErrForeignAnswer
		}
	}
}

func appendHead(buffer []byte, request *Request) []byte {
	buffer = append(buffer, request.Method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, request.Target...)
	buffer = append(buffer, " HTTP/1.1\r\nHost: "...)
	buffer = append(buffer, request.Host...)
	buffer = append(buffer, "\r\n"...)
	for name, values := range request.Header {
		for _, value := range values {
			buffer = append(buffer, name...)
			buffer = append(buffer, ": "...)
			buffer = append(buffer, value...)
			buffer = append(buffer, "\r\n"...)
		}
	}
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		buffer = append(buffer, "Content-Length: "...)
		buffer = strconv.AppendInt(buffer, int64(len(request.Body)), 10)
		buffer = append(buffer, "\r\n"...)
	}
	return append(buffer, "\r\n"...)
}

// Answer is the answer to a request, its body still to be read.
type Answer struct {
	Status   int
	Header   http.Header
	response *http.Response
	conn     *connection
	stop     func() bool
	// wholeAt is when the body was read to its end, or zero.
	wholeAt time.Time
	failed  bool
}

// Read reads the body. Any error but io.EOF means that the body is not whole.
func (answer *Answer) Read(buffer []byte) (int, error) {
	count, err := answer.response.Body.Read(buffer)
	switch {
	case err == io.EOF:
		if answer.wholeAt.IsZero() {
			answer.wholeAt = answer.conn.pool.now()
		}
	case err != nil:
		answer.failed = true
		err = errors.Wrap(ErrNoAnswer, err.Error())
	}
	return count, err
}

// Length is the body's length in bytes, or -1 if it is not known beforehand.
func (answer *Answer) Length() int64 { return answer.response.ContentLength }

// Cut ends the exchange's connection, so that a Read under way fails. Unlike all else it
// may be called at any time; Close must follow.
func (answer *Answer) Cut() { answer.conn.close() }

// Close ends the exchange. The connection is kept if the body was read to its
// end and nothing speaks against another request on it. It rests from that end on, as
// for the peer, however late Close comes.
func (answer *Answer) Close() {
	live := answer.stop()
	if !live || answer.wholeAt.IsZero() || !answer.reusable() {
		answer.conn.close()
		return
	}
	sure, rest := restOf(answer.Header)
	if rest <= 0 {
		answer.conn.close()
		return
	}
	answer.conn.pool.put(answer.conn, answer.wholeAt.Add(sure), answer.wholeAt.Add(rest))
}

func (answer *Answer) reusable() bool {
	conn := answer.conn
	if conn.writing != nil {
		select {
		case <-conn.writing:
			conn.writing = nil
		default:
			return false
		}
	}
	return !answer.failed && !answer.response.Close && !conn.tainted && !conn.writeErr.Load() && conn.reader.Buffered() == 0
}
