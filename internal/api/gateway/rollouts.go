package gateway

import (
	"net/http"
	"strconv"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"woodworks/internal/api/delivery"
	"woodworks/internal/api/operator"
	"woodworks/internal/api/policy"
	"woodworks/internal/api/rollout"
	"woodworks/internal/requests/refusal"
)

// RolloutInfo is the answer to a submitted batch and to a request for a batch's status.
type RolloutInfo struct {
	Trainer string `json:"trainer"`
	Name    string `json:"name"`
	Samples int    `json:"samples"`
	// Cursor is the start of the batch, or the cursor of the request if it has one.
	Cursor string `json:"cursor"`
}

// withTrainer returns a handler for a path that contains a trainer. It resolves the trainer and
// calls next with it and the name of the batch, which is empty if the path has none.
func (g *Gateway) withTrainer(next func(w http.ResponseWriter, r *http.Request, trainer delivery.Trainer, name string)) handler {
	return func(w http.ResponseWriter, r *http.Request, caller policy.Caller) {
		variables := pathvar.Vars(r)
		if trainer, ok := g.resolveTrainer(w, caller, variables["trainer"]); ok {
			next(w, r, trainer, variables["name"])
		}
	}
}

// resolveTrainer returns the declaration in force of a trainer. If the caller may not act for the
// trainer, or no policy declares it, resolveTrainer writes a problem and returns false. It checks
// the caller's right first, so that other callers cannot find out which trainers exist.
func (g *Gateway) resolveTrainer(w http.ResponseWriter, caller policy.Caller, name string) (delivery.Trainer, bool) {
	if caller.Trainer != name && !caller.Operator {
		writeProblem(w, Problem{status: http.StatusForbidden, Code: "not_your_trainer", Field: "trainer",
			Message: "trainer: caller " + strconv.Quote(caller.Name) + " may not act for trainer " + strconv.Quote(name)})
		return delivery.Trainer{}, false
	}
	configuration, ok := g.deps.Configuration()
	if !ok {
		refuse(w, refusal.V1NoConfiguration, "this daemon knows no policies yet")
		return delivery.Trainer{}, false
	}
	declared, ok := configuration.Policies.Trainers[name]
	if !ok {
		writeProblem(w, Problem{status: http.StatusNotFound, Code: "unknown_trainer", Field: "trainer",
			Message: "trainer: no policy declares trainer " + strconv.Quote(name)})
		return delivery.Trainer{}, false
	}
	return delivery.Trainer{Name: name, NewestVersion: configuration.NewestVersions[name], Accepts: func(oldest, trained int64) bool {
		return configuration.Policies.Accepts(declared, uint64(oldest), uint64(trained))
	}}, true
}

func (g *Gateway) submitRollout(w http.ResponseWriter, r *http.Request, caller policy.Caller) {
	var req rollout.Request
	if !decodeJSON(w, r, &req) {
		return
	}
	var fault *rollout.FieldError
	if errors.As(req.Check(), &fault) {
		writeFieldError(w, fault.Field, fault.Reason)
		return
	}
	trainer, ok := g.resolveTrainer(w, caller, req.Trainer)
	if !ok {
		return
	}
	header, err := g.deps.Delivery.Submit(r.Context(), trainer, req)
	switch {
	case err == nil:
		writeCompleted(w, http.StatusAccepted, newRolloutInfo(rollout.NewCursor(header)))
	case errors.Is(err, delivery.ErrConflict):
		writeProblem(w, Problem{status: http.StatusConflict, Code: "name_taken", Field: "name",
			Message: "name: another batch of this trainer has this name and other content"})
	case errors.Is(err, delivery.ErrUnavailable):
		refuse(w, refusal.V1LogUnavailable, err.Error())
	default:
		refuse(w, refusal.V1BatchOutcomeUnknown, err.Error()+"; submit it again under the same name")
	}
}

func newRolloutInfo(cursor rollout.Cursor) RolloutInfo {
	header := cursor.Header
	return RolloutInfo{Trainer: header.Trainer, Name: header.Name, Samples: header.Samples, Cursor: cursor.String()}
}

// deliveryProblem returns the problem of a pull, or of a lookup of a batch, that failed. No samples
// were delivered, so the caller may use the same cursor again.
func deliveryProblem(err error) Problem {
	problem := refusalProblem(refusal.V1DeliveryFailed, err.Error())
	switch {
	case errors.Is(err, delivery.ErrUnknownBatch):
		problem = Problem{status: http.StatusNotFound, Code: "unknown_batch", Message: err.Error()}
	case errors.Is(err, delivery.ErrTooManyRounds):
		problem = Problem{status: http.StatusBadGateway, Code: "samples_unusable", Message: err.Error()}
	}
	problem.Outcome = NotExecuted
	return problem
}

func (g *Gateway) rolloutStatus(w http.ResponseWriter, r *http.Request, trainer delivery.Trainer, name string) {
	if cursor, ok := g.resolveCursor(w, r, trainer.Name, name); ok {
		writeJSON(w, http.StatusOK, newRolloutInfo(cursor))
	}
}

// endRollout ends a batch: no further samples of it are generated.
func (g *Gateway) endRollout(w http.ResponseWriter, r *http.Request, trainer delivery.Trainer, name string) {
	err := g.deps.Delivery.End(r.Context(), trainer.Name, name)
	switch {
	case err == nil:
		writeCompleted(w, http.StatusOK, statusResponse{Status: "ended"})
	case errors.Is(err, delivery.ErrOutcomeUnknown):
		refuse(w, refusal.V1EndOutcomeUnknown, err.Error()+"; end it again")
	default:
		writeProblem(w, deliveryProblem(err))
	}
}

// AnnounceRequest is the body of POST /v1/trainers/TRAINER/versions.
type AnnounceRequest struct {
	Version  int64  `json:"version"`
	Artifact string `json:"artifact"`
}

type announceResponse struct {
	Trainer string `json:"trainer"`
	Version int64  `json:"version"`
}

// announceVersion records that a trainer has published a version of its weights. Versions only
// increase: if a newer one is already known, the answer names that one.
func (g *Gateway) announceVersion(w http.ResponseWriter, r *http.Request, trainer delivery.Trainer, _ string) {
	var req AnnounceRequest
	if !decodeJSON(w, r, &req) {
		return
	}
	if req.Version < 1 {
		writeFieldError(w, "version", "must be at least 1")
		return
	}
	if req.Artifact == "" {
		writeFieldError(w, "artifact", "is required")
		return
	}
	newest, err := g.deps.Operator.AnnounceVersion(r.Context(), operator.Version{Model: trainer.Name, Version: req.Version, Artifact: req.Artifact})
	switch {
	case err == nil:
		writeCompleted(w, http.StatusOK, announceResponse{Trainer: trainer.Name, Version: newest})
	case errors.Is(err, operator.ErrOutcomeUnknown):
		refuse(w, refusal.V1LogOutcomeUnknown, err.Error())
	default:
		refuse(w, refusal.V1LogUnavailable, err.Error())
	}
}
