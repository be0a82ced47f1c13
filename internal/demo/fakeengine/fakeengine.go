// Package fakeengine is a model engine that speaks the product's engine protocol:
// slots, a time per token, streams that resume after an event, fenced orders, changes
// of weights under running streams, and faults.
//
// What it generates is a function of everything that may determine it, Token and
// Length, so that a checker can tell from the tokens alone which version of the
// weights produced them.
//
// # Usage
//
//	engine := fakeengine.New(fakeengine.Shape{ID: "e1", Slots: 8, TokenTime: time.Millisecond})
//	http.Serve(listener, engine)
package fakeengine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"woodworks/internal/api/rollout"
	"woodworks/internal/api/standalone"
)

// Shape holds an engine's constants.
type Shape struct {
	ID    string
	Slots int
	// TokenTime is the time between two tokens of a stream.
	TokenTime time.Duration
	// MedianTokens is the median length of samples.
	MedianTokens int
	// LoadTime is how long a change of weights takes.
	LoadTime time.Duration
	// TokensPerEvent is how many tokens an event holds.
	TokensPerEvent int
}

// Start is one generation that began.
type Start struct {
	ID string
	// After is the event that it resumed after, -1 for a fresh one.
	After int64
	At    time.Time
}

// Order is an order that the engine took.
type Order struct {
	standalone.EngineOrder
	At time.Time
}

// Engine is safe for concurrent use. It implements http.Handler.
type Engine struct {
	shape Shape
	// Loaded, if not nil, is told of each version that the engine holds.
	Loaded func(model string, version int64)

	mu       sync.Mutex
	versions map[string]int64
	busy     bool
	taken    int64
	running  int
	starts   []Start
	orders   []Order
	breaking int
}

// New returns an engine that serves version 1 of every model.
func New(shape Shape) *Engine { return &Engine{shape: shape, versions: map[string]int64{}} }

// Starts returns the generations that began.
func (e *Engine) Starts() []Start {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Start(nil), e.starts...)
}

// Orders returns the orders taken.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// Break cuts the next n streams after their first event.
func (e *Engine) Break(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breaking = n
}

func (e *Engine) versionOf(model string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.versions[model], 1)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	names := standalone.HeaderNames()
	if expected := r.Header.Get(names.ExpectReplica); expected != "" && expected != e.shape.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET " + standalone.StatePath:
		e.state(w)
	case "POST " + standalone.OrderPath:
		e.order(w, r)
	case "POST " + rollout.GeneratePath:
		e.generate(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *Engine) state(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := standalone.EngineState{Busy: e.busy, Orders: e.taken, Versions: e.versions, Running: e.running}
	_ = json.NewEncoder(w).Encode(state) // The daemon asks again.
}

// order takes a change of weights, which is done after the load time.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order standalone.EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Model == "" || order.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.busy || order.AfterOrders != e.taken:
		w.WriteHeader(http.StatusConflict)
		return
	case e.fenced(order.Fence):
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	e.taken++
	e.busy = true
	e.orders = append(e.orders, Order{EngineOrder: order, At: time.Now()})
	time.AfterFunc(e.shape.LoadTime, func() { e.loaded(order) })
	w.WriteHeader(http.StatusAccepted)
}

// fenced reports whether a higher fence has been seen. The mutex is held.
func (e *Engine) fenced(fence int64) bool {
	return len(e.orders) > 0 && fence < e.orders[len(e.orders)-1].Fence
}

func (e *Engine) loaded(order standalone.EngineOrder) {
	e.mu.Lock()
	e.busy = false
	e.versions[order.Model] = max(e.versions[order.Model], order.Version)
	e.mu.Unlock()
	if e.Loaded != nil {
		e.Loaded(order.Model, order.Version)
	}
}

// begin takes a slot, or reports false.
func (e *Engine) begin(id string, after int64) (breaks, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.shape.Slots {
		return false, false
	}
	e.running++
	e.starts = append(e.starts, Start{ID: id, After: after, At: time.Now()})
	if e.breaking > 0 {
		e.breaking--
		return true, true
	}
	return false, true
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// generate streams a sample, from the event after the one that is known.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	names := standalone.HeaderNames()
	body, err := io.ReadAll(r.Body)
	var req rollout.GenerateRequest
	if err != nil || json.Unmarshal(body, &req) != nil || req.MaxTokens < 1 {
		w.WriteHeader(http.StatusUnprocessableEntity)
		return
	}
	after := int64(-1)
	if text := r.Header.Get(names.LastEventID); text != "" {
		after, _ = strconv.ParseInt(text, 10, 64)
	}
	id := r.Header.Get(names.RequestID)
	breaks, ok := e.begin(id, after)
	if !ok {
		w.Header().Set(names.NotExecuted, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end()
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set(names.RequestID, id)
	header.Set(names.Signature, e.shape.ID)
	header.Set(names.WeightsVersion, strconv.FormatInt(e.versionOf(req.Model), 10))
	w.WriteHeader(http.StatusOK)
	e.stream(w, r, req, after, breaks)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req rollout.GenerateRequest, after int64, breaks bool) {
	total := min(Length(req.Prompt, req.Seed, e.shape.MedianTokens), req.MaxTokens)
	flusher := http.NewResponseController(w)
	events := int64((total + e.shape.TokensPerEvent - 1) / e.shape.TokensPerEvent)
	for number := after + 1; number < events; number++ {
		first := int(number) * e.shape.TokensPerEvent
		count := min(e.shape.TokensPerEvent, total-first)
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(count) * e.shape.TokenTime):
		}
		e.writeEvent(w, req, number, first, count, number == events-1)
		_ = flusher.Flush()
		if breaks {
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) writeEvent(w io.Writer, req rollout.GenerateRequest, number int64, first, count int, last bool) {
	frame := rollout.Frame{Version: e.versionOf(req.Model)}
	for position := first; position < first+count; position++ {
		token := Token(req.Model, req.Prompt, req.Seed, uint64(frame.Version), position)
		frame.Tokens = append(frame.Tokens, token)
	}
	if last {
		frame.End = "stop"
	}
	data, err := json.Marshal(frame)
	if err != nil {
		panic(err) // numbers are always encodable
	}
	versionField := strings.ToLower(standalone.HeaderNames().WeightsVersion)
	_, _ = fmt.Fprintf(w, "%s: %d\nid: %d\ndata: %s\n\n", versionField, frame.Version, number, data)
}
