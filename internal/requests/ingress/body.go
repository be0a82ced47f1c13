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

// errNoRoom: the daemon holds as much for its clients as it may.
var errNoRoom = errors.New("ingress: the daemon holds as much for clients as it may")

const (
	// baseBytes is what a request costs beside its body and its answer: the buffers of its
	// connections, its head and the stacks of its goroutines.
	baseBytes = 16 << 10
	// defaultBody is the longest body, in bytes, if the configuration names no bound.
	defaultBody = 32 << 20
	// bodyGrace is how long beyond its request's time a body that stalls is awaited: a
	// body that is whole by then has long been read, so that its connection's watch for
	// the client's leaving does not meet the bound. A route's time is held to be kept
	// within a quarter of a second.
	bodyGrace = 200 * time.Millisecond
	// roomWait is how long what comes stays with its sender while there is no room, and
	// roomPause the time between two looks. Answers that are read meanwhile make room; a
	// client that is told to come back after longer has lost that time for nothing.
	roomWait  = 300 * time.Millisecond
	roomPause = 10 * time.Millisecond
)

// beginHolding counts the request, or turns it away if there is no room.
func (r *request) beginHolding() bool {
	account, ok := r.handler.Holding.OpenAccount(baseBytes)
	if !ok {
		r.w.Header().Set("Connection", "close")
		r.refuse(refusal.MemoryLimitReached, errNoRoom.Error())
		return false
	}
	r.account = account
	return true
}

// endHolding ends the account of the request once its answer is with the client's system.
func (r *request) endHolding() {
	r.account.ReleaseAll()
	// What the server still has is written after this, and may be a few KiB.
	r.setWriteDeadline(r.handler.Unread)
}

// readBody reads the whole body, or answers why it could not. The body has the time of its
// request: one that stalls is not held for as long as its client likes.
func (r *request) readBody(limit int64) ([]byte, bool) {
	if limit <= 0 {
		limit = defaultBody
	}
	late := time.AfterFunc(max(r.timeLeft(), 0)+bodyGrace, func() { r.setReadDeadline(time.Now()) })
	defer func() {
		if !late.Stop() {
			r.setReadDeadline(time.Time{})
		}
	}()
	body, err := r.takeBody(http.MaxBytesReader(r.w, r.req.Body, limit), limit)
	if err != nil {
		r.refuseBody(err)
		return nil, false
	}
	return body, true
}

// refuseBody answers a request whose body was not read whole. Where more of it may come, its
// connection ends: the rest of a body is no request.
func (r *request) refuseBody(err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		r.refuse(refusal.BodyTooLarge, "the body is longer than the limit")
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.w.Header().Set("Connection", "close")
		r.refuse(refusal.BodyTimeout, "the body did not come in time")
	case errors.Is(err, errNoRoom):
		r.w.Header().Set("Connection", "close")
		r.refuse(refusal.MemoryLimitReached, err.Error())
	default:
		r.refuse(refusal.BodyIncomplete, "the body could not be read")
	}
}

// takeBody reads a body of known bounds into memory that is counted as it comes.
func (r *request) takeBody(body io.Reader, limit int64) ([]byte, error) {
	announced := r.req.ContentLength
	if announced > limit {
		// It is read to the bound, as the client must have sent that to hear of it.
		_, err := io.Copy(io.Discard, body)
		return nil, err
	}
	if !r.handler.Holding.CanEverFit(holding.Bodies, announced) {
		return nil, errors.Wrap(errNoRoom, "a body of that length")
	}
	read, whole, err := r.account.Read(holding.Bodies, body, announced, limit+1, func(n int64) bool { return r.awaitRoom(holding.Bodies, n) })
	if err == nil && !whole {
		err = errNoRoom
	}
	return read, err
}

// awaitRoom waits for a short while until there is room for n bytes more; what comes
// meanwhile stays with its sender.
func (r *request) awaitRoom(share holding.Category, n int64) bool {
	for waited := time.Duration(0); !r.account.Reserve(share, n); waited += roomPause {
		if waited >= roomWait || r.req.Context().Err() != nil {
			return false
		}
		time.Sleep(roomPause)
	}
	return true
}

// setReadDeadline bounds reads of the client's connection, which must be without bound again
// once the body is read: the server watches it for the client's leaving.
func (r *request) setReadDeadline(until time.Time) {
	if err := http.NewResponseController(r.w).SetReadDeadline(until); err != nil {
		r.logger.Debug("reads of the client's connection are not bounded", zap.Error(err))
	}
}
