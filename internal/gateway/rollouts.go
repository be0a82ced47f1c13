package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"woodworks/internal/announce"
	"woodworks/internal/backend/engine"
	"woodworks/internal/calls"
	"woodworks/internal/delivery"
	"woodworks/internal/policy"
	"woodworks/internal/rollout"
	"woodworks/internal/samplestream"
)

const (
	defaultPullLimit = 64
	maxPullLimit     = 1024
	defaultPullWait  = 10 * time.Second
	maxPullWait      = 60 * time.Second
	// streamType is the content type of answers of one JSON object a line.
	streamType = "application/x-ndjson"
)

type submitAnswer struct {
	Trainer string `json:"trainer"`
	Name    string `json:"name"`
	Samples int    `json:"samples"`
	// Cursor is where the first pull starts.
	Cursor string `json:"cursor"`
}

// trainerOf returns the trainer that a caller may act for. Another trainer is
// told apart from an unknown one only to callers that may act for it.
func (gateway *Gateway) trainerOf(writer http.ResponseWriter, caller policy.Caller, name, field string) (policy.Trainer, bool) {
	trainer, known := gateway.catalog.Policy().Trainers[name]
	if caller.Trainer != name && !caller.Operator {
		writeProblem(writer, http.StatusForbidden, Problem{
			Code: "not_your_trainer", Field: field,
			Message: field + ": caller " + strconv.Quote(caller.Name) + " may not act for trainer " + strconv.Quote(name),
		})
		return policy.Trainer{}, false
	}
	if !known {
		writeProblem(writer, http.StatusNotFound, Problem{Code: "unknown_trainer", Field: field, Message: field + ": no policy declares trainer " + strconv.Quote(name)})
		return policy.Trainer{}, false
	}
	return trainer, true
}

func (gateway *Gateway) submitRollout(writer http.ResponseWriter, request *http.Request, caller policy.Caller) {
	var wanted rollout.Request
	if !decodeJSON(writer, request, &wanted) {
		return
	}
	if err := wanted.Check(); err != nil {
		var fault *rollout.FieldError
		if errors.As(err, &fault) {
			badField(writer, fault.Field, fault.Reason)
		}
		return
	}
	if _, known := gateway.trainerOf(writer, caller, wanted.Trainer, "trainer"); !known {
		return
	}
	header, err := gateway.parts.Desk.Submit(request.Context(), wanted)
	switch {
	case err == nil:
		cursor := rollout.NewCursor(header)
		writer.Header().Set(OutcomeHeader, string(calls.Completed))
		writeJSON(writer, http.StatusAccepted, submitAnswer{Trainer: header.Trainer, Name: header.Name, Samples: header.Samples, Cursor: cursor.String()})
	case errors.Is(err, delivery.ErrConflict):
		writeProblem(writer, http.StatusConflict, Problem{Code: "name_taken", Field: "name", Message: "name: another batch of this trainer has this name and other content"})
	case errors.Is(err, delivery.ErrNotPlaced):
		unavailable(writer, "no_room", "no daemon could take in the batch", refuseRetryAfter)
	default:
		writeProblem(writer, http.StatusServiceUnavailable, Problem{
			Code: "batch_partly_placed", Outcome: calls.Unknown, RetryAfterMillis: refuseRetryAfter.Milliseconds(),
			Message: "a part of the batch was taken in; submit it again under the same name",
		})
	}
}

// cursorOf reads the cursor of a pull; without one, the batch's start.
func (gateway *Gateway) cursorOf(writer http.ResponseWriter, request *http.Request, trainer, name string) (rollout.Cursor, bool) {
	text := request.URL.Query().Get("cursor")
	if text == "" {
		header, err := gateway.parts.Desk.Find(request.Context(), trainer, name)
		if err != nil {
			gateway.writeDeliveryError(writer, err)
			return rollout.Cursor{}, false
		}
		return rollout.NewCursor(header), true
	}
	cursor, err := rollout.ParseCursor(text)
	if err != nil {
		badField(writer, "cursor", err.Error())
		return rollout.Cursor{}, false
	}
	if cursor.Header.Trainer != trainer || cursor.Header.Name != name {
		badField(writer, "cursor", "belongs to another batch")
		return rollout.Cursor{}, false
	}
	return cursor, true
}

func (gateway *Gateway) writeDeliveryError(writer http.ResponseWriter, err error) {
	if errors.Is(err, delivery.ErrUnknownBatch) {
		writeProblem(writer, http.StatusNotFound, Problem{
			Code: "unknown_batch", RetryAfterMillis: refuseRetryAfter.Milliseconds(),
			Message: "no daemon holds this batch whole; submit it again under the same name and go on with the same cursor",
		})
		return
	}
	unavailable(writer, "delivery_failed", err.Error(), refuseRetryAfter)
}

func (gateway *Gateway) rolloutStatus(writer http.ResponseWriter, request *http.Request, caller policy.Caller) {
	variables := pathvar.Vars(request)
	if _, known := gateway.trainerOf(writer, caller, variables["trainer"], "trainer"); !known {
		return
	}
	cursor, ok := gateway.cursorOf(writer, request, variables["trainer"], variables["name"])
	if !ok {
		return
	}
	header := cursor.Header
	writeJSON(writer, http.StatusOK, submitAnswer{Trainer: header.Trainer, Name: header.Name, Samples: header.Samples, Cursor: cursor.String()})
}

// pullAnswer is the answer to a pull. The samples and the cursor belong
// together: whoever takes the samples must go on with the cursor.
type pullAnswer struct {
	Samples []rollout.Result `json:"samples"`
	Cursor  string           `json:"cursor"`
	Open    int              `json:"open"`
	Done    bool             `json:"done"`
}

func (gateway *Gateway) pullSamples(writer http.ResponseWriter, request *http.Request, caller policy.Caller) {
	variables := pathvar.Vars(request)
	if _, known := gateway.trainerOf(writer, caller, variables["trainer"], "trainer"); !known {
		return
	}
	pull, ok := gateway.parsePull(writer, request)
	if !ok {
		return
	}
	pull.Cursor, ok = gateway.cursorOf(writer, request, variables["trainer"], variables["name"])
	if !ok {
		return
	}
	if request.Header.Get("Accept") == streamType {
		gateway.followSamples(writer, request, pull)
		return
	}
	delivered, err := gateway.parts.Desk.Deliver(request.Context(), pull)
	if err != nil {
		gateway.writeDeliveryError(writer, err)
		return
	}
	gateway.parts.Metrics.Delivered(variables["trainer"], len(delivered.Samples))
	writer.Header().Set(OutcomeHeader, string(calls.Completed))
	writeJSON(writer, http.StatusOK, answerOf(delivered))
}

func answerOf(delivered delivery.Delivery) pullAnswer {
	samples := delivered.Samples
	if samples == nil {
		samples = []rollout.Result{}
	}
	return pullAnswer{Samples: samples, Cursor: delivered.Cursor.String(), Open: delivered.Open, Done: delivered.Open == 0}
}

// followSamples sends an answer a line until the batch is delivered. Whoever
// is cut off goes on with the cursor of the last whole line.
func (gateway *Gateway) followSamples(writer http.ResponseWriter, request *http.Request, pull delivery.Pull) {
	writer.Header().Set("Content-Type", streamType)
	encoder := json.NewEncoder(writer)
	controller := http.NewResponseController(writer)
	for request.Context().Err() == nil && !gateway.stopping.Load() {
		delivered, err := gateway.parts.Desk.Deliver(request.Context(), pull)
		if err != nil {
			_ = encoder.Encode(problemBody{Error: Problem{Code: "delivery_failed", Message: err.Error(), Outcome: calls.Unknown}})
			return
		}
		if len(delivered.Samples) > 0 || delivered.Open == 0 {
			gateway.parts.Metrics.Delivered(pull.Cursor.Header.Trainer, len(delivered.Samples))
			if encoder.Encode(answerOf(delivered)) != nil || controller.Flush() != nil {
				return
			}
		}
		if delivered.Open == 0 {
			return
		}
		pull.Cursor = delivered.Cursor
	}
	if gateway.stopping.Load() {
		// A planned stop ends the stream with its final answer, not by a cut.
		_ = encoder.Encode(problemBody{Error: Problem{
			Code: "stopping", Outcome: calls.Unknown, RetryAfterMillis: refuseRetryAfter.Milliseconds(),
			Message: "this daemon is being stopped; follow at another with the last cursor",
		}})
	}
}

func (gateway *Gateway) parsePull(writer http.ResponseWriter, request *http.Request) (delivery.Pull, bool) {
	version, ok := queryNumber(writer, request, "training_version", 0, 0, 1<<62)
	if !ok {
		return delivery.Pull{}, false
	}
	limit, ok := queryNumber(writer, request, "max", defaultPullLimit, 1, maxPullLimit)
	if !ok {
		return delivery.Pull{}, false
	}
	wait, ok := queryNumber(writer, request, "wait_ms", uint64(defaultPullWait.Milliseconds()), 0, uint64(maxPullWait.Milliseconds()))
	if !ok {
		return delivery.Pull{}, false
	}
	return delivery.Pull{Version: version, Limit: int(limit), Wait: time.Duration(wait) * time.Millisecond}, true
}

// queryNumber reads a whole number from the query, within bounds.
func queryNumber(writer http.ResponseWriter, request *http.Request, name string, fallback, lowest, highest uint64) (uint64, bool) {
	text := request.URL.Query().Get(name)
	if text == "" {
		return fallback, true
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number < lowest || number > highest {
		badField(writer, name, strconv.Quote(text)+" is not a whole number from "+strconv.FormatUint(lowest, 10)+" to "+strconv.FormatUint(highest, 10))
		return 0, false
	}
	return number, true
}

type announceRequest struct {
	Version  uint64 `json:"version"`
	Artifact string `json:"artifact"`
}

type announceAnswer struct {
	Trainer string `json:"trainer"`
	Version uint64 `json:"version"`
}

// announceVersion takes in that a trainer published weights. Versions only
// rise: an older one is answered with the newest known.
func (gateway *Gateway) announceVersion(writer http.ResponseWriter, request *http.Request, caller policy.Caller) {
	name := pathvar.Vars(request)["trainer"]
	if _, known := gateway.trainerOf(writer, caller, name, "trainer"); !known {
		return
	}
	var wanted announceRequest
	if !decodeJSON(writer, request, &wanted) {
		return
	}
	if wanted.Version == 0 {
		badField(writer, "version", "must be at least 1")
		return
	}
	if wanted.Artifact == "" {
		badField(writer, "artifact", "is required")
		return
	}
	gateway.parts.Peers.Announce(announce.Announcement{
		Key:     announce.Key{Kind: announce.TrainerVersion, Subject: name},
		Version: wanted.Version,
		Detail:  wanted.Artifact,
	})
	newest, _ := gateway.parts.Board.TrainerVersionOf(name)
	writer.Header().Set(OutcomeHeader, string(calls.Completed))
	writeJSON(writer, http.StatusOK, announceAnswer{Trainer: name, Version: newest})
}

type sampleRequest struct {
	Trainer   string `json:"trainer"`
	Prompt    string `json:"prompt"`
	Seed      uint64 `json:"seed"`
	MaxTokens int    `json:"max_tokens"`
	// TimeoutMillis bounds the whole request, 0 for the default.
	TimeoutMillis int64 `json:"timeout_ms,omitempty"`
}

const (
	defaultSampleTimeout = 5 * time.Minute
	maxSampleTimeout     = 2 * time.Hour
)

// sampleLine is one line of a sample's stream. The last line of a whole sample
// has End and Segments; a stream without it is incomplete.
type sampleLine struct {
	Version  uint64            `json:"version,omitempty"`
	Tokens   []uint32          `json:"tokens,omitempty"`
	End      engine.EndReason  `json:"end,omitempty"`
	Total    int               `json:"total,omitempty"`
	Segments []rollout.Segment `json:"segments,omitempty"`
	Error    *Problem          `json:"error,omitempty"`
}

func (wanted sampleRequest) check() error {
	switch {
	case wanted.Prompt == "":
		return &rollout.FieldError{Field: "prompt", Reason: "is required"}
	case wanted.MaxTokens < 1 || wanted.MaxTokens > rollout.MaxTokensLimit:
		return &rollout.FieldError{Field: "max_tokens", Reason: strconv.Itoa(wanted.MaxTokens) + " is not between 1 and " + strconv.Itoa(rollout.MaxTokensLimit)}
	case wanted.TimeoutMillis < 0 || wanted.TimeoutMillis > maxSampleTimeout.Milliseconds():
		return &rollout.FieldError{Field: "timeout_ms", Reason: strconv.FormatInt(wanted.TimeoutMillis, 10) + " is not between 0 and " + strconv.FormatInt(maxSampleTimeout.Milliseconds(), 10)}
	}
	return nil
}

func (gateway *Gateway) streamSample(writer http.ResponseWriter, request *http.Request, caller policy.Caller) {
	var wanted sampleRequest
	if !decodeJSON(writer, request, &wanted) {
		return
	}
	if err := wanted.check(); err != nil {
		var fault *rollout.FieldError
		if errors.As(err, &fault) {
			badField(writer, fault.Field, fault.Reason)
		}
		return
	}
	trainer, known := gateway.trainerOf(writer, caller, wanted.Trainer, "trainer")
	if !known {
		return
	}
	timeout := defaultSampleTimeout
	if wanted.TimeoutMillis > 0 {
		timeout = time.Duration(wanted.TimeoutMillis) * time.Millisecond
	}
	ctx, cancel := contextWithTimeout(request, timeout)
	defer cancel()
	stream := &sampleWriter{writer: writer, encoder: json.NewEncoder(writer), controller: http.NewResponseController(writer)}
	result, err := gateway.parts.Streamer.Stream(ctx, samplestream.Request{
		Trainer: trainer, Prompt: wanted.Prompt, Seed: wanted.Seed, MaxTokens: wanted.MaxTokens,
	}, stream.frame)
	if err != nil {
		stream.fail(err)
		return
	}
	stream.finish(result)
}
