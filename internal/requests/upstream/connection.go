package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
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
	address netip.AddrPort
	raw     net.Conn
	reader  *bufio.Reader
	// reusableUntil is until when it may rest for any request, repeatableUntil for one that may be
	// repeated.
	reusableUntil, repeatableUntil time.Time
	closeOnce                      sync.Once
	// bodyWritten is closed when the request's body has been written; nil if the
	// whole request was written before the answer was awaited.
	bodyWritten chan struct{}
	writeErr    atomic.Bool
	tainted     bool
}

func newConnection(p *Pool, address netip.AddrPort, raw net.Conn) *connection {
	return &connection{pool: p, address: address, raw: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		_ = c.raw.Close() // all that was promised of it stands in the answer
		c.pool.countClosed(c.address)
	})
}

// usable reports whether a resting connection has not rested too long for a request.
func (c *connection) usable(now time.Time, repeatable bool) bool {
	if repeatable {
		return now.Before(c.repeatableUntil)
	}
	return now.Before(c.reusableUntil)
}

// isClean reports whether a resting connection is open and has no bytes to read:
// bytes there belong to no request of ours.
func (c *connection) isClean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if _, ok := c.raw.(syscall.Conn); !ok {
		return true
	}
	return recvbuf.Look(c.raw) == recvbuf.Empty
}

// exchange sends a request and returns its answer once the head is there.
func (c *connection) exchange(ctx context.Context, req *Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, c.close)
	response, err := c.roundTrip(req)
	if err != nil {
		stop()
		c.close()
		return nil, err
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, response: response, conn: c, stop: stop}, nil
}

func (c *connection) roundTrip(req *Request) (*http.Response, error) {
	if err := c.send(req); err != nil {
		return nil, err
	}
	return c.readHead(req)
}

// send writes the request; a long body goes on being written while the answer is awaited.
func (c *connection) send(req *Request) error {
	text := appendHead(nil, req)
	long := len(req.Body) > inlineBodyBytes
	if !long {
		text = append(text, req.Body...)
	}
	req.SentAt = c.pool.now()
	written, err := c.raw.Write(text)
	switch {
	case err != nil && written == 0:
		return errors.Wrap(ErrNotSent, err.Error())
	case err != nil && !long:
		return errors.Wrap(ErrNoAnswer, err.Error())
	case long:
		c.writeBody(req.Body)
	}
	return nil
}

// writeBody writes a long body while the answer is awaited, as a peer may
// answer before it has read all.
func (c *connection) writeBody(body []byte) {
	done := make(chan struct{})
	c.bodyWritten = done
	go func() {
		defer close(done)
		if _, err := c.raw.Write(body); err != nil {
			c.writeErr.Store(true)
		}
	}()
}

// readHead reads the head of the answer, passing over answers that are late
// and belong to earlier requests.
func (c *connection) readHead(req *Request) (*http.Response, error) {
	sent := &http.Request{Method: req.Method}
	informational := 0
	for foreign := 0; ; {
		response, err := http.ReadResponse(c.reader, sent)
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
		echoed := response.Header.Get(req.EchoHeader)
		if req.EchoHeader == "" || echoed == "" || echoed == req.EchoValue {
			return response, nil
		}
		foreign++
		c.tainted = true
		if foreign > maxForeignAnswers {
			return nil, ErrForeignAnswer
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return nil, ErrForeignAnswer
		}
	}
}

func appendHead(buf []byte, req *Request) []byte {
	buf = append(buf, req.Method...)
	buf = append(buf, ' ')
	buf = append(buf, req.Target...)
	buf = append(buf, " HTTP/1.1\r\nHost: "...)
	buf = append(buf, req.Host...)
	buf = append(buf, "\r\n"...)
	for name, values := range req.Header {
		for _, value := range values {
			buf = append(buf, name...)
			buf = append(buf, ": "...)
			buf = append(buf, value...)
			buf = append(buf, "\r\n"...)
		}
	}
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut {
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, int64(len(req.Body)), 10)
		buf = append(buf, "\r\n"...)
	}
	return append(buf, "\r\n"...)
}

// Answer is the answer to a request, its body still to be read.
type Answer struct {
	Status   int
	Header   http.Header
	response *http.Response
	conn     *connection
	stop     func() bool
	// bodyEndAt is when the body was read to its end, or zero.
	bodyEndAt time.Time
	failed    bool
}

// Read reads the body. Any error but io.EOF means that the body is not whole.
func (a *Answer) Read(buf []byte) (int, error) {
	count, err := a.response.Body.Read(buf)
	switch {
	case err == io.EOF:
		if a.bodyEndAt.IsZero() {
			a.bodyEndAt = a.conn.pool.now()
		}
	case err != nil:
		a.failed = true
		err = errors.Wrap(ErrNoAnswer, err.Error())
	}
	return count, err
}

// Length is the body's length in bytes, or -1 if it is not known beforehand.
func (a *Answer) Length() int64 { return a.response.ContentLength }

// Abort ends the exchange's connection, so that a Read under way fails. Unlike all else it
// may be called at any time; Close must follow.
func (a *Answer) Abort() { a.conn.close() }

// Close ends the exchange. The connection is kept if the body was read to its
// end and nothing speaks against another request on it. It rests from that end on, as
// for the peer, however late Close comes.
func (a *Answer) Close() {
	live := a.stop()
	if !live || a.bodyEndAt.IsZero() || !a.reusable() {
		a.conn.close()
		return
	}
	sure, rest := idleTimeouts(a.Header)
	if rest <= 0 {
		a.conn.close()
		return
	}
	a.conn.pool.put(a.conn, a.bodyEndAt.Add(sure), a.bodyEndAt.Add(rest))
}

func (a *Answer) reusable() bool {
	conn := a.conn
	if conn.bodyWritten != nil {
		select {
		case <-conn.bodyWritten:
			conn.bodyWritten = nil
		default:
			return false
		}
	}
	return !a.failed && !a.response.Close && !conn.tainted && !conn.writeErr.Load() && conn.reader.Buffered() == 0
}
