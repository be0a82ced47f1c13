package rollout

import (
	"sort"

	"woodworks/internal/backend/engine"
)

// Segment is a run of tokens that one weight version produced.
type Segment struct {
	Version uint64 `json:"version"`
	Tokens  int    `json:"tokens"`
}

// Result is one finished sample.
type Result struct {
	Index    int              `json:"index"`
	PromptID string           `json:"prompt_id"`
	Seed     uint64           `json:"seed"`
	Tokens   []uint32         `json:"tokens"`
	Segments []Segment        `json:"segments"`
	End      engine.EndReason `json:"end"`
}

// OldestVersion returns the lowest version among the segments.
func (result Result) OldestVersion() uint64 { return oldest(result.Segments) }

func oldest(segments []Segment) uint64 {
	lowest := uint64(0)
	for _, segment := range segments {
		if lowest == 0 || segment.Version < lowest {
			lowest = segment.Version
		}
	}
	return lowest
}

// Partial is a sample under way: what an engine has produced so far. It is
// enough to go on with on another engine.
type Partial struct {
	Index    int
	Tokens   []uint32
	Segments []Segment
}

// Append adds a frame's tokens; neighbouring segments of one version are one.
func (partial *Partial) Append(frame engine.Frame) {
	if len(frame.Tokens) == 0 {
		return
	}
	partial.Tokens = append(partial.Tokens, frame.Tokens...)
	last := len(partial.Segments) - 1
	if last >= 0 && partial.Segments[last].Version == frame.Version {
		partial.Segments[last].Tokens += len(frame.Tokens)
		return
	}
	partial.Segments = append(partial.Segments, Segment{Version: frame.Version, Tokens: len(frame.Tokens)})
}

func (partial Partial) clone() Partial {
	return Partial{
		Index:    partial.Index,
		Tokens:   append([]uint32{}, partial.Tokens...),
		Segments: append([]Segment{}, partial.Segments...),
	}
}

// Judge decides by the trainer's policy whether a sample whose oldest segment
// has this version may still be delivered.
type Judge func(oldestVersion uint64) bool

type sampleState uint8

const (
	waiting sampleState = iota
	running
	finished
	taken
)

type sample struct {
	spec  SampleSpec
	state sampleState
	// base is the furthest that an ended try got.
	base   Partial
	result Result
	// tries holds what each try under way has produced, base included; the
	// first to finish wins.
	tries map[string]*Partial
}

// furthest returns the longest of base and the tries under way.
func (held *sample) furthest() Partial {
	longest := held.base
	for _, partial := range held.tries {
		if len(partial.Tokens) > len(longest.Tokens) {
			longest = *partial
		}
	}
	return longest
}

// settle ends all tries and forgets what they produced.
func (held *sample) settle(state sampleState, result Result) {
	held.state = state
	held.result = result
	held.base = Partial{Index: held.spec.Index}
	held.tries = map[string]*Partial{}
}

// Chunk is the state of one chunk at the daemon that generates it. It is not
// safe for concurrent use.
//
// Invariant: a sample has at most one result at a time, and a result that the
// judge refuses is never returned by Collect.
type Chunk struct {
	Spec    ChunkSpec
	samples []*sample
	// Discarded counts results that became too stale before delivery.
	Discarded int
	// WastedTokens counts tokens generated and thrown away.
	WastedTokens int
}

// NewChunk returns a chunk of which nothing is generated.
func NewChunk(spec ChunkSpec) *Chunk {
	chunk := &Chunk{Spec: spec}
	for _, sampleSpec := range spec.Samples {
		chunk.samples = append(chunk.samples, &sample{
			spec:  sampleSpec,
			base:  Partial{Index: sampleSpec.Index},
			tries: map[string]*Partial{},
		})
	}
	return chunk
}

// at returns the sample with a batch-wide index, nil if it is not in the chunk.
func (chunk *Chunk) at(index int) *sample {
	first := index - chunk.Spec.Samples[0].Index
	if first < 0 || first >= len(chunk.samples) {
		return nil
	}
	return chunk.samples[first]
}

// Startable returns the samples that wait for an engine, those expected to be
// longest first.
func (chunk *Chunk) Startable() []SampleSpec {
	var specs []SampleSpec
	for _, held := range chunk.samples {
		if held.state == waiting {
			specs = append(specs, held.spec)
		}
	}
	sort.SliceStable(specs, func(i, j int) bool { return specs[i].Expected > specs[j].Expected })
	return specs
}

// Progressed returns how far a sample is: the tokens of its furthest try, how
// many are expected in all, and the length of its prompt in bytes.
func (chunk *Chunk) Progressed(index int) (generated, expected, promptBytes int) {
	held := chunk.at(index)
	if held == nil {
		return 0, 0, 0
	}
	return len(held.furthest().Tokens), held.spec.Expected, len(held.spec.Prompt)
}

// Start records a try and returns what earlier tries produced, to go on from.
// If the judge refuses that, it is thrown away first. It reports false if the
// sample needs no try.
func (chunk *Chunk) Start(index int, try string, judge Judge) (Partial, bool) {
	held := chunk.at(index)
	if held == nil || held.state == finished || held.state == taken {
		return Partial{}, false
	}
	from := held.furthest()
	if len(from.Segments) > 0 && !judge(oldest(from.Segments)) {
		chunk.WastedTokens += len(from.Tokens)
		from = Partial{Index: index}
		held.base = from
	}
	held.state = running
	own := from.clone()
	held.tries[try] = &own
	return from.clone(), true
}

// Progress adds a frame to what a try has produced, and returns the oldest
// version in it. It reports false if the try is no longer wanted and should be
// cancelled.
func (chunk *Chunk) Progress(index int, try string, frame engine.Frame) (oldestVersion uint64, wanted bool) {
	held := chunk.at(index)
	if held == nil || held.tries[try] == nil {
		return 0, false
	}
	held.tries[try].Append(frame)
	return oldest(held.tries[try].Segments), true
}

// Finish records that a try ended with a whole sample. The first wins; it
// reports whether this one did.
func (chunk *Chunk) Finish(index int, try string, end engine.EndReason) bool {
	held := chunk.at(index)
	if held == nil || held.tries[try] == nil {
		return false
	}
	whole := held.tries[try]
	for other, partial := range held.tries {
		if other != try {
			chunk.WastedTokens += len(partial.Tokens)
		}
	}
	held.settle(finished, Result{
		Index:    index,
		PromptID: held.spec.PromptID,
		Seed:     held.spec.Seed,
		Tokens:   whole.Tokens,
		Segments: whole.Segments,
		End:      end,
	})
	return true
}

// Abort records that a try ended without a whole sample. The sample waits
// again once no try is left; what the try produced is kept to go on from.
func (chunk *Chunk) Abort(index int, try string) {
	held := chunk.at(index)
	if held == nil || held.tries[try] == nil {
		return
	}
	if len(held.tries[try].Tokens) > len(held.base.Tokens) {
		held.base = *held.tries[try]
	}
	delete(held.tries, try)
	if held.state == running && len(held.tries) == 0 {
		held.state = waiting
	}
}

// Take marks samples as taken by the trainer and frees their tokens.
func (chunk *Chunk) Take(indices []int) {
	for _, index := range indices {
		held := chunk.at(index)
		if held != nil {
			held.settle(taken, Result{})
		}
	}
}

// DropStale throws away the results that the judge refuses; they will be
// generated again. It returns how many there were.
func (chunk *Chunk) DropStale(judge Judge) int {
	dropped := 0
	for _, held := range chunk.samples {
		if held.state != finished || judge(held.result.OldestVersion()) {
			continue
		}
		chunk.WastedTokens += len(held.result.Tokens)
		held.settle(waiting, Result{})
		dropped++
	}
	chunk.Discarded += dropped
	return dropped
}

// Collect returns up to limit results that the judge accepts, and takes none:
// the trainer's next cursor does. Results that the judge refuses are dropped.
func (chunk *Chunk) Collect(judge Judge, limit int) []Result {
	chunk.DropStale(judge)
	var results []Result
	for _, held := range chunk.samples {
		if held.state == finished && len(results) < limit {
			results = append(results, held.result)
		}
	}
	return results
}

// Ready returns how many results wait for delivery.
func (chunk *Chunk) Ready() int { return chunk.countIn(finished) }

// Open returns how many samples are not yet taken.
func (chunk *Chunk) Open() int { return len(chunk.samples) - chunk.countIn(taken) }

func (chunk *Chunk) countIn(state sampleState) int {
	count := 0
	for _, held := range chunk.samples {
		if held.state == state {
			count++
		}
	}
	return count
}

// Snapshot is a chunk's state for another daemon.
type Snapshot struct {
	Spec     ChunkSpec
	Results  []Result
	Partials []Partial
	Taken    []int
}

// Held lists what a holder has, so that a snapshot need not repeat it.
type Held struct {
	Known    bool
	Finished []int
	Taken    []int
}

// Held returns what this chunk holds.
func (chunk *Chunk) Held() Held {
	held := Held{Known: true}
	for _, one := range chunk.samples {
		switch one.state {
		case finished:
			held.Finished = append(held.Finished, one.spec.Index)
		case taken:
			held.Taken = append(held.Taken, one.spec.Index)
		}
	}
	return held
}

// SnapshotFor returns what a holder lacks; partials only on request, as they
// are large and change often.
func (chunk *Chunk) SnapshotFor(other Held, withPartials bool) Snapshot {
	has := map[int]bool{}
	for _, index := range other.Finished {
		has[index] = true
	}
	for _, index := range other.Taken {
		has[index] = true
	}
	snapshot := Snapshot{Spec: chunk.Spec, Taken: chunk.Held().Taken}
	for _, held := range chunk.samples {
		switch {
		case held.state == finished && !has[held.spec.Index]:
			snapshot.Results = append(snapshot.Results, held.result)
		case withPartials && len(held.furthest().Tokens) > 0:
			snapshot.Partials = append(snapshot.Partials, held.furthest().clone())
		}
	}
	return snapshot
}

// IsNews reports whether a snapshot holds more than the specification.
func (snapshot Snapshot) IsNews(other Held) bool {
	return !other.Known || len(snapshot.Results) > 0 || len(snapshot.Partials) > 0 || len(snapshot.Taken) > len(other.Taken)
}

// Merge takes over results and partials from another holder. A sample that has
// a result here keeps it.
func (chunk *Chunk) Merge(snapshot Snapshot) {
	chunk.Take(snapshot.Taken)
	for _, result := range snapshot.Results {
		held := chunk.at(result.Index)
		if held == nil || held.state == finished || held.state == taken {
			continue
		}
		held.settle(finished, result)
	}
	for _, partial := range snapshot.Partials {
		held := chunk.at(partial.Index)
		if held != nil && held.state == waiting && len(partial.Tokens) > len(held.base.Tokens) {
			held.base = partial.clone()
		}
	}
}
