package ingress

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/requests/holding"
	"woodworks/internal/requests/refusal"
)

// errNoMemory means that the daemon's memory budget for clients is exhausted.
var errNoMemory = errors.New("ingress: the daemon holds as much for clients as it may")

const (
	// requestOverheadBytes is the memory that a request costs apart from its body and its answer:
	// connection buffers, head and goroutine stacks.
	requestOverheadBytes = 16 << 10
	// defaultMaxBodyBytes is the longest accepted body if the configuration sets no limit.
	defaultMaxBodyBytes = 32 << 20
	// bodyTimeoutGrace is added to the request's timeout when its body is read. Once the body
	// has been read whole, the server starts a background read that detects a closed client
	// connection; the grace keeps the body's read deadline from interrupting that read. The
	// grace must be below 250 ms, as a request must end within 250 ms of its route's timeout.
	bodyTimeoutGrace = 200 * time.Millisecond
	// maxMemoryWait is how long a request waits for free memory before it is refused. During the
	// wait the memory budget is polled every memoryPollInterval.
	maxMemoryWait      = 300 * time.Millisecond
	memoryPollInterval = 10 * time.Millisecond
)

// reserveMemory opens the request's account in the memory budget. It refuses the request and
// returns false if the budget has no memory for it.
func (r *request) reserveMemory() bool {
	account, ok := r.handler.MemoryBudget.OpenAccount(requestOverheadBytes)
	if !ok {
		r.w.Header().Set("Connection", "close")
		r.refuse(refusal.MemoryLimitReached, errNoMemory.Error())
		return false
	}
	r.account = account
	return true
}

// releaseMemory closes the request's account. It must be called after the answer has been
// written.
func (r *request) releaseMemory() {
	r.account.ReleaseAll()
	// The server flushes the last few KiB of the answer after the handler returns.
	r.setWriteDeadline(r.handler.WriteTimeout)
}

// readBody reads the whole body, or refuses the request and returns false. A limit of 0 means
// defaultMaxBodyBytes. Reading is bounded by the request's timeout, so that a stalled client
// does not occupy memory indefinitely.
func (r *request) readBody(limit int64) ([]byte, bool) {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	timer := time.AfterFunc(max(r.timeLeft(), 0)+bodyTimeoutGrace, func() { r.setReadDeadline(time.Now()) })
	defer func() {
		if !timer.Stop() {
			r.setReadDeadline(time.Time{})
		}
	}()
	body, err := r.bufferBody(http.MaxBytesReader(r.w, r.req.Body, limit), limit)
	if err != nil {
		r.refuseBody(err)
		return nil, false
	}
	return body, true
}

// refuseBody answers a request whose body was not read whole. If more of the body may follow,
// the connection is closed, as the rest must not be parsed as the next request.
func (r *request) refuseBody(err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		r.refuse(refusal.BodyTooLarge, "the body is longer than the limit")
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.w.Header().Set("Connection", "close")
		r.refuse(refusal.BodyTimeout, "the body did not come in time")
	case errors.Is(err, errNoMemory):
		r.w.Header().Set("Connection", "close")
		r.refuse(refusal.MemoryLimitReached, err.Error())
	default:
		r.refuse(refusal.BodyIncomplete, "the body could not be read")
	}
}

// bufferBody reads a body of at most limit bytes into memory. The memory is counted in the
// request's account as the body is read. The error is errNoMemory if the memory is not
// available.
func (r *request) bufferBody(body io.Reader, limit int64) ([]byte, error) {
	contentLength := r.req.ContentLength
	if contentLength > limit {
		// Read the body up to the limit before it is refused: the client may not read an answer
		// before it has sent that much.
		_, err := io.Copy(io.Discard, body)
		return nil, err
	}
	if !r.handler.MemoryBudget.CanEverFit(holding.Bodies, contentLength) {
		return nil, errors.Wrap(errNoMemory, "a body of that length")
	}
	read, whole, err := r.account.Read(holding.Bodies, body, contentLength, limit+1, func(n int64) bool { return r.waitForMemory(holding.Bodies, n) })
	if err == nil && !whole {
		err = errNoMemory
	}
	return read, err
}

// waitForMemory counts n more bytes in the request's account, and waits up to maxMemoryWait
// until that much memory is free. It reports whether the bytes were counted. The caller reads
// nothing from the connection during the wait.
func (r *request) waitForMemory(share holding.Category, n int64) bool {
	for waited := time.Duration(0); !r.account.Reserve(share, n); waited += memoryPollInterval {
		if waited >= maxMemoryWait || r.req.Context().Err() != nil {
			return false
		}
		time.Sleep(memoryPollInterval)
	}
	return true
}

// setReadDeadline sets the deadline for reads of the client's connection. The deadline must be
// cleared by a zero time once the body is read, as the server keeps reading to detect a closed
// connection.
func (r *request) setReadDeadline(until time.Time) {
	if err := http.NewResponseController(r.w).SetReadDeadline(until); err != nil {
		r.logger.Debug("read deadline of the client's connection not set", zap.Error(err))
	}
}
