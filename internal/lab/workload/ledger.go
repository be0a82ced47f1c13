// Package workload drives a floor as its users would, and checks every promise
// against what truly happened.
package workload

import (
	"fmt"
	"sync"
	"time"

	"woodworks/internal/lab/truth"
	"woodworks/internal/rollout"
)

// Promise names one of the users' promises.
type Promise string

// The promises, in the order of the users' list.
const (
	TruthfulVersions Promise = "sample names its versions"
	BoundedStaleness Promise = "no sample over its bound"
	ExactlyOnce      Promise = "each sample exactly once"
	WholeAnswers     Promise = "whole answer to own request"
	TrueRefusals     Promise = "not executed is true"
	AtMostOnce       Promise = "non-repeatable at most once"
	LeavingIdle      Promise = "leaving back end gets no work"
	NothingCut       Promise = "planned stop cuts nothing"
	Configuration    Promise = "configuration in force, never reverts"
)

// Promises lists all of them.
var Promises = []Promise{
	TruthfulVersions, BoundedStaleness, ExactlyOnce, WholeAnswers, TrueRefusals,
	AtMostOnce, LeavingIdle, NothingCut, Configuration,
}

// maxDetails bounds the violations described in full.
const maxDetails = 20

// Ledger counts checks and violations a promise. It is safe for concurrent use.
type Ledger struct {
	mutex    sync.Mutex
	checked  map[Promise]int
	violated map[Promise]int
	details  []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{checked: map[Promise]int{}, violated: map[Promise]int{}}
}

// Check counts one check; where it does not hold, the description is kept.
func (ledger *Ledger) Check(promise Promise, holds bool, format string, arguments ...any) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.checked[promise]++
	if holds {
		return
	}
	ledger.violated[promise]++
	if len(ledger.details) < maxDetails {
		ledger.details = append(ledger.details, fmt.Sprintf("%s: ", promise)+fmt.Sprintf(format, arguments...))
	}
}

// Count returns the checks and violations of a promise.
func (ledger *Ledger) Count(promise Promise) (checked, violated int) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.checked[promise], ledger.violated[promise]
}

// Violations returns the violations of all promises and their descriptions.
func (ledger *Ledger) Violations() (int, []string) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	total := 0
	for _, count := range ledger.violated {
		total += count
	}
	return total, append([]string{}, ledger.details...)
}

// Truthful reports whether every token comes from the version that its segment
// names, and which position is the first that does not.
func Truthful(model, prompt string, seed uint64, tokens []uint32, segments []rollout.Segment) (bool, int) {
	position := 0
	for _, segment := range segments {
		for range segment.Tokens {
			if position >= len(tokens) || tokens[position] != truth.Token(model, prompt, seed, segment.Version, position) {
				return false, position
			}
			position++
		}
	}
	return position == len(tokens), position
}

// CheckSample checks one delivered sample against the truth. The version is
// the one that the trainer trained when it asked.
func (ledger *Ledger) CheckSample(request rollout.Request, sample rollout.Result, medianTokens int, bound, version uint64) {
	prompt := request.Prompts[sample.Index/request.SamplesPerPrompt]
	name := fmt.Sprintf("%s sample %d", request.Name, sample.Index)
	seed := rollout.SampleSeed(request.Seed, sample.Index)
	truthful, position := Truthful(request.Trainer, prompt.Text, seed, sample.Tokens, sample.Segments)
	oldest := sample.OldestVersion()
	ledger.Check(TruthfulVersions, truthful, "%s: token %d does not come from the named version", name, position)
	ledger.Check(BoundedStaleness, oldest+bound >= version, "%s: version %d while version %d is trained with bound %d", name, oldest, version, bound)
	want := min(truth.Length(prompt.Text, seed, medianTokens), request.MaxTokens)
	ledger.Check(WholeAnswers, len(sample.Tokens) == want && sample.PromptID == prompt.ID, "%s: %d tokens, want %d", name, len(sample.Tokens), want)
}

// Statistics gathers what a run measured. It is safe for concurrent use.
type Statistics struct {
	mutex sync.Mutex
	// Delivered counts samples, Staleness how many had each staleness.
	Delivered int
	Staleness map[uint64]int
	Versions  map[uint64]bool
	Idle      time.Duration
	Batches   int
	Refusals  map[string]int
	Latencies map[string][]time.Duration
}

// NewStatistics returns empty statistics.
func NewStatistics() *Statistics {
	return &Statistics{Staleness: map[uint64]int{}, Versions: map[uint64]bool{}, Refusals: map[string]int{}, Latencies: map[string][]time.Duration{}}
}

func (statistics *Statistics) sample(sample rollout.Result, version uint64) {
	statistics.mutex.Lock()
	defer statistics.mutex.Unlock()
	statistics.Delivered++
	oldest := sample.OldestVersion()
	if version >= oldest {
		statistics.Staleness[version-oldest]++
	}
	for _, segment := range sample.Segments {
		statistics.Versions[segment.Version] = true
	}
}

func (statistics *Statistics) idle(duration time.Duration) {
	statistics.mutex.Lock()
	defer statistics.mutex.Unlock()
	statistics.Idle += duration
}

func (statistics *Statistics) batch() {
	statistics.mutex.Lock()
	defer statistics.mutex.Unlock()
	statistics.Batches++
}

func (statistics *Statistics) refusal(code string) {
	statistics.mutex.Lock()
	defer statistics.mutex.Unlock()
	statistics.Refusals[code]++
}

func (statistics *Statistics) latency(kind string, took time.Duration) {
	statistics.mutex.Lock()
	defer statistics.mutex.Unlock()
	statistics.Latencies[kind] = append(statistics.Latencies[kind], took)
}

// Read gives exclusive access to the statistics.
func (statistics *Statistics) Read(reader func(*Statistics)) {
	statistics.mutex.Lock()
	defer statistics.mutex.Unlock()
	reader(statistics)
}
