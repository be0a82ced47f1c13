// Package enginestand is the stand-in for a model engine: continuous batching
// with slots, a step time that grows with the batch, a limited prefix cache,
// priorities, streams that resume and cancel, fenced orders, weight swaps under
// running streams, late load reports and cache events, and KV export.
//
// What it generates is fixed by package truth, so a checker can tell which
// version truly produced each token.
package enginestand

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"woodworks/internal/backend/engine"
	"woodworks/internal/lab/truth"
)

// Config holds an engine's constants.
type Config struct {
	Instance string
	Service  string
	Slots    int
	// BaseStep and StepPerStream make the time of one step.
	BaseStep      time.Duration
	StepPerStream time.Duration
	// TokensPerStep is how many tokens each stream gains in a step.
	TokensPerStep int
	// PrefillPerToken is the cost of each prompt or prefix token not cached.
	PrefillPerToken time.Duration
	// CachePrompts is how many prompts the prefix cache holds.
	CachePrompts int
	// MedianTokens is the median length of samples.
	MedianTokens int
	// SwapTime is how long a weight swap takes; streams pause for SwapPause at
	// its end.
	SwapTime  time.Duration
	SwapPause time.Duration
	// ReportLag is how late /state and cache events are.
	ReportLag time.Duration
	// StoreURL is the weight store's base URL, "" to load without one.
	StoreURL string
	Seed     uint64
}

// DefaultConfig returns constants for short runs. Slot counts and step times
// are our assumption: the users' were cut off in what we received.
func DefaultConfig() Config {
	return Config{
		Slots:           8,
		BaseStep:        8 * time.Millisecond,
		StepPerStream:   time.Millisecond,
		TokensPerStep:   4,
		PrefillPerToken: 20 * time.Microsecond,
		CachePrompts:    32,
		MedianTokens:    120,
		SwapTime:        300 * time.Millisecond,
		SwapPause:       60 * time.Millisecond,
		ReportLag:       150 * time.Millisecond,
	}
}

// stream is one generation request.
type stream struct {
	request  engine.GenerateRequest
	arrived  uint64
	total    int
	produced int
	readyAt  time.Time
	frames   chan engine.Frame
	// gone is closed when the client went away.
	gone <-chan struct{}
}

// Start is one entry of the ledger: a generation that began.
type Start struct {
	ID string `json:"id"`
	// LeavingFor is for how long the engine had been leaving, in milliseconds;
	// -1 if it was not.
	LeavingFor int64 `json:"leaving_for_ms"`
	// At is when it began, in Unix milliseconds.
	At int64 `json:"at_ms"`
}

// Faults is what the engine suffers from.
type Faults struct {
	// Leaving makes the engine report that it leaves.
	Leaving bool `json:"leaving"`
	// FailSwaps is the share of swaps that fail halfway.
	FailSwaps float64 `json:"fail_swaps"`
	// BreakStreams is the share of streams that end without an end mark.
	BreakStreams float64 `json:"break_streams"`
}

// CacheEvent tells that a prompt entered or left the prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prompt   string `json:"prompt"`
	Evicted  bool   `json:"evicted"`
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	mutex        sync.Mutex
	config       Config
	state        engine.State
	reported     engine.State
	waiting      []*stream
	running      []*stream
	pausedUntil  time.Time
	cache        []string
	events       []CacheEvent
	ledger       []Start
	faults       Faults
	leavingSince time.Time
	arrivals     uint64
	random       *rand.Rand
}

// New returns an engine with no weights loaded; Run drives it.
func New(config Config) *Engine {
	state := engine.State{Instance: config.Instance, Service: config.Service, Slots: config.Slots}
	return &Engine{config: config, state: state, reported: state, random: rand.New(rand.NewPCG(config.Seed, 3))}
}

// Run steps the engine until stop is closed.
func (one *Engine) Run(stop <-chan struct{}) {
	lastReport := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-time.After(one.step()):
		}
		if time.Since(lastReport) >= one.config.ReportLag {
			lastReport = time.Now()
			one.publishReport()
		}
	}
}

// publishReport makes the present state the one that /state shows.
func (one *Engine) publishReport() {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	one.state.Running = len(one.running)
	one.state.Waiting = len(one.waiting)
	step := one.stepTime(max(1, len(one.running)))
	one.state.TokensPerSecond = float64(one.config.TokensPerStep) / step.Seconds()
	one.reported = one.state
}

func (one *Engine) stepTime(batch int) time.Duration {
	return one.config.BaseStep + time.Duration(batch)*one.config.StepPerStream
}

// step advances every running stream and returns the time until the next.
func (one *Engine) step() time.Duration {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	now := time.Now()
	one.dropGone()
	one.admit(now)
	if now.Before(one.pausedUntil) || one.state.Version == 0 {
		return one.config.BaseStep
	}
	var still []*stream
	for _, held := range one.running {
		if now.Before(held.readyAt) || one.advance(held) {
			still = append(still, held)
		}
	}
	one.running = still
	return one.stepTime(len(one.running))
}

func (one *Engine) dropGone() {
	isHere := func(held *stream) bool {
		select {
		case <-held.gone:
			close(held.frames)
			return false
		default:
			return true
		}
	}
	one.running = keep(one.running, isHere)
	one.waiting = keep(one.waiting, isHere)
}

func keep(streams []*stream, wanted func(*stream) bool) []*stream {
	var kept []*stream
	for _, held := range streams {
		if wanted(held) {
			kept = append(kept, held)
		}
	}
	return kept
}

// admit fills free slots by priority, then by arrival.
func (one *Engine) admit(now time.Time) {
	sort.SliceStable(one.waiting, func(i, j int) bool {
		if one.waiting[i].request.Priority != one.waiting[j].request.Priority {
			return one.waiting[i].request.Priority > one.waiting[j].request.Priority
		}
		return one.waiting[i].arrived < one.waiting[j].arrived
	})
	for len(one.running) < one.config.Slots && len(one.waiting) > 0 {
		next := one.waiting[0]
		one.waiting = one.waiting[1:]
		next.readyAt = now.Add(one.prefill(next))
		one.running = append(one.running, next)
	}
}

// prefill returns the time to compute what the cache lacks, and caches the prompt.
func (one *Engine) prefill(next *stream) time.Duration {
	tokens := len(next.request.Prompt)/4 + len(next.request.Prefix)
	if one.cached(next.request.Prompt) {
		tokens -= len(next.request.Prompt) / 4
	}
	if next.request.KVSource != "" {
		tokens -= len(next.request.Prefix)
	}
	one.remember(next.request.Prompt)
	return time.Duration(max(tokens, 0)) * one.config.PrefillPerToken
}

func (one *Engine) cached(prompt string) bool {
	for _, held := range one.cache {
		if held == prompt {
			return true
		}
	}
	return false
}

// remember moves a prompt to the cache's fresh end.
func (one *Engine) remember(prompt string) {
	var others []string
	for _, held := range one.cache {
		if held != prompt {
			others = append(others, held)
		}
	}
	if len(others) == len(one.cache) {
		one.event(prompt, false)
	}
	one.cache = append(others, prompt)
	if len(one.cache) > one.config.CachePrompts {
		one.event(one.cache[0], true)
		one.cache = one.cache[1:]
	}
}

// cacheEventGap: each so many events one is lost.
const cacheEventGap = 17

const maxCacheEvents = 1024

func (one *Engine) event(prompt string, evicted bool) {
	sequence := uint64(1)
	if len(one.events) > 0 {
		sequence = one.events[len(one.events)-1].Sequence + 1
	}
	if sequence%cacheEventGap == 0 {
		sequence++
	}
	one.events = append(one.events, CacheEvent{Sequence: sequence, Prompt: prompt, Evicted: evicted})
	if len(one.events) > maxCacheEvents {
		one.events = one.events[1:]
	}
}

// advance gives a stream its next tokens and reports whether it goes on.
func (one *Engine) advance(held *stream) bool {
	request := held.request
	rest := min(held.total, request.MaxTokens) - held.produced
	count := min(one.config.TokensPerStep, rest)
	if count > 0 {
		frame := engine.Frame{Version: one.state.Version}
		for range count {
			position := len(request.Prefix) + held.produced
			frame.Tokens = append(frame.Tokens, truth.Token(request.Model, request.Prompt, request.Seed, one.state.Version, position))
			held.produced++
		}
		held.frames <- frame
	}
	if held.produced < min(held.total, request.MaxTokens) {
		return true
	}
	if one.random.Float64() >= one.faults.BreakStreams {
		end := engine.EndStop
		if held.total > request.MaxTokens {
			end = engine.EndLength
		}
		held.frames <- engine.Frame{End: end, Total: held.produced}
	}
	close(held.frames)
	return false
}
