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
	// followPollTimeout bounds the wait for samples in each poll of followSamples.
	followPollTimeout = 2 * time.Second
	// ndjsonContentType is the content type of answers that hold one JSON object per line.
	ndjsonContentType = "application/x-ndjson"
)

// PullResponse is the answer to a pull. The cursor records that its samples were delivered: a
// caller that has processed the samples must use this cursor for its next pull. Open is the number
// of samples of the batch that are not delivered yet.
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
	// A pull may wait longer than the grace period of a stop, so the stop has to end the wait.
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

// followSamples writes a line for each delivery until the whole batch is delivered. After a broken
// connection the caller continues with the cursor of the last complete line. A planned stop ends
// the stream with a problem as its last line, rather than by breaking the connection.
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

// lineWriter writes values as lines of JSON and flushes each of them.
type lineWriter struct {
	encoder    *json.Encoder
	controller *http.ResponseController
}

// write reports whether the line was written and flushed.
func (l lineWriter) write(value any) bool {
	return l.encoder.Encode(value) == nil && l.controller.Flush() == nil
}

// parsePull returns the pull that the query asks for, without its cursor. It writes a problem and
// returns false if a parameter is invalid.
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

// queryNumber returns an integer parameter of the query, or fallback if it is missing. If it is
// malformed or not between lowest and highest, queryNumber writes a problem and returns false.
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

// resolveCursor returns the cursor of the query, or the start of the batch if the query has none.
// If there is no such batch or the cursor is not valid for it, resolveCursor writes a problem and
// returns false.
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
