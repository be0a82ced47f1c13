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

// Submitted is the answer to a submitted batch.
type Submitted struct {
	Trainer string `json:"trainer"`
	Name    string `json:"name"`
	Samples int    `json:"samples"`
	// Cursor is where the first pull starts.
	Cursor string `json:"cursor"`
}

// ofTrainer wraps the handler of a path that names a trainer, and perhaps one of its batches.
func (g *Gateway) ofTrainer(next func(w http.ResponseWriter, r *http.Request, trainer delivery.Trainer, name string)) handler {
	return func(w http.ResponseWriter, r *http.Request, caller policy.Caller) {
		variables := pathvar.Vars(r)
		if trainer, ok := g.trainerOf(w, caller, variables["trainer"]); ok {
			next(w, r, trainer, variables["name"])
		}
	}
}

// trainerOf returns what is in force for the trainer that a caller may act for.
// Another trainer is told apart from an unknown one only to callers that may
// act for it.
func (g *Gateway) trainerOf(w http.ResponseWriter, caller policy.Caller, name string) (delivery.Trainer, bool) {
	if caller.Trainer != name && !caller.Operator {
		writeProblem(w, Problem{status: http.StatusForbidden, Code: "not_your_trainer", Field: "trainer",
			Message: "trainer: caller " + strconv.Quote(caller.Name) + " may not act for trainer " + strconv.Quote(name)})
		return delivery.Trainer{}, false
	}
	configuration, ok := g.parts.Configuration()
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
	return delivery.Trainer{Name: name, Newest: configuration.Named[name], Accepts: func(oldest, trained int64) bool {
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
		badField(w, fault.Field, fault.Reason)
		return
	}
	trainer, ok := g.trainerOf(w, caller, req.Trainer)
	if !ok {
		return
	}
	header, err := g.parts.Delivery.Submit(r.Context(), trainer, req)
	switch {
	case err == nil:
		writeDone(w, http.StatusAccepted, submitted(rollout.NewCursor(header)))
	case errors.Is(err, delivery.ErrConflict):
		writeProblem(w, Problem{status: http.StatusConflict, Code: "name_taken", Field: "name",
			Message: "name: another batch of this trainer has this name and other content"})
	case errors.Is(err, delivery.ErrUnavailable):
		refuse(w, refusal.V1LogUnavailable, err.Error())
	default:
		refuse(w, refusal.V1BatchOutcomeUnknown, err.Error()+"; submit it again under the same name")
	}
}

func submitted(cursor rollout.Cursor) Submitted {
	header := cursor.Header
	return Submitted{Trainer: header.Trainer, Name: header.Name, Samples: header.Samples, Cursor: cursor.String()}
}

// deliveryProblem is the answer to a pull that failed. Nothing was handed over:
// the same cursor may be used again.
func deliveryProblem(err error) Problem {
	problem := problemFor(refusal.V1DeliveryFailed, err.Error())
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
	if cursor, ok := g.cursorOf(w, r, trainer.Name, name); ok {
		writeJSON(w, http.StatusOK, submitted(cursor))
	}
}

// endRollout gives a batch up: no more of its samples are made.
func (g *Gateway) endRollout(w http.ResponseWriter, r *http.Request, trainer delivery.Trainer, name string) {
	err := g.parts.Delivery.End(r.Context(), trainer.Name, name)
	switch {
	case err == nil:
		writeDone(w, http.StatusOK, statusWord{Status: "ended"})
	case errors.Is(err, delivery.ErrUnsure):
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

type announceAnswer struct {
	Trainer string `json:"trainer"`
	Version int64  `json:"version"`
}

// announceVersion takes in that a trainer published weights. Versions only
// rise: an older one is answered with the newest known.
func (g *Gateway) announceVersion(w http.ResponseWriter, r *http.Request, trainer delivery.Trainer, _ string) {
	var req AnnounceRequest
	if !decodeJSON(w, r, &req) {
		return
	}
	if req.Version < 1 {
		badField(w, "version", "must be at least 1")
		return
	}
	if req.Artifact == "" {
		badField(w, "artifact", "is required")
		return
	}
	newest, err := g.parts.Operator.AnnounceVersion(r.Context(), operator.Version{Model: trainer.Name, Version: req.Version, Artifact: req.Artifact})
	switch {
	case err == nil:
		writeDone(w, http.StatusOK, announceAnswer{Trainer: trainer.Name, Version: newest})
	case errors.Is(err, operator.ErrOutcomeUnknown):
		refuse(w, refusal.V1LogOutcomeUnknown, err.Error())
	default:
		refuse(w, refusal.V1LogUnavailable, err.Error())
	}
}
