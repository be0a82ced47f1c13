package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"woodworks/internal/api/delivery"
	"woodworks/internal/api/operator"
	"woodworks/internal/api/policy"
	"woodworks/internal/api/rollout"
	"woodworks/internal/requests/refusal"
)

const (
	defaultPullLimit = 64
	maxPullLimit     = 1024
	defaultPullWait  = 10 * time.Second
	maxPullWait      = 60 * time.Second
	// followWait is the longest wait of one turn while a batch is followed.
	followWait = 2 * time.Second
	// streamType is the content type of answers of one JSON object a line.
	streamType = "application/x-ndjson"
)

// Submitted is the answer to a submitted batch.
type Submitted struct {
	Trainer string `json:"trainer"`
	Name    string `json:"name"`
	Samples int    `json:"samples"`
	// Cursor is where the first pull starts.
	Cursor string `json:"cursor"`
}

// Pulled is the answer to a pull. The samples and the cursor belong together:
// whoever takes the samples must go on with the cursor.
type Pulled struct {
	Samples []rollout.Result `json:"samples"`
	Cursor  string           `json:"cursor"`
	Open    int              `json:"open"`
	Done    bool             `json:"done"`
}

// trainerOf returns what is in force for the trainer that a caller may act for.
// Another trainer is told apart from an unknown one only to callers that may
// act for it.
func (g *Gateway) trainerOf(w http.ResponseWriter, caller policy.Caller, name, field string) (delivery.Trainer, bool) {
	if caller.Trainer != name && !caller.Operator {
		writeProblem(w, http.StatusForbidden, Problem{
			Code: "not_your_trainer", Field: field,
			Message: field + ": caller " + strconv.Quote(caller.Name) + " may not act for trainer " + strconv.Quote(name),
		})
		return delivery.Trainer{}, false
	}
	configuration, ok := g.parts.Configuration()
	if !ok {
		refuse(w, refusal.V1NoConfiguration, "this daemon knows no policies yet")
		return delivery.Trainer{}, false
	}
	declared, ok := configuration.Policies.Trainers[name]
	if !ok {
		writeProblem(w, http.StatusNotFound, Problem{Code: "unknown_trainer", Field: field,
			Message: field + ": no policy declares trainer " + strconv.Quote(name)})
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
	if err := req.Check(); err != nil {
		var fault *rollout.FieldError
		if errors.As(err, &fault) {
			badField(w, fault.Field, fault.Reason)
		}
		return
	}
	trainer, ok := g.trainerOf(w, caller, req.Trainer, "trainer")
	if !ok {
		return
	}
	header, err := g.parts.Delivery.Submit(r.Context(), trainer, req)
	switch {
	case err == nil:
		writeDone(w, http.StatusAccepted, submitted(rollout.NewCursor(header)))
	case errors.Is(err, delivery.ErrConflict):
		writeProblem(w, http.StatusConflict, Problem{Code: "name_taken", Field: "name",
			Message: "name: another batch of this trainer has this name and other content"})
	case errors.Is(err, delivery.ErrUnavailable):
		refuse(w, refusal.V1LogUnavailable, err.Error())
	default:
		refuse(w, refusal.V1BatchUnsure, err.Error()+"; submit it again under the same name")
	}
}

func submitted(cursor rollout.Cursor) Submitted {
	header := cursor.Header
	return Submitted{Trainer: header.Trainer, Name: header.Name, Samples: header.Samples, Cursor: cursor.String()}
}

// cursorOf reads the cursor of a pull; without one, the batch's start.
func (g *Gateway) cursorOf(w http.ResponseWriter, r *http.Request, trainer, name string) (rollout.Cursor, bool) {
	text := r.URL.Query().Get("cursor")
	if text == "" {
		header, err := g.parts.Delivery.Find(r.Context(), trainer, name)
		if err != nil {
			writeDeliveryError(w, err)
			return rollout.Cursor{}, false
		}
		return rollout.NewCursor(header), true
	}
	cursor, err := rollout.ParseCursor(text)
	if err != nil {
		badField(w, "cursor", err.Error())
		return rollout.Cursor{}, false
	}
	if cursor.Header.Trainer != trainer || cursor.Header.Name != name {
		badField(w, "cursor", "belongs to another batch")
		return rollout.Cursor{}, false
	}
	return cursor, true
}

// deliveryProblem is the answer to a pull that failed. Nothing was handed over:
// the same cursor may be used again.
func deliveryProblem(err error) (int, Problem) {
	problem := Problem{Message: err.Error(), Outcome: NotExecuted}
	switch {
	case errors.Is(err, delivery.ErrUnknownBatch):
		problem.Code = "unknown_batch"
		return http.StatusNotFound, problem
	case errors.Is(err, delivery.ErrTooManyRounds):
		problem.Code = "samples_unusable"
		return http.StatusBadGateway, problem
	default:
		problem = problemFor(refusal.V1DeliveryFailed, err.Error())
		problem.Outcome = NotExecuted
		return refusal.V1DeliveryFailed.Status, problem
	}
}

func writeDeliveryError(w http.ResponseWriter, err error) {
	status, problem := deliveryProblem(err)
	writeProblem(w, status, problem)
}

func (g *Gateway) rolloutStatus(w http.ResponseWriter, r *http.Request, caller policy.Caller) {
	variables := pathvar.Vars(r)
	if _, ok := g.trainerOf(w, caller, variables["trainer"], "trainer"); !ok {
		return
	}
	if cursor, ok := g.cursorOf(w, r, variables["trainer"], variables["name"]); ok {
		writeJSON(w, http.StatusOK, submitted(cursor))
	}
}

// endRollout gives a batch up: no more of its samples are made.
func (g *Gateway) endRollout(w http.ResponseWriter, r *http.Request, caller policy.Caller) {
	variables := pathvar.Vars(r)
	if _, ok := g.trainerOf(w, caller, variables["trainer"], "trainer"); !ok {
		return
	}
	err := g.parts.Delivery.End(r.Context(), variables["trainer"], variables["name"])
	switch {
	case err == nil:
		writeDone(w, http.StatusOK, statusWord{Status: "ended"})
	case errors.Is(err, delivery.ErrUnsure):
		refuse(w, refusal.V1EndUnsure, err.Error()+"; end it again")
	default:
		writeDeliveryError(w, err)
	}
}

func (g *Gateway) pullSamples(w http.ResponseWriter, r *http.Request, caller policy.Caller) {
	variables := pathvar.Vars(r)
	trainer, ok := g.trainerOf(w, caller, variables["trainer"], "trainer")
	if !ok {
		return
	}
	pull, ok := parsePull(w, r)
	if !ok {
		return
	}
	// A pull may be held for longer than the grace of a stop, which would cut it.
	pull.Stopping = g.parts.Stopping
	if pull.Cursor, ok = g.cursorOf(w, r, variables["trainer"], variables["name"]); !ok {
		return
	}
	if r.Header.Get("Accept") == streamType {
		g.followSamples(w, r, trainer, pull)
		return
	}
	delivered, err := g.parts.Delivery.Deliver(r.Context(), trainer, pull)
	if err != nil {
		writeDeliveryError(w, err)
		return
	}
	g.parts.Metrics.Delivered(trainer.Name, len(delivered.Samples))
	writeDone(w, http.StatusOK, pulled(delivered))
}

func pulled(delivered delivery.Delivery) Pulled {
	samples := delivered.Samples
	if samples == nil {
		samples = []rollout.Result{}
	}
	return Pulled{Samples: samples, Cursor: delivered.Cursor.String(), Open: delivered.Open, Done: delivered.Open == 0}
}

// followSamples sends an answer a line until the batch is delivered. Whoever
// is cut off goes on with the cursor of the last whole line. A planned stop
// ends the stream with its final answer, not by a cut.
func (g *Gateway) followSamples(w http.ResponseWriter, r *http.Request, trainer delivery.Trainer, pull delivery.Pull) {
	w.Header().Set("Content-Type", streamType)
	lines := lineWriter{encoder: json.NewEncoder(w), controller: http.NewResponseController(w)}
	for r.Context().Err() == nil {
		if g.stopping() {
			lines.write(problemBody{Error: problemFor(refusal.V1FollowEnded,
				"this daemon is being stopped; follow at another with the last cursor")})
			return
		}
		pull.Wait = followWait
		delivered, err := g.parts.Delivery.Deliver(r.Context(), trainer, pull)
		if err != nil {
			_, problem := deliveryProblem(err)
			lines.write(problemBody{Error: problem})
			return
		}
		if len(delivered.Samples) > 0 || delivered.Open == 0 {
			g.parts.Metrics.Delivered(trainer.Name, len(delivered.Samples))
			if !lines.write(pulled(delivered)) {
				return
			}
		}
		if delivered.Open == 0 {
			return
		}
		pull.Cursor = delivered.Cursor
	}
}

// lineWriter writes values as lines that arrive one by one.
type lineWriter struct {
	encoder    *json.Encoder
	controller *http.ResponseController
}

func (l lineWriter) write(value any) bool {
	return l.encoder.Encode(value) == nil && l.controller.Flush() == nil
}

func parsePull(w http.ResponseWriter, r *http.Request) (delivery.Pull, bool) {
	version, ok := queryNumber(w, r, "training_version", 0, 0, 1<<62)
	if !ok {
		return delivery.Pull{}, false
	}
	limit, ok := queryNumber(w, r, "max", defaultPullLimit, 1, maxPullLimit)
	if !ok {
		return delivery.Pull{}, false
	}
	wait, ok := queryNumber(w, r, "wait_ms", defaultPullWait.Milliseconds(), 0, maxPullWait.Milliseconds())
	if !ok {
		return delivery.Pull{}, false
	}
	return delivery.Pull{Version: version, Limit: int(limit), Wait: time.Duration(wait) * time.Millisecond}, true
}

// queryNumber reads a whole number from the query, within bounds.
func queryNumber(w http.ResponseWriter, r *http.Request, name string, fallback, lowest, highest int64) (int64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, true
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < lowest || n > highest {
		badField(w, name, strconv.Quote(text)+" is not a whole number from "+strconv.FormatInt(lowest, 10)+" to "+strconv.FormatInt(highest, 10))
		return 0, false
	}
	return n, true
}

type announceRequest struct {
	Version  int64  `json:"version"`
	Artifact string `json:"artifact"`
}

type announceAnswer struct {
	Trainer string `json:"trainer"`
	Version int64  `json:"version"`
}

// announceVersion takes in that a trainer published weights. Versions only
// rise: an older one is answered with the newest known.
func (g *Gateway) announceVersion(w http.ResponseWriter, r *http.Request, caller policy.Caller) {
	name := pathvar.Vars(r)["trainer"]
	if _, ok := g.trainerOf(w, caller, name, "trainer"); !ok {
		return
	}
	var req announceRequest
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
	newest, err := g.parts.Operator.Announce(r.Context(), operator.Version{Model: name, Version: req.Version, Artifact: req.Artifact})
	switch {
	case err == nil:
		writeDone(w, http.StatusOK, announceAnswer{Trainer: name, Version: newest})
	case errors.Is(err, operator.ErrUnknown):
		refuse(w, refusal.V1LogUnknown, err.Error())
	default:
		refuse(w, refusal.V1LogUnavailable, err.Error())
	}
}
