package upstream

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/requests/http1"
)

// maxDiscardBytes and maxDiscardTime bound what Answer.Discard reads to keep a connection.
const (
	maxDiscardBytes = 64 << 10
	maxDiscardTime  = 20 * time.Millisecond
)

// Answer is the answer to a request. Its body is read with Read, and Close must be called.
// Except for Abort, its methods must not be called concurrently.
type Answer struct {
	Status   int
	Header   http.Header
	response *http1.Response
	conn     *connection
	stop     func() bool
	// bodyEndAt is the time by the pool's clock at which Read reached the end of the body. It is
	// zero until then.
	bodyEndAt time.Time
	failed    bool
}

// Read reads the next part of the answer's body into buf. Any error except io.EOF means that the
// body is incomplete, and wraps ErrNoAnswer.
func (a *Answer) Read(buf []byte) (int, error) {
	count, err := a.response.Body.Read(buf)
	switch {
	case err == io.EOF && a.response.Body.UntilClose() && !a.conn.peerClosed():
		a.failed = true
		return count, errors.Wrap(ErrNoAnswer, "connection reset")
	case err == io.EOF:
		if a.bodyEndAt.IsZero() {
			a.bodyEndAt = a.conn.pool.now()
		}
	case err != nil:
		a.failed = true
		err = a.conn.noAnswer(err)
	}
	return count, err
}

// ReadWhole reads the whole body of a short answer. The error wraps ErrNoAnswer if the body is incomplete or
// longer than limit; the bytes that are returned with it are only part of the body.
func (a *Answer) ReadWhole(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err == nil && int64(len(body)) > limit {
		return body[:limit], errors.Wrapf(ErrMalformed, "body of more than %d bytes", limit)
	}
	return body, err
}

// Length returns the length of the body in bytes, or -1 if the peer has not announced it.
func (a *Answer) Length() int64 { return a.response.Body.Length() }

// Discard reads the rest of a short body, so that Close keeps the connection, and closes the answer.
// If the body does not end soon, the connection is closed instead.
func (a *Answer) Discard() {
	timer := time.AfterFunc(maxDiscardTime, a.Abort)
	// Close finds out whether the body has ended.
	_, _ = io.Copy(io.Discard, io.LimitReader(a, maxDiscardBytes))
	if !timer.Stop() {
		// Abort has closed the connection or is about to: it must not get another request.
		a.failed = true
	}
	a.Close()
}

// Abort closes the connection of the exchange, so that a concurrent Read fails. Abort may be
// called at any time, from any goroutine. Close must still be called.
func (a *Answer) Abort() { a.conn.close() }

// Close ends the exchange. The connection is returned to the pool if the body was read to its
// end and the connection is fit for another request; otherwise the connection is closed. The
// idle timeout of a returned connection counts from the end of the body, as it does at the peer,
// however late Close is called.
func (a *Answer) Close() {
	active := a.stop()
	if !active || a.bodyEndAt.IsZero() || !a.reusable() {
		a.conn.close()
		return
	}
	forAny, forRepeatable := idleTimeouts(a.Header)
	if forRepeatable <= 0 {
		a.conn.close()
		return
	}
	a.conn.pool.put(a.conn, a.bodyEndAt.Add(forAny), a.bodyEndAt.Add(forRepeatable))
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
	return !a.failed && !a.response.Close && !conn.tainted && conn.writeErr == nil && conn.reader.Buffered() == 0
}
