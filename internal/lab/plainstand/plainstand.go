// Package plainstand is the stand-in for a plain back end. It keeps a ledger
// of what it truly executed, for checkers to compare with what callers were
// told.
package plainstand

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"woodworks/internal/backend/engine"
	"woodworks/internal/backend/plain"
)

// Execution is one request that the back end executed.
type Execution struct {
	Operation string `json:"operation"`
	Attempt   string `json:"attempt"`
	Body      string `json:"body"`
	// LeavingFor is for how long the back end had been leaving, in
	// milliseconds; -1 if it was not.
	LeavingFor int64 `json:"leaving_for_ms"`
	// At is when it began, in Unix milliseconds.
	At int64 `json:"at_ms"`
}

// Reply is the back end's answer; Echo shows whose request it answers.
type Reply struct {
	Instance string `json:"instance"`
	Echo     string `json:"echo"`
}

// Faults is what the back end suffers from.
type Faults struct {
	// CloseAfterRead is the share of requests that are executed and then cut
	// off without an answer.
	CloseAfterRead float64 `json:"close_after_read"`
	// Truncate is the share of answers that end early.
	Truncate float64 `json:"truncate"`
	// Leaving makes the back end report that it leaves.
	Leaving bool `json:"leaving"`
}

// Backend is the stand-in. It is safe for concurrent use.
type Backend struct {
	mutex        sync.Mutex
	instance     string
	service      string
	delay        time.Duration
	ledger       []Execution
	faults       Faults
	leavingSince time.Time
	running      int
	random       *rand.Rand
}

// New returns a back end that takes the delay for each request.
func New(instance, service string, delay time.Duration, seed uint64) *Backend {
	return &Backend{instance: instance, service: service, delay: delay, random: rand.New(rand.NewPCG(seed, 2))}
}

// Routes returns the back end's interface.
func (backend *Backend) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/state", Handler: backend.state},
		{Method: http.MethodPost, Path: "/:operation", Handler: backend.execute},
		{Method: http.MethodGet, Path: "/admin/ledger", Handler: backend.readLedger},
		{Method: http.MethodPost, Path: "/admin/faults", Handler: backend.setFaults},
	}
}

func (backend *Backend) state(writer http.ResponseWriter, _ *http.Request) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	_ = json.NewEncoder(writer).Encode(engine.State{
		Instance: backend.instance, Service: backend.service,
		Leaving: backend.faults.Leaving, Running: backend.running,
	})
}

func (backend *Backend) setFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	if faults.Leaving && !backend.faults.Leaving {
		backend.leavingSince = time.Now()
	}
	backend.faults = faults
	_, _ = writer.Write([]byte("{}\n"))
}

func (backend *Backend) readLedger(writer http.ResponseWriter, _ *http.Request) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	ledger := backend.ledger
	if ledger == nil {
		ledger = []Execution{}
	}
	_ = json.NewEncoder(writer).Encode(ledger)
}

func (backend *Backend) execute(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	operation := pathvar.Vars(request)["operation"]
	cut, truncate := backend.record(operation, request.Header.Get(plain.AttemptHeader), string(body))
	time.Sleep(backend.delay)
	backend.mutex.Lock()
	backend.running--
	backend.mutex.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
	encoded, _ := json.Marshal(Reply{Instance: backend.instance, Echo: string(body)})
	writer.Header().Set("Content-Type", "application/json")
	if truncate {
		writer.Header().Set("Content-Length", "100000")
		_, _ = writer.Write(encoded)
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = writer.Write(encoded)
}

// record enters the request into the ledger: from here on it has run.
func (backend *Backend) record(operation, attempt, body string) (cut, truncate bool) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	leavingFor := int64(-1)
	if backend.faults.Leaving {
		leavingFor = time.Since(backend.leavingSince).Milliseconds()
	}
	backend.ledger = append(backend.ledger, Execution{Operation: operation, Attempt: attempt, Body: body, LeavingFor: leavingFor, At: time.Now().UnixMilli()})
	backend.running++
	cut = backend.random.Float64() < backend.faults.CloseAfterRead
	truncate = backend.random.Float64() < backend.faults.Truncate
	return cut, truncate
}
