package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one run of a request at an engine.
type Run struct {
	ID, Engine, Body string
	After            int64
	Begun            time.Time
	// Ended is zero while the engine works on it. Last is the number of the last event made.
	Ended time.Time
	Last  int64
}

// Engine is a model replica: it answers with events, each EventGap, and is sound unless Crash is called.
type Engine struct {
	Lab      *Lab
	ID       string
	Service  string
	Model    string
	Slots    int
	EventGap time.Duration
	// Events returns how many events the answer to a request has.
	Events func(id string) int64
	// OnRun, if not nil, is called with each run that begins.
	OnRun func(*Run)

	server  *http.Server
	address string
	born    time.Time

	mu      sync.Mutex
	runs    []*Run
	running int
	dead    bool
}

// Start lists the engine once it serves.
func (e *Engine) Start() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address, e.born = listener.Addr().String(), time.Now()
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	e.Lab.List(e.ID, map[string]any{"Service": e.Service, "Address": e.address, "Zone": "z", "Version": "v1", "Slots": e.Slots,
		"State": "ready", "ColdRemainingMs": 0, "Seq": 1, "born": e.born.UnixMilli(), "Models": []map[string]any{{"Name": e.Model, "Version": 1}}})
	return nil
}

// heartbeats is how long an entry outlasts its replica: three heartbeats.
const heartbeats = 3 * 1200 * time.Millisecond

// Crash ends the engine's process at once. Its entry goes after three heartbeats.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.dead = true
	e.mu.Unlock()
	_ = e.server.Close()
	e.Lab.Note("%s crashes", e.ID)
	time.AfterFunc(heartbeats, func() { e.Lab.List(e.ID, nil) })
}

// Leave takes the engine's entry off the list without stating that it is draining, serves on for a time and
// ends the process.
func (e *Engine) Leave(serveOn time.Duration) {
	at := e.Lab.List(e.ID, nil)
	e.Lab.NoteAt(at, "%s leaves: its entry is removed", e.ID)
	time.Sleep(serveOn)
	e.mu.Lock()
	e.dead = true
	e.mu.Unlock()
	_ = e.server.Close()
	e.Lab.Note("%s ends, as planned", e.ID)
}

// Running returns how many requests the engine works on.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return 0
	}
	return e.running
}

// Runs returns all runs so far.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, len(e.runs))
	for i, run := range e.runs {
		runs[i] = *run
	}
	return runs
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	switch req.URL.Path {
	case "/report":
		e.report(w)
		return
	case "/order":
		w.WriteHeader(http.StatusOK) // it has the only version
		return
	}
	id := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := req.Header.Get("X-Expect-Replica"); expected != "" && expected != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run, ok := e.begin(id, string(body), req.Header.Get("Last-Event-Id"))
	if !ok {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end(run)
	if e.OnRun != nil {
		e.OnRun(run)
	}
	e.stream(w, req, run)
}

func (e *Engine) begin(id, body, after string) (*Run, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead || e.running >= 2*e.Slots {
		return nil, false
	}
	e.running++
	number, _ := strconv.ParseInt(after, 10, 64)
	run := &Run{ID: id, Engine: e.ID, Body: body, After: number, Begun: time.Now(), Last: number}
	e.runs = append(e.runs, run)
	return run, true
}

func (e *Engine) end(run *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	run.Ended = time.Now()
}

func (e *Engine) stream(w http.ResponseWriter, req *http.Request, run *Run) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Server-Stamp", e.ID+"."+run.ID)
	w.Header().Set("X-Weight-Versions", "1")
	for number := run.After + 1; number <= e.Events(run.ID); number++ {
		select {
		case <-time.After(e.EventGap):
		case <-req.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s:%d\n\n", number, run.ID, number); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		e.mu.Lock()
		run.Last = number
		e.mu.Unlock()
	}
}

func (e *Engine) report(w http.ResponseWriter) {
	running := e.Running()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Stage": "both", "Busy": false, "Seq": 0, "Waiting": 0, "Running": running,
		"KvUsed": 0, "KvTotal": 100000, "Handles": 0, "born": e.born.UnixMilli(),
		"Models": []map[string]any{{"Name": e.Model, "Version": 1, "Adapters": []string{}}}})
}
