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
	"syscall"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/daemon/recvbuf"
	"woodworks/internal/requests/http1"
)

const (
	readBufferBytes = 4 << 10
	// maxForeignAnswers is how many answers to earlier requests readHead skips at most, and
	// maxForeignBytes bounds each of their bodies.
	maxForeignAnswers = 2
	maxForeignBytes   = 1 << 20
	// maxErrorBytes bounds the text of an error about bytes that a peer has chosen.
	maxErrorBytes = 200
	// maxInformational is how many 1xx answers readHead skips at most.
	maxInformational = 4
)

// connection is a connection to a peer. At most one request at a time uses it.
type connection struct {
	pool    *Pool
	address netip.AddrPort
	raw     net.Conn
	// source is what reader reads from.
	source *source
	reader *bufio.Reader
	// carried holds the ids of the requests that were sent on the connection.
	carried carriedIDs
	// reusableUntil is the time until which any request may reuse the connection. A Repeatable
	// request may do so until repeatableUntil, which is never earlier.
	reusableUntil, repeatableUntil time.Time
	closeOnce                      sync.Once
	// bodyWritten is closed once the request's body has been written. It is nil if the body was
	// written together with the head.
	bodyWritten chan struct{}
	// writeErr says why the request's body could not be written whole. It may be read once bodyWritten is
	// closed.
	writeErr error
	// tainted means that an answer to an earlier request, or one without an id, was received:
	// answers may be out of step with requests, so the connection is not reused.
	tainted bool
	// afterChange means that the last request was SharedAfterReads.
	afterChange bool
}

func newConnection(p *Pool, address netip.AddrPort, raw net.Conn) *connection {
	from := &source{Reader: raw}
	return &connection{pool: p, address: address, raw: raw, source: from, reader: bufio.NewReaderSize(from, readBufferBytes)}
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		_ = c.raw.Close() // errors that matter were returned by Read or exchange
		c.pool.countClosed(c.address)
	})
}

// usable reports whether an idle connection may be used for a request at the given time.
func (c *connection) usable(now time.Time, repeatable bool) bool {
	if repeatable {
		return now.Before(c.repeatableUntil)
	}
	return now.Before(c.reusableUntil)
}

// mayCarry reports whether a late copy of an answer on the connection would not be taken for the answer
// to the request.
func (c *connection) mayCarry(req *Request) bool {
	if c.afterChange && req.Sharing == SharedAfterReads {
		return false
	}
	return !c.carried.has(idHash(req))
}

// isClean reports whether an idle connection is open and has no unread bytes. Unread bytes would
// be taken for the answer to the next request.
func (c *connection) isClean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if _, ok := c.raw.(syscall.Conn); !ok {
		return true
	}
	return recvbuf.Look(c.raw) == recvbuf.Empty
}

// exchange sends a request and returns the answer as soon as its head has been read. On an error
// the connection is closed; it is also closed if ctx ends before Answer.Close is called.
func (c *connection) exchange(ctx context.Context, req *Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, c.close)
	response, err := c.roundTrip(req)
	if err != nil {
		stop()
		c.close()
		return nil, err
	}
	return &Answer{Status: response.Status, Header: response.Header, response: response, conn: c, stop: stop}, nil
}

func (c *connection) roundTrip(req *Request) (*http1.Response, error) {
	if err := c.send(req); err != nil {
		return nil, err
	}
	return c.readHead(req)
}

// send writes the request. A long body is written in the background while the answer is read.
func (c *connection) send(req *Request) error {
	text := appendHead(nil, req)
	long := len(req.Body) > inlineBodyBytes
	if !long {
		text = append(text, req.Body...)
	}
	c.carried.add(idHash(req))
	c.afterChange = req.Sharing == SharedAfterReads
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

// writeBody writes a long body in the background, as a peer may send its answer before it has
// read the whole body.
func (c *connection) writeBody(body []byte) {
	done := make(chan struct{})
	c.bodyWritten = done
	go func() {
		defer close(done)
		_, c.writeErr = c.raw.Write(body)
	}()
}

// readHead reads the head of the answer to req. It skips 1xx answers and late answers to earlier
// requests. Its errors wrap ErrNoAnswer or are ErrForeignAnswer.
func (c *connection) readHead(req *Request) (*http1.Response, error) {
	informational := 0
	for foreign := 0; ; {
		response, err := http1.ReadResponse(c.reader, req.Method)
		if err != nil {
			return nil, c.noAnswer(err)
		}
		if response.Status < http.StatusOK {
			informational++
			if informational > maxInformational || response.Status == http.StatusSwitchingProtocols {
				return nil, errors.Wrap(ErrMalformed, "unexpected status "+strconv.Itoa(response.Status))
			}
			continue
		}
		switch c.ownerOf(response, req) {
		case ownerRequest:
			return response, nil
		case ownerUnknown:
			return nil, ErrForeignAnswer
		}
		foreign++
		c.tainted = true
		if foreign > maxForeignAnswers || !c.skipBody(response) {
			return nil, ErrForeignAnswer
		}
	}
}

// owner says to which request an answer belongs.
type owner int

const (
	ownerRequest owner = iota
	ownerEarlier
	ownerUnknown
)

// ownerOf returns to which request an answer belongs. An answer without an id belongs to req only if
// no other request has used the connection.
func (c *connection) ownerOf(response *http1.Response, req *Request) owner {
	if req.EchoHeader == "" {
		return ownerRequest
	}
	switch response.Header.Get(req.EchoHeader) {
	case req.EchoValue:
		return ownerRequest
	case "":
		first := c.carried.count == 1 && !c.tainted
		c.tainted = true
		if first {
			return ownerRequest
		}
		return ownerUnknown
	default:
		return ownerEarlier
	}
}

// skipBody reads the body of an answer to an earlier request, and reports whether another answer may
// follow.
func (c *connection) skipBody(response *http1.Response) bool {
	body := io.LimitReader(response.Body, maxForeignBytes+1)
	skipped, err := io.Copy(io.Discard, body)
	return err == nil && skipped <= maxForeignBytes && !response.Close
}

// noAnswer returns the error for a failed read of an answer: ErrMalformed if the connection itself
// did not fail.
func (c *connection) noAnswer(err error) error {
	text := err.Error()
	text = text[:min(len(text), maxErrorBytes)]
	if c.source.err == nil {
		return errors.Wrap(ErrMalformed, text)
	}
	return errors.Wrap(ErrNoAnswer, text)
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
