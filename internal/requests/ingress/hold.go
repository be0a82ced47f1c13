package ingress

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/requests/holding"
)

// errNoRoom: the daemon holds as much for its clients as it may.
var errNoRoom = errors.New("ingress: the daemon holds as much for clients as it may")

const (
	// baseBytes is what a request costs beside its body and its answer: the buffers of its
	// connections, its head and the stacks of its goroutines.
	baseBytes = 16 << 10
	// defaultUnread is how long what is written may stay unread: with some seconds a
	// client that was paused, or whose network lost some packets, is not cut off.
	defaultUnread = 5 * time.Second
	// pieceBytes is how much of a page must be read within that time: a client's system
	// has room for several pieces, and takes none if it has none.
	pieceBytes = 16 << 10
	// roomWait is how long what comes stays with its sender while there is no room, and
	// roomPause the time between two looks. Answers that are read meanwhile make room; a
	// client that is told to come back after longer has lost that time for nothing.
	roomWait  = 300 * time.Millisecond
	roomPause = 10 * time.Millisecond
	// noRoomRetryAfter is when a client may come back that was turned away for want of
	// room: those that read at all have read much by then.
	noRoomRetryAfter = time.Second
)

// beginHolding counts the request, or turns it away if there is no room.
func (r *request) beginHolding() bool {
	account, ok := r.handler.Holding.Begin(baseBytes)
	if !ok {
		r.w.Header().Set("Connection", "close")
		r.refuse(errNoRoom.Error(), noRoomRetryAfter)
		return false
	}
	r.account = account
	return true
}

// endHolding ends the account of the request once its answer is with the client's system.
func (r *request) endHolding() {
	r.account.End()
	// What the server still has is written after this, and may be a few KiB.
	r.setWriteDeadline(r.unread())
}

// takeBody reads a body of known bounds into memory that is counted as it comes.
func (r *request) takeBody(body io.Reader, limit int64) ([]byte, error) {
	announced := r.req.ContentLength
	if announced > limit {
		// It is read to the bound, as the client must have sent that to hear of it.
		_, err := io.Copy(io.Discard, body)
		return nil, err
	}
	if !r.handler.Holding.MayEver(holding.Bodies, announced) {
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
func (r *request) awaitRoom(share holding.Share, n int64) bool {
	for waited := time.Duration(0); !r.account.Take(share, n); waited += roomPause {
		if waited >= roomWait || r.req.Context().Err() != nil {
			return false
		}
		time.Sleep(roomPause)
	}
	return true
}

// unread is how long what is written may stay unread.
func (r *request) unread() time.Duration {
	if r.handler.Unread > 0 {
		return r.handler.Unread
	}
	return defaultUnread
}

// answerTime is how long the client of a replica's answer may take to read it: it still
// waits for that long. No other has that answer.
func (r *request) answerTime() time.Duration {
	return max(r.deadline()-r.held(), r.unread())
}

// setWriteDeadline bounds writes to the client from now on.
func (r *request) setWriteDeadline(within time.Duration) {
	if err := http.NewResponseController(r.w).SetWriteDeadline(time.Now().Add(within)); err != nil {
		r.logger.Debug("writes to the client's connection are not bounded", zap.Error(err))
	}
}

// writeSlowly writes what the client can ask for again. A client that takes nothing of it
// for some seconds is left.
func (r *request) writeSlowly(content []byte) error {
	for {
		r.setWriteDeadline(r.unread())
		piece := content[:min(len(content), pieceBytes)]
		if _, err := r.w.Write(piece); err != nil {
			return err
		}
		if content = content[len(piece):]; len(content) == 0 {
			return nil
		}
	}
}

// writePage answers with a page of results, if there is room for it.
func (r *request) writePage(encoded []byte) {
	if !r.account.Take(holding.Pages, int64(len(encoded))) {
		r.refuse(errNoRoom.Error(), noRoomRetryAfter)
		return
	}
	r.writeHead(http.StatusOK, len(encoded))
	if err := r.writeSlowly(encoded); err != nil {
		r.observe(http.StatusOK, "broken off", err.Error())
		panic(http.ErrAbortHandler)
	}
	r.observe(http.StatusOK, "results", "")
}

// writeEvent writes an event of a stream. One that is longer than what a request costs is
// counted, and waits for room.
func (r *request) writeEvent(raw []byte) error {
	if n := int64(len(raw)); n > baseBytes {
		if !r.awaitRoom(holding.Answers, n) {
			return errNoRoom
		}
		defer r.account.Give(holding.Answers, n)
	}
	r.setWriteDeadline(r.unread())
	if _, err := r.w.Write(raw); err != nil {
		return err
	}
	return http.NewResponseController(r.w).Flush()
}
