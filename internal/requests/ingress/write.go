package ingress

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/headers"
	"woodworks/internal/requests/holding"
	"woodworks/internal/requests/refusal"
)

// pieceBytes is how much of an answer of our own must be read within Handler.Unread: a
// client's system has room for several pieces, and takes none if it has none.
const pieceBytes = 16 << 10

// passOn writes a replica's answer to the client.
func (r *request) passOn(answer *forward.Answer) {
	maps.Copy(r.w.Header(), headers.CopyEndToEnd(answer.Header))
	length := int64(len(answer.Body))
	if answer.Rest != nil {
		length = answer.Rest.Length()
	}
	if length >= 0 && r.req.Method != http.MethodHead {
		r.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	// The client still waits for that long, and no other has this answer.
	r.setWriteDeadline(max(r.deadline()-r.held(), r.handler.Unread))
	r.w.WriteHeader(answer.Status)
	err := r.writeAnswer(answer)
	if err != nil && r.req.Method != http.MethodHead {
		r.observe(answer.Status, "broken off", err.Error())
		panic(http.ErrAbortHandler)
	}
	r.observe(answer.Status, "answered", "")
}

// setWriteDeadline bounds writes to the client from now on.
func (r *request) setWriteDeadline(within time.Duration) {
	if err := http.NewResponseController(r.w).SetWriteDeadline(time.Now().Add(within)); err != nil {
		r.logger.Debug("writes to the client's connection are not bounded", zap.Error(err))
	}
}

// write gives an answer of our own.
func (r *request) write(status int, body []byte) {
	r.writeHead(status, len(body))
	if err := r.writeSlowly(body); err != nil {
		r.logger.Debug("answer of our own not taken", zap.Error(err)) // it says nothing that counts for others
	}
}

// writeHead begins an answer of our own.
func (r *request) writeHead(status, length int) {
	r.w.Header().Set("Content-Type", "application/json")
	r.w.Header().Set("Content-Length", strconv.Itoa(length))
	if r.id != "" {
		r.w.Header().Set(r.handler.Names.RequestID, r.id)
	}
	r.w.WriteHeader(status)
}

// writeSlowly writes what the client can ask for again. A client that takes nothing of it
// for Handler.Unread is left.
func (r *request) writeSlowly(content []byte) error {
	for {
		r.setWriteDeadline(r.handler.Unread)
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
	if !r.account.Reserve(holding.Pages, int64(len(encoded))) {
		r.refuse(refusal.MemoryLimitReached, errNoRoom.Error())
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
		defer r.account.Release(holding.Answers, n)
	}
	r.setWriteDeadline(r.handler.Unread)
	if _, err := r.w.Write(raw); err != nil {
		return err
	}
	return http.NewResponseController(r.w).Flush()
}
