package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"woodworks/internal/requests/refusal"
)

// OutcomeHeader is the header of every final answer that carries the Outcome of the request.
const OutcomeHeader = "Woodworks-Outcome"

// Outcome tells whether a request was executed. Every request ends with exactly one outcome.
type Outcome string

// Outcomes of a request.
const (
	// Completed: a complete answer is available.
	Completed Outcome = "completed"
	// NotExecuted: the request has not run and never will.
	NotExecuted Outcome = "not_executed"
	// Unknown: the request may have run.
	Unknown Outcome = "unknown"
)

// Problem is the error that the body of every unsuccessful answer holds.
type Problem struct {
	// status is the HTTP status of the answer; it is not part of the body.
	status  int
	Code    string `json:"code"`
	Message string `json:"message"`
	// Field names the faulty field of the request, if there is one.
	Field string `json:"field,omitempty"`
	// Outcome is NotExecuted or Unknown. For a request with a key it covers all attempts with that
	// key.
	Outcome Outcome `json:"outcome"`
	// ThisAttempt is notSent if the outcome is unknown only because an earlier attempt with the
	// same key may have run; otherwise it is empty.
	ThisAttempt string `json:"this_try,omitempty"`
	// RetryAfterMillis is the delay in milliseconds after which the caller should retry, 0 if a
	// retry would not help.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// notSent is the value of Problem.ThisAttempt for an attempt that was not sent to a back end.
const notSent = "not_sent"

// problemBody is the JSON form of a problem, as an answer or as a line of a stream.
type problemBody struct {
	Error Problem `json:"error"`
}

// writeProblem writes a problem as the final answer, with its status, outcome and Retry-After. A
// problem without an outcome gets NotExecuted. If the request has a key it gets Unknown and notSent
// instead: this attempt was not sent, but an earlier one with the key may have run.
func writeProblem(w http.ResponseWriter, problem Problem) {
	if problem.Outcome == "" {
		problem.Outcome = NotExecuted
		if rec, ok := w.(*recorder); ok && rec.hasKey {
			problem.Outcome = Unknown
			problem.ThisAttempt = notSent
		}
	}
	if problem.RetryAfterMillis > 0 {
		seconds := math.Ceil(float64(problem.RetryAfterMillis) / 1000)
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.Header().Set(OutcomeHeader, string(problem.Outcome))
	writeJSON(w, problem.status, problemBody{Error: problem})
}

// writeJSON writes a value as a JSON answer that ends with a newline.
func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)+1))
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected; there is nobody to report it to.
	_, _ = w.Write(append(encoded, '\n'))
}

// writeCompleted writes a JSON answer with the outcome Completed.
func writeCompleted(w http.ResponseWriter, status int, body any) {
	w.Header().Set(OutcomeHeader, string(Completed))
	writeJSON(w, status, body)
}

// writeFieldError answers 400 for a faulty field. The message continues the name of the field.
func writeFieldError(w http.ResponseWriter, field, message string) {
	writeProblem(w, Problem{status: http.StatusBadRequest, Code: "bad_request", Message: field + ": " + message, Field: field})
}

// refuse answers a request with the problem of a refusal.
func refuse(w http.ResponseWriter, reason refusal.Reason, message string) {
	writeProblem(w, refusalProblem(reason, message))
}

// refusalProblem returns the problem of a refusal. Its outcome is Unknown if the request may have
// run, and otherwise empty, which leaves the choice to writeProblem.
func refusalProblem(reason refusal.Reason, message string) Problem {
	problem := Problem{status: reason.Status, Code: reason.Name, Message: message,
		RetryAfterMillis: reason.RetryAfter.Milliseconds()}
	if reason.MayHaveRun {
		problem.Outcome = Unknown
	}
	return problem
}
