// Package gateway is the HTTP interface to callers and operators.
package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"woodworks/internal/calls"
)

// OutcomeHeader says on every final answer what became of the request.
const OutcomeHeader = "Woodworks-Outcome"

// Problem is the body of every answer that is not a success.
type Problem struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Field names the faulty field of a bad request.
	Field string `json:"field,omitempty"`
	// Outcome is not_executed or unknown. It speaks of the request: for one
	// with a key, of all tries with that key.
	Outcome calls.Result `json:"outcome"`
	// ThisTry is "not_sent" where the outcome of a request with a key is
	// unknown only because an earlier try with the key may have run.
	ThisTry string `json:"this_try,omitempty"`
	// RetryAfterMillis is when to come back, 0 where it would not help.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// notSent is the value of Problem.ThisTry.
const notSent = "not_sent"

type problemBody struct {
	Error Problem `json:"error"`
}

// writeProblem sends a problem as the final answer.
func writeProblem(writer http.ResponseWriter, status int, problem Problem) {
	if problem.Outcome == "" {
		problem.Outcome = calls.NotExecuted
		if recorded, isRecorder := writer.(*recorder); isRecorder && recorded.keyed {
			problem.Outcome = calls.Unknown
			problem.ThisTry = notSent
		}
	}
	if problem.RetryAfterMillis > 0 {
		seconds := math.Ceil(float64(problem.RetryAfterMillis) / 1000)
		writer.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	writer.Header().Set(OutcomeHeader, string(problem.Outcome))
	writeJSON(writer, status, problemBody{Error: problem})
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(encoded)+1))
	writer.WriteHeader(status)
	_, _ = writer.Write(append(encoded, '\n'))
}

func badField(writer http.ResponseWriter, field, message string) {
	writeProblem(writer, http.StatusBadRequest, Problem{Code: "bad_request", Message: field + ": " + message, Field: field})
}

func unavailable(writer http.ResponseWriter, code, message string, retryAfter time.Duration) {
	writeProblem(writer, http.StatusServiceUnavailable, Problem{Code: code, Message: message, RetryAfterMillis: retryAfter.Milliseconds()})
}

// statusOf gives the HTTP status of an outcome that is not completed.
func statusOf(outcome calls.Outcome) int {
	switch outcome.Code {
	case calls.CodeQueueFull:
		return http.StatusTooManyRequests
	case calls.CodeKeyReused, calls.CodeAbandonedEarly:
		return http.StatusConflict
	case calls.CodeKeyMalformed:
		return http.StatusBadRequest
	case calls.CodeKeyExpired:
		return http.StatusGone
	}
	if outcome.Result == calls.Unknown && !outcome.NotSent {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

func writeOutcome(writer http.ResponseWriter, outcome calls.Outcome) {
	if outcome.Result != calls.Completed {
		problem := Problem{
			Code:             string(outcome.Code),
			Message:          outcome.Message,
			Outcome:          outcome.Result,
			RetryAfterMillis: outcome.RetryAfter.Milliseconds(),
		}
		if outcome.NotSent {
			problem.ThisTry = notSent
		}
		writeProblem(writer, statusOf(outcome), problem)
		return
	}
	header := writer.Header()
	header.Set(OutcomeHeader, string(calls.Completed))
	if outcome.Answer.ContentType != "" {
		header.Set("Content-Type", outcome.Answer.ContentType)
	}
	header.Set("Content-Length", strconv.Itoa(len(outcome.Answer.Body)))
	writer.WriteHeader(outcome.Answer.Status)
	_, _ = writer.Write(outcome.Answer.Body)
}
