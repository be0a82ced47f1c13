package enginestand

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"woodworks/internal/backend/engine"
	"woodworks/internal/httpclient"
	"woodworks/internal/lab/truth"
)

const (
	// maxWaiting bounds the engine's own queue.
	maxWaiting = 256
	// frameBuffer holds a stream's frames that its client has not yet read.
	frameBuffer = 1 << 14
	// storeRetry is the wait after the weight store refused.
	storeRetry = 50 * time.Millisecond
	storeTries = 200
)

// Routes returns the engine's interface.
func (one *Engine) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/state", Handler: one.getState},
		{Method: http.MethodPost, Path: "/claim", Handler: one.claim},
		{Method: http.MethodPost, Path: "/load", Handler: one.load},
		{Method: http.MethodPost, Path: "/generate", Handler: one.generate},
		{Method: http.MethodGet, Path: "/cache/events", Handler: one.cacheEvents},
		{Method: http.MethodGet, Path: "/admin/ledger", Handler: one.getLedger},
		{Method: http.MethodPost, Path: "/admin/faults", Handler: one.setFaults},
	}
}

func (one *Engine) getState(writer http.ResponseWriter, _ *http.Request) {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	writeState(writer, one.reported)
}

func writeState(writer http.ResponseWriter, state engine.State) {
	_ = json.NewEncoder(writer).Encode(state)
}

func (one *Engine) getLedger(writer http.ResponseWriter, _ *http.Request) {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	ledger := one.ledger
	if ledger == nil {
		ledger = []Start{}
	}
	_ = json.NewEncoder(writer).Encode(ledger)
}

func (one *Engine) cacheEvents(writer http.ResponseWriter, request *http.Request) {
	from, _ := strconv.ParseUint(request.URL.Query().Get("from"), 10, 64)
	one.mutex.Lock()
	defer one.mutex.Unlock()
	events := []CacheEvent{}
	for _, event := range one.events {
		if event.Sequence >= from {
			events = append(events, event)
		}
	}
	_ = json.NewEncoder(writer).Encode(events)
}

func (one *Engine) setFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	one.mutex.Lock()
	defer one.mutex.Unlock()
	if faults.Leaving && !one.faults.Leaving {
		one.leavingSince = time.Now()
	}
	one.faults = faults
	one.state.Leaving = faults.Leaving
	_, _ = writer.Write([]byte("{}\n"))
}

// claim raises the fence if the claim is higher.
func (one *Engine) claim(writer http.ResponseWriter, request *http.Request) {
	var wanted engine.ClaimRequest
	if err := json.NewDecoder(request.Body).Decode(&wanted); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	one.mutex.Lock()
	defer one.mutex.Unlock()
	if wanted.Fence <= one.state.Fence {
		one.refuseFence(writer)
		return
	}
	one.state.Fence = wanted.Fence
	one.state.FenceOwner = wanted.Owner
	writeState(writer, one.state)
}

func (one *Engine) refuseFence(writer http.ResponseWriter) {
	writer.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(writer).Encode(engine.FenceAnswer{Fence: one.state.Fence, Owner: one.state.FenceOwner})
}

// load begins a swap, if the order carries the fence in force.
func (one *Engine) load(writer http.ResponseWriter, request *http.Request) {
	var wanted engine.LoadRequest
	if err := json.NewDecoder(request.Body).Decode(&wanted); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	one.mutex.Lock()
	defer one.mutex.Unlock()
	if wanted.Fence != one.state.Fence {
		one.refuseFence(writer)
		return
	}
	if !one.state.Loading {
		one.state.Loading = true
		go one.swap(wanted)
	}
	writeState(writer, one.state)
}

// swap fetches the weights, then pauses the streams and goes on with the new
// version. A swap that fails halfway leaves no whole version.
func (one *Engine) swap(order engine.LoadRequest) {
	fetched := one.fetch(order.Artifact)
	time.Sleep(one.config.SwapTime)
	one.mutex.Lock()
	defer one.mutex.Unlock()
	one.state.Loading = false
	if !fetched {
		return
	}
	if one.random.Float64() < one.faults.FailSwaps {
		one.state.Version = 0
		one.endAll("weight swap failed halfway")
		return
	}
	if one.state.Model != order.Model {
		one.endAll("another model was loaded")
	}
	one.state.Model = order.Model
	one.state.Version = order.Version
	one.pausedUntil = time.Now().Add(one.config.SwapPause)
}

// endAll ends every stream with an error.
func (one *Engine) endAll(reason string) {
	for _, held := range append(one.running, one.waiting...) {
		held.frames <- engine.Frame{Error: reason}
		close(held.frames)
	}
	one.running = nil
	one.waiting = nil
}

// fetch reads an artifact from the weight store, waiting out its rate limit.
func (one *Engine) fetch(artifact string) bool {
	if one.config.StoreURL == "" {
		return true
	}
	client := httpclient.New(one.config.StoreURL)
	defer client.Close()
	for range storeTries {
		ctx, cancel := contextFor(2 * time.Second)
		response, err := client.Do(ctx, http.MethodGet, "/artifacts/"+artifact, nil)
		if err == nil {
			_ = response.Body.Close()
		}
		cancel()
		if err == nil {
			return true
		}
		time.Sleep(storeRetry)
	}
	return false
}

// generate streams one sample as a JSON frame a line.
func (one *Engine) generate(writer http.ResponseWriter, request *http.Request) {
	var wanted engine.GenerateRequest
	if err := json.NewDecoder(request.Body).Decode(&wanted); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	held, refusal := one.enqueue(wanted, request.Context().Done())
	if refusal != "" {
		http.Error(writer, refusal, http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(writer)
	controller := http.NewResponseController(writer)
	_ = controller.Flush()
	for frame := range held.frames {
		if encoder.Encode(frame) != nil {
			continue
		}
		if len(held.frames) == 0 {
			_ = controller.Flush()
		}
	}
}

func (one *Engine) enqueue(wanted engine.GenerateRequest, gone <-chan struct{}) (*stream, string) {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	switch {
	case one.state.Version == 0:
		return nil, "no whole version is loaded"
	case one.state.Model != wanted.Model:
		return nil, "model " + one.state.Model + " is loaded"
	case len(one.waiting) >= maxWaiting:
		return nil, "queue is full"
	}
	leavingFor := int64(-1)
	if one.state.Leaving {
		leavingFor = time.Since(one.leavingSince).Milliseconds()
	}
	one.ledger = append(one.ledger, Start{ID: wanted.ID, LeavingFor: leavingFor, At: time.Now().UnixMilli()})
	one.arrivals++
	length := truth.Length(wanted.Prompt, wanted.Seed, one.config.MedianTokens)
	held := &stream{
		request: wanted,
		arrived: one.arrivals,
		total:   max(length-len(wanted.Prefix), 0),
		frames:  make(chan engine.Frame, frameBuffer),
		gone:    gone,
	}
	one.waiting = append(one.waiting, held)
	return held, ""
}
