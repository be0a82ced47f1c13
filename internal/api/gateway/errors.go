package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"woodworks/internal/requests/refusal"
)

// OutcomeHeader says on every final answer what became of the request.
const OutcomeHeader = "Woodworks-Outcome"

// Outcome says what became of a request. Every request ends with exactly one.
type Outcome string

// The outcomes.
const (
	// Completed: the whole answer is at hand.
	Completed Outcome = "completed"
	// NotExecuted: the request has not run and will not.
	NotExecuted Outcome = "not_executed"
	// Unknown: it may have run.
	Unknown Outcome = "unknown"
)

// Problem is the body of every answer that is not a success.
type Problem struct {
	// status is that of the answer; the body does not repeat it.
	status  int
	Code    string `json:"code"`
	Message string `json:"message"`
	// Field names the faulty field of a bad request.
	Field string `json:"field,omitempty"`
	// Outcome is not_executed or unknown. It speaks of the request: for one
	// with a key, of all tries with that key.
	Outcome Outcome `json:"outcome"`
	// ThisAttempt is "not_sent" where the outcome of a request with a key is
	// unknown only because an earlier try with the key may have run.
	ThisAttempt string `json:"this_try,omitempty"`
	// RetryAfterMillis is when to come back, 0 where it would not help.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// notSent is the value of Problem.ThisTry.
const notSent = "not_sent"

type problemBody struct {
	Error Problem `json:"error"`
}

// writeProblem sends a problem as the final answer, under its status. A refusal of a request
// with a key speaks of this try only: an earlier one may have run.
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

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)+1))
	w.WriteHeader(status)
	// A caller that has gone gets nothing, and there is nobody else to tell.
	_, _ = w.Write(append(encoded, '\n'))
}

func writeCompleted(w http.ResponseWriter, status int, body any) {
	w.Header().Set(OutcomeHeader, string(Completed))
	writeJSON(w, status, body)
}

func writeFieldError(w http.ResponseWriter, field, message string) {
	writeProblem(w, Problem{status: http.StatusBadRequest, Code: "bad_request", Message: field + ": " + message, Field: field})
}

// refuse answers with a reason of the list.
func refuse(w http.ResponseWriter, reason refusal.Reason, message string) {
	writeProblem(w, refusalProblem(reason, message))
}

// refusalProblem is the problem that tells a reason. Its outcome is left to writeProblem if the
// request has not run.
func refusalProblem(reason refusal.Reason, message string) Problem {
	problem := Problem{status: reason.Status, Code: reason.Name, Message: message,
		RetryAfterMillis: reason.RetryAfter.Milliseconds()}
	if reason.MayHaveRun {
		problem.Outcome = Unknown
	}
	return problem
}
