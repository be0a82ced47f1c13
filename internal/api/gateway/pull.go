package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"woodworks/internal/api/delivery"
	"woodworks/internal/api/rollout"
	"woodworks/internal/requests/refusal"
)

const (
	defaultPullLimit = 64
	maxPullLimit     = 1024
	defaultPullWait  = 10 * time.Second
	maxPullWait      = 60 * time.Second
	// followPollTimeout is the longest wait of one turn while a batch is followed.
	followPollTimeout = 2 * time.Second
	// ndjsonContentType is the content type of answers of one JSON object a line.
	ndjsonContentType = "application/x-ndjson"
)

// PullResponse is the answer to a pull. The samples and the cursor belong together:
// whoever takes the samples must go on with the cursor.
type PullResponse struct {
	Samples []rollout.Result `json:"samples"`
	Cursor  string           `json:"cursor"`
	Open    int              `json:"open"`
	Done    bool             `json:"done"`
}

func (g *Gateway) pullSamples(w http.ResponseWriter, r *http.Request, trainer delivery.Trainer, name string) {
	pull, ok := parsePull(w, r)
	if !ok {
		return
	}
	// A pull may be held for longer than the grace of a stop, which would cut it.
	pull.Stopping = g.deps.Stopping
	if pull.Cursor, ok = g.resolveCursor(w, r, trainer.Name, name); !ok {
		return
	}
	if r.Header.Get("Accept") == ndjsonContentType {
		g.followSamples(w, r, trainer, pull)
		return
	}
	delivered, err := g.deps.Delivery.Deliver(r.Context(), trainer, pull)
	if err != nil {
		writeProblem(w, deliveryProblem(err))
		return
	}
	g.deps.Metrics.Delivered(trainer.Name, len(delivered.Samples))
	writeCompleted(w, http.StatusOK, newPullResponse(delivered))
}

func newPullResponse(delivered delivery.Delivery) PullResponse {
	samples := delivered.Samples
	if samples == nil {
		samples = []rollout.Result{}
	}
	return PullResponse{Samples: samples, Cursor: delivered.Cursor.String(), Open: delivered.Open, Done: delivered.Open == 0}
}

// followSamples sends an answer a line until the batch is delivered. Whoever
// is cut off goes on with the cursor of the last whole line. A planned stop
// ends the stream with its final answer, not by a cut.
func (g *Gateway) followSamples(w http.ResponseWriter, r *http.Request, trainer delivery.Trainer, pull delivery.Pull) {
	w.Header().Set("Content-Type", ndjsonContentType)
	lines := lineWriter{encoder: json.NewEncoder(w), controller: http.NewResponseController(w)}
	for r.Context().Err() == nil {
		if g.stopping() {
			lines.write(problemBody{Error: refusalProblem(refusal.V1StreamStopped,
				"this daemon is being stopped; follow at another with the last cursor")})
			return
		}
		pull.Wait = followPollTimeout
		delivered, err := g.deps.Delivery.Deliver(r.Context(), trainer, pull)
		if err != nil {
			lines.write(problemBody{Error: deliveryProblem(err)})
			return
		}
		if len(delivered.Samples) > 0 || delivered.Open == 0 {
			g.deps.Metrics.Delivered(trainer.Name, len(delivered.Samples))
			if !lines.write(newPullResponse(delivered)) {
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
		writeFieldError(w, name, strconv.Quote(text)+" is not a whole number from "+strconv.FormatInt(lowest, 10)+" to "+strconv.FormatInt(highest, 10))
		return 0, false
	}
	return n, true
}

// resolveCursor reads the cursor of a pull; without one, the batch's start.
func (g *Gateway) resolveCursor(w http.ResponseWriter, r *http.Request, trainer, name string) (rollout.Cursor, bool) {
	text := r.URL.Query().Get("cursor")
	if text == "" {
		header, err := g.deps.Delivery.Find(r.Context(), trainer, name)
		if err != nil {
			writeProblem(w, deliveryProblem(err))
			return rollout.Cursor{}, false
		}
		return rollout.NewCursor(header), true
	}
	cursor, err := rollout.ParseCursor(text)
	if err != nil {
		writeFieldError(w, "cursor", err.Error())
		return rollout.Cursor{}, false
	}
	if cursor.Header.Trainer != trainer || cursor.Header.Name != name {
		writeFieldError(w, "cursor", "belongs to another batch")
		return rollout.Cursor{}, false
	}
	return cursor, true
}
