// Package fakebackend is a replica of a plain service. It remembers what it executed,
// for checkers to compare with what callers were told.
//
// # Usage
//
//	backend := fakebackend.New("game-1", 2*time.Millisecond)
//	http.Serve(listener, backend)
package fakebackend

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"woodworks/internal/api/standalone"
)

// Execution is one request that the back end executed.
type Execution struct {
	Body string
}

// Reply is the body of an answer.
type Reply struct {
	Echo string `json:"echo"`
}

// Fault is what befalls a request after it was executed.
type Fault int

// Faults.
const (
	// None answers.
	None Fault = iota
	// Cut closes the connection instead of answering.
	Cut
	// Truncate answers with a part of the body.
	Truncate
	// Decline answers that the request is not executed, and does not execute it.
	Decline
)

// Backend is safe for concurrent use. It implements http.Handler.
type Backend struct {
	id    string
	delay time.Duration

	mu       sync.Mutex
	executed []Execution
	faults   []Fault
	// ends, if not nil, is told of each execution and reports whether that has ended the
	// process.
	ends func(e Execution) bool
}

// EndOn sets what is told of each execution and reports whether that has ended the
// process, so that there is no answer.
func (b *Backend) EndOn(ends func(e Execution) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ends = ends
}

// New returns a back end that takes the delay for each request.
func New(id string, delay time.Duration) *Backend { return &Backend{id: id, delay: delay} }

// Executed returns what was executed.
func (b *Backend) Executed() []Execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Execution(nil), b.executed...)
}

// Befall sets what befalls the next requests, one each.
func (b *Backend) Befall(faults ...Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = faults
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	names := standalone.HeaderNames()
	if expected := r.Header.Get(names.ExpectReplica); expected != "" && expected != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(names.RequestID)
	e := Execution{Body: string(body)}
	fault := b.execute(e)
	if fault == Decline {
		w.Header().Set(names.NotExecuted, "busy")
		w.Header().Set(names.RequestID, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(b.delay)
	b.mu.Lock()
	ends := b.ends
	b.mu.Unlock()
	if fault == Cut || ends != nil && ends(e) {
		panic(http.ErrAbortHandler)
	}
	b.answer(w, id, e, fault)
}

// answer answers an executed request, unless a fault truncates the answer.
func (b *Backend) answer(w http.ResponseWriter, id string, e Execution, fault Fault) {
	names := standalone.HeaderNames()
	encoded, err := json.Marshal(Reply{Echo: e.Body})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(names.Signature, b.id)
	w.Header().Set(names.RequestID, id)
	if fault == Truncate {
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write(encoded)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(encoded)
}

// execute enters a request, from where on it has run, unless it is declined.
func (b *Backend) execute(e Execution) Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	fault := None
	if len(b.faults) > 0 {
		fault, b.faults = b.faults[0], b.faults[1:]
	}
	if fault != Decline {
		b.executed = append(b.executed, e)
	}
	return fault
}
