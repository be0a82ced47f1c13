package quarantine

import (
	"encoding/json"
	"net/http"
	"strings"

	"go.uber.org/zap"
)

// Path is the operator endpoint of a daemon. GET lists the suspected contents; DELETE on
// Path/DIGEST clears one.
const Path = "/quarantine"

// problem is the body of an error response, in the format that all endpoints of a daemon use.
type problem struct {
	Error problemText `json:"error"`
}

// problemText describes the error in a problem.
type problemText struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Field names the faulty part of the request.
	Field string `json:"field,omitempty"`
}

// Lifted is the body of the response to a DELETE that cleared a content.
type Lifted struct {
	Digest string `json:"digest"`
}

// Handler serves the operator endpoint at Path. If a content is cleared at one daemon, the
// change spreads to all daemons.
func Handler(table *Table, logger *zap.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := strings.Trim(strings.TrimPrefix(r.URL.Path, Path), "/")
		switch {
		case text == "" && r.Method == http.MethodGet:
			writeResponse(w, http.StatusOK, table.List(), logger)
		case r.Method != http.MethodDelete || text == "":
			writeResponse(w, http.StatusMethodNotAllowed, problemOf("wrong_method",
				"list with GET "+Path+", lift with DELETE "+Path+"/DIGEST", "method"), logger)
		default:
			lift(w, table, text, logger)
		}
	})
}

// lift clears the content whose digest is text, and writes the response.
func lift(w http.ResponseWriter, table *Table, text string, logger *zap.Logger) {
	digest, err := ParseDigest(text)
	switch {
	case err != nil:
		writeResponse(w, http.StatusBadRequest, problemOf("malformed", err.Error(), "digest"), logger)
	case !table.Lift(digest):
		writeResponse(w, http.StatusNotFound, problemOf("unknown_content", "digest: nothing is held against this content here", "digest"), logger)
	default:
		writeResponse(w, http.StatusOK, Lifted{Digest: text}, logger)
	}
}

func problemOf(code, message, field string) problem {
	return problem{Error: problemText{Code: code, Message: message, Field: field}}
}

// writeResponse writes a JSON response. A failure is only logged, as the status has already
// been sent.
func writeResponse(w http.ResponseWriter, status int, body any, logger *zap.Logger) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		logger.Info("answer to operator not written", zap.Error(err))
	}
}
