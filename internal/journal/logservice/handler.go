package logservice

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"woodworks/internal/journal"
)

// Handler serves a journal.Journal over the protocol of this package.
type Handler struct{ Journal journal.Journal }

// ServeHTTP implements http.Handler.
func (h Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, ok := strings.CutPrefix(r.URL.Path, pathPrefix)
	if !ok || r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	j := h.Journal
	switch name {
	case callAppend:
		serveCall(w, r, body, j.Append)
	case callRead:
		serveCall(w, r, body, j.Read)
	case callNewest:
		serveCall(w, r, body, func(ctx context.Context, req newestRequest) (journal.KeyedPage, error) {
			return j.Newest(ctx, req.Partition, req.AfterKey)
		})
	case callJoin:
		serveCall(w, r, body, j.Join)
	case callLeave:
		serveCall(w, r, body, func(ctx context.Context, req memberRequest) (emptyAnswer, error) {
			return emptyAnswer{}, j.Leave(ctx, req.Group, req.Member)
		})
	case callOwners:
		serveCall(w, r, body, func(ctx context.Context, req memberRequest) ([]journal.Ownership, error) {
			return j.Owners(ctx, req.Group)
		})
	default:
		http.NotFound(w, r)
	}
}

// serveCall decodes a request, performs the call and writes its answer. If the outcome of the
// call is unknown, the connection is aborted without an answer, so that the client reports
// ErrUnknown.
func serveCall[Request, Answer any](w http.ResponseWriter, r *http.Request, body []byte,
	do func(context.Context, Request) (Answer, error)) {
	var req Request
	if err := cbor.Unmarshal(body, &req); err != nil {
		writeAnswer(w, http.StatusBadRequest, refusal{Reason: reasonNotDone, Text: "body: " + err.Error()})
		return
	}
	done, err := do(r.Context(), req)
	if err == nil {
		writeAnswer(w, http.StatusOK, done)
		return
	}
	refused, certain := refusalOf(err)
	if !certain {
		panic(http.ErrAbortHandler)
	}
	writeAnswer(w, http.StatusConflict, refused)
}

// writeAnswer writes value CBOR-encoded with the given status.
func writeAnswer(w http.ResponseWriter, status int, value any) {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_, _ = w.Write(encoded) // An error means that the client has disconnected.
}
