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

// writeChunkBytes is how much of an answer of the daemon itself must be written within
// Handler.WriteTimeout. It is well below the size of socket buffers, so that a write stalls only
// if the client reads nothing.
const writeChunkBytes = 16 << 10

// relayAnswer writes a replica's answer to the client.
func (r *request) relayAnswer(answer *forward.Answer) {
	maps.Copy(r.w.Header(), headers.CopyEndToEnd(answer.Header))
	length := int64(len(answer.Body))
	if answer.Remainder != nil {
		length = answer.Remainder.Length()
	}
	if length >= 0 && r.req.Method != http.MethodHead {
		r.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	// Unlike an answer of the daemon itself, a replica's answer cannot be requested again, so
	// the client may take the rest of its timeout to read it.
	r.setWriteDeadline(max(r.clientTimeout()-r.elapsed(), r.handler.WriteTimeout))
	r.w.WriteHeader(answer.Status)
	err := r.writeAnswerBody(answer)
	if err != nil && r.req.Method != http.MethodHead {
		r.observe(answer.Status, "broken off", err.Error())
		panic(http.ErrAbortHandler)
	}
	r.observe(answer.Status, "answered", "")
}

// setWriteDeadline sets the deadline of all further writes to the client, counted from now.
func (r *request) setWriteDeadline(within time.Duration) {
	if err := http.NewResponseController(r.w).SetWriteDeadline(time.Now().Add(within)); err != nil {
		r.logger.Debug("write deadline of the client's connection not set", zap.Error(err))
	}
}

// write writes an answer of the daemon itself.
func (r *request) write(status int, body []byte) {
	r.writeHead(status, len(body))
	if err := r.writeChunks(body); err != nil {
		r.logger.Debug("answer to the client not written", zap.Error(err))
	}
}

// writeHead writes the status and the header of an answer of the daemon itself.
func (r *request) writeHead(status, length int) {
	r.w.Header().Set("Content-Type", "application/json")
	r.w.Header().Set("Content-Length", strconv.Itoa(length))
	if r.id != "" {
		r.w.Header().Set(r.handler.Names.RequestID, r.id)
	}
	r.w.WriteHeader(status)
}

// writeChunks writes content that the client can request again. It fails if the client does
// not read a chunk within Handler.WriteTimeout.
func (r *request) writeChunks(content []byte) error {
	for {
		r.setWriteDeadline(r.handler.WriteTimeout)
		chunk := content[:min(len(content), writeChunkBytes)]
		if _, err := r.w.Write(chunk); err != nil {
			return err
		}
		if content = content[len(chunk):]; len(content) == 0 {
			return nil
		}
	}
}

// writePage answers with a page of results, or refuses the request if there is no memory for it.
func (r *request) writePage(encoded []byte) {
	if !r.account.Reserve(holding.Pages, int64(len(encoded))) {
		r.refuse(refusal.MemoryLimitReached, errNoMemory.Error())
		return
	}
	r.writeHead(http.StatusOK, len(encoded))
	if err := r.writeChunks(encoded); err != nil {
		r.observe(http.StatusOK, "broken off", err.Error())
		panic(http.ErrAbortHandler)
	}
	r.observe(http.StatusOK, "results", "")
}

// writeEvent writes one event of a stream. An event longer than requestOverheadBytes is counted
// in the request's account while it is written, after a wait of up to maxMemoryWait for free
// memory.
func (r *request) writeEvent(raw []byte) error {
	if n := int64(len(raw)); n > requestOverheadBytes {
		if !r.waitForMemory(holding.Answers, n) {
			return errNoMemory
		}
		defer r.account.Release(holding.Answers, n)
	}
	r.setWriteDeadline(r.handler.WriteTimeout)
	if _, err := r.w.Write(raw); err != nil {
		return err
	}
	return http.NewResponseController(r.w).Flush()
}
