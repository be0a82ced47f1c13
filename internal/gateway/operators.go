package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/calls"
	"woodworks/internal/catalog"
	"woodworks/internal/membership"
	"woodworks/internal/operator"
	"woodworks/internal/policy"
)

// publishTimeout bounds a publication, waiting for the witnesses included.
const publishTimeout = 15 * time.Second

// operatorOnly refuses callers that are not operators.
func (gateway *Gateway) operatorOnly(next handler) handler {
	return func(writer http.ResponseWriter, request *http.Request, caller policy.Caller) {
		if !caller.Operator {
			writeProblem(writer, http.StatusForbidden, Problem{Code: "operators_only", Message: "caller is not an operator"})
			return
		}
		next(writer, request, caller)
	}
}

func (gateway *Gateway) status(writer http.ResponseWriter, _ *http.Request, _ policy.Caller) {
	writeJSON(writer, http.StatusOK, gateway.parts.Status())
}

// policyAnswer is one document in force.
type policyAnswer struct {
	Name   string `json:"name"`
	Offset uint64 `json:"offset"`
	Source string `json:"source"`
}

type policiesAnswer struct {
	Offset    uint64                 `json:"offset"`
	Documents []policyAnswer         `json:"documents"`
	History   []catalog.HistoryEntry `json:"history"`
}

func (gateway *Gateway) policies(writer http.ResponseWriter, _ *http.Request, _ policy.Caller) {
	state := gateway.catalog.State()
	answer := policiesAnswer{Offset: state.Offset, History: state.History}
	for _, name := range state.DocumentNames() {
		document := state.Documents[name]
		answer.Documents = append(answer.Documents, policyAnswer{Name: name, Offset: document.Offset, Source: document.Source})
	}
	writeJSON(writer, http.StatusOK, answer)
}

type publishRequest struct {
	Name   string `json:"name"`
	Source string `json:"source"`
	// Replaces is the offset of the version that the author saw; absent means
	// the one in force at this daemon.
	Replaces *uint64 `json:"replaces,omitempty"`
}

func (gateway *Gateway) publishPolicy(writer http.ResponseWriter, request *http.Request, caller policy.Caller) {
	var wanted publishRequest
	if !decodeJSON(writer, request, &wanted) {
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), publishTimeout)
	defer cancel()
	publication, err := gateway.parts.Operator.Publish(ctx, wanted.Name, caller.Name, wanted.Source, wanted.Replaces)
	retryAfter := refuseRetryAfter.Milliseconds()
	switch {
	case err == nil:
		writer.Header().Set(OutcomeHeader, string(calls.Completed))
		writeJSON(writer, http.StatusOK, publication)
	case errors.Is(err, operator.ErrInvalid):
		writeProblem(writer, http.StatusUnprocessableEntity, Problem{Code: "policy_invalid", Field: "source", Message: err.Error()})
	case errors.Is(err, operator.ErrConflict):
		writeProblem(writer, http.StatusConflict, Problem{Code: "policy_conflict", Field: "replaces", Message: err.Error()})
	case errors.Is(err, operator.ErrPending):
		writeProblem(writer, http.StatusServiceUnavailable, Problem{Code: "policy_pending", Message: err.Error(), Outcome: calls.Unknown, RetryAfterMillis: retryAfter})
	default:
		writeProblem(writer, http.StatusServiceUnavailable, Problem{Code: "log_unavailable", Message: err.Error(), Outcome: calls.Unknown, RetryAfterMillis: retryAfter})
	}
}

type goneRequest struct {
	// Daemon is the node identity of the run that is over.
	Daemon string `json:"daemon"`
}

// declareGone takes an operator's word that a daemon's run is over. A daemon
// that gossip sees alive is not believed to be gone.
func (gateway *Gateway) declareGone(writer http.ResponseWriter, request *http.Request, _ policy.Caller) {
	var wanted goneRequest
	if !decodeJSON(writer, request, &wanted) {
		return
	}
	for _, member := range gateway.parts.Peers.Members() {
		if string(member.ID) == wanted.Daemon && member.Health == membership.Alive && !member.Gone {
			writeProblem(writer, http.StatusConflict, Problem{Code: "daemon_alive", Field: "daemon", Message: "daemon: it is seen alive"})
			return
		}
	}
	if wanted.Daemon == "" {
		badField(writer, "daemon", "is required")
		return
	}
	gateway.parts.Operator.DeclareGone(wanted.Daemon)
	writer.Header().Set(OutcomeHeader, string(calls.Completed))
	writeJSON(writer, http.StatusOK, wanted)
}

type drainRequest struct {
	Machine string `json:"machine"`
	// Undo takes an earlier order back.
	Undo bool `json:"undo,omitempty"`
}

type drainAnswer struct {
	Machine  string `json:"machine"`
	Draining bool   `json:"draining"`
}

func (gateway *Gateway) drain(writer http.ResponseWriter, request *http.Request, _ policy.Caller) {
	var wanted drainRequest
	if !decodeJSON(writer, request, &wanted) {
		return
	}
	listed := false
	for _, machine := range gateway.parts.Table.Machines() {
		listed = listed || machine.Name == wanted.Machine
	}
	if !listed {
		writeProblem(writer, http.StatusNotFound, Problem{Code: "unknown_machine", Field: "machine", Message: "machine: " + operator.ErrNoMachine.Error()})
		return
	}
	if err := gateway.parts.Operator.Drain(request.Context(), wanted.Machine, !wanted.Undo); err != nil {
		writeProblem(writer, http.StatusServiceUnavailable, Problem{
			Code: "order_not_spread", Message: err.Error() + "; give it to another daemon too",
			Outcome: calls.Unknown, RetryAfterMillis: refuseRetryAfter.Milliseconds(),
		})
		return
	}
	writer.Header().Set(OutcomeHeader, string(calls.Completed))
	writeJSON(writer, http.StatusOK, drainAnswer{Machine: wanted.Machine, Draining: !wanted.Undo})
}
