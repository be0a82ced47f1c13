package rollout_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woodworks/internal/api/rollout"
	"woodworks/internal/batches/batch"
	"woodworks/internal/daemon/testseed"
)

func init() { testseed.Fix() }

func request(prompts, samples int) rollout.Request {
	wanted := rollout.Request{Trainer: "assessor", Name: "step-1", SamplesPerPrompt: samples, MaxTokens: 100}
	for i := range prompts {
		wanted.Prompts = append(wanted.Prompts, rollout.Prompt{ID: fmt.Sprint("p", i), Text: "text"})
	}
	return wanted
}

func TestParsedCursorEqualsTheEncodedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		header := rollout.HeaderOf(request(rapid.IntRange(1, 60).Draw(t, "prompts"), 3))
		cursor := rollout.NewCursor(header)
		taken := map[int]bool{}
		for range rapid.IntRange(0, 30).Draw(t, "takes") {
			index := rapid.IntRange(0, header.Samples-1).Draw(t, "index")
			cursor = cursor.Take(index)
			taken[index] = true
		}
		read, err := rollout.ParseCursor(cursor.String())
		if err != nil || read.Header != header || countTaken(read) != len(taken) {
			t.Fatalf("read %+v, %v", read, err)
		}
		for index := range header.Samples {
			if read.Taken(index) != taken[index] {
				t.Fatalf("sample %d: %t", index, read.Taken(index))
			}
		}
	})
}

func TestDamagedCursorsAreRejected(t *testing.T) {
	is := is.New(t)
	text := rollout.NewCursor(rollout.HeaderOf(request(4, 4))).String()
	for i := range text {
		damaged := text[:i] + string(text[i]^1) + text[i+1:]
		_, err := rollout.ParseCursor(damaged)
		is.True(err != nil)
		_, err = rollout.ParseCursor(text[:i])
		is.True(err != nil)
	}
}

func FuzzParseCursor(f *testing.F) {
	f.Add(rollout.NewCursor(rollout.HeaderOf(request(4, 4))).String())
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		cursor, err := rollout.ParseCursor(text)
		if err == nil && countTaken(cursor) > cursor.Header.Samples {
			t.Fatalf("%d of %d samples taken", countTaken(cursor), cursor.Header.Samples)
		}
	})
}

var names = rollout.ItemHeaders{TokenUsage: "Usage", LengthHint: "Hint"}

// trainerModel is the state of one trainer with its batch: the submitted jobs, the taken samples
// and the version being trained.
type trainerModel struct {
	header  rollout.Header
	jobs    []*batch.Batch
	cursor  rollout.Cursor
	version int64
	bound   int64
	taken   map[int]bool
}

func newTrainerModel(t *rapid.T) *trainerModel {
	wanted := request(rapid.IntRange(1, 4).Draw(t, "prompts"), rapid.IntRange(1, 3).Draw(t, "samples"))
	header := rollout.HeaderOf(wanted)
	m := &trainerModel{header: header, cursor: rollout.NewCursor(header), version: 3, bound: 1, taken: map[int]bool{}}
	m.submit(rollout.FirstRound(wanted, header, m.version-m.bound, names))
	return m
}

// submit adds a job. As in the ledger, only the first job with an ID counts.
func (m *trainerModel) submit(job *batch.Submission) {
	for _, known := range m.jobs {
		if known.ID == job.ID {
			return
		}
	}
	m.jobs = append(m.jobs, &batch.Batch{Submission: *job, HasResult: make([]bool, len(job.Items))})
}

func (m *trainerModel) rounds() []rollout.RoundResults {
	var rounds []rollout.RoundResults
	for _, job := range m.jobs {
		rounds = append(rounds, resultsOf(job))
	}
	return rounds
}

// resultsOf returns the results of a batch job by sample.
func resultsOf(job *batch.Batch) rollout.RoundResults {
	round := rollout.RoundResults{}
	for i := range job.Items {
		if sample, ours := rollout.SampleIndex(job.Items[i].ID); ours {
			round[sample] = nil
		}
	}
	for i := range job.Results {
		result := job.Results[i]
		if sample, ours := rollout.SampleIndex(job.Items[result.Item].ID); ours {
			round[sample] = &result
		}
	}
	return round
}

func (m *trainerModel) accepts(oldest int64) bool { return m.version-oldest <= m.bound }

// finish adds a result of a random item of a random job, if it has none yet.
func (m *trainerModel) finish(t *rapid.T) {
	job := m.jobs[rapid.IntRange(0, len(m.jobs)-1).Draw(t, "job")]
	item := rapid.IntRange(0, len(job.Items)-1).Draw(t, "item")
	if job.HasResult[item] {
		return
	}
	result := batch.Result{Item: item, Outcome: batch.Done}
	if rapid.IntRange(0, 5).Draw(t, "dies") == 0 {
		result.Outcome = batch.Dead
	} else {
		version := rapid.Int64Range(job.MinVersion, max(m.version, job.MinVersion)).Draw(t, "version")
		result.Versions = []int64{version}
		result.Text = fmt.Appendf(nil, `{"version":%d,"tokens":[%d]}`+"\n"+`{"version":%d,"tokens":[],"end":"stop"}`, version, item, version)
	}
	job.HasResult[item] = true
	job.Results = append(job.Results, result)
}

// deliver serves a pull as a daemon does that may not know the latest rounds.
func (m *trainerModel) deliver(t *rapid.T) {
	rounds := m.rounds()
	seen := rounds[:rapid.IntRange(1, len(rounds)).Draw(t, "rounds seen")]
	plan := rollout.Plan(m.cursor, seen, m.accepts, rapid.IntRange(1, 5).Draw(t, "limit"))
	for _, ready := range plan.Ready {
		if m.taken[ready.Index] {
			t.Fatalf("sample %d was delivered twice", ready.Index)
		}
		if len(ready.Segments) == 0 || !m.accepts(int64(ready.Segments[0].Version)) {
			t.Fatalf("sample %d with segments %+v exceeds the bound at version %d", ready.Index, ready.Segments, m.version)
		}
		m.taken[ready.Index] = true
		m.cursor = m.cursor.Take(ready.Index)
	}
	if len(plan.Regenerate) > 0 {
		m.submit(rollout.FurtherRound(&m.jobs[0].Submission, m.header, len(seen), plan.Regenerate, m.version-m.bound))
	}
}

// For any order of results, pulls at different daemons and new versions, each sample is delivered
// once and within the bound, and in the end all are delivered.
func TestSamplesAreDeliveredOnceWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTrainerModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"finish":  m.finish,
			"deliver": m.deliver,
			"version": func(*rapid.T) { m.version++ },
		})
		for turn := 0; countTaken(m.cursor) < m.header.Samples; turn++ {
			if turn > 100 {
				t.Fatalf("%d of %d samples were delivered after all results were added", countTaken(m.cursor), m.header.Samples)
			}
			m.finishAll()
			plan := rollout.Plan(m.cursor, m.rounds(), m.accepts, m.header.Samples)
			for _, ready := range plan.Ready {
				m.cursor = m.cursor.Take(ready.Index)
			}
			if len(plan.Regenerate) > 0 {
				m.submit(rollout.FurtherRound(&m.jobs[0].Submission, m.header, len(m.jobs), plan.Regenerate, m.version-m.bound))
			}
		}
	})
}

// finishAll adds a result of each item that has none yet.
func (m *trainerModel) finishAll() {
	for _, job := range m.jobs {
		for item, listed := range job.HasResult {
			if !listed {
				job.HasResult[item] = true
				version := max(m.version, job.MinVersion)
				job.Results = append(job.Results, batch.Result{Item: item, Outcome: batch.Done, Versions: []int64{version},
					Text: fmt.Appendf(nil, `{"version":%d,"tokens":[1],"end":"stop"}`, version)})
			}
		}
	}
}

// Guards against delivering a sample whose text names a version that did not make it.
func TestSampleThatNamesAnUnreportedVersionIsRegenerated(t *testing.T) {
	is := is.New(t)
	header := rollout.HeaderOf(request(1, 1))
	round := rollout.RoundResults{0: {Outcome: batch.Done, Versions: []int64{2}, Text: []byte(`{"version":3,"tokens":[1],"end":"stop"}`)}}
	plan := rollout.Plan(rollout.NewCursor(header), []rollout.RoundResults{round}, func(int64) bool { return true }, 1)
	is.Equal(len(plan.Ready), 0)
	is.Equal(plan.Regenerate, []int{0})
}

func TestAddMergesTokensOfOneVersionIntoASegment(t *testing.T) {
	is := is.New(t)
	var result rollout.Result
	for _, frame := range []rollout.Frame{{Version: 1, Tokens: []uint32{5}}, {Version: 1, Tokens: []uint32{6}}, {Version: 2, Tokens: []uint32{7}}, {Version: 2, End: "stop"}} {
		result.Add(frame)
	}
	is.Equal(result.Segments, []rollout.Segment{{Version: 1, Tokens: 2}, {Version: 2, Tokens: 1}})
	is.Equal(result.End, "stop")
}

func TestCheckNamesTheInvalidField(t *testing.T) {
	is := is.New(t)
	wanted := request(2, 1)
	is.NoErr(wanted.Check())
	wanted.Prompts[1].ID = wanted.Prompts[0].ID
	fault, ok := wanted.Check().(*rollout.FieldError)
	is.True(ok)
	is.Equal(fault.Field, "prompts[1].id")
}

// countTaken returns the number of samples that the cursor has taken.
func countTaken(cursor rollout.Cursor) int {
	count := 0
	for index := range cursor.Header.Samples {
		if cursor.Taken(index) {
			count++
		}
	}
	return count
}
