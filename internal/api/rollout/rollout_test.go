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

// trainerModel is a model of one trainerModel with its batch: the jobs that exist, what
// was handed over, and the version trained.
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
	one := &trainerModel{header: header, cursor: rollout.NewCursor(header), version: 3, bound: 1, taken: map[int]bool{}}
	one.submit(rollout.FirstRound(wanted, header, one.version-one.bound, names))
	return one
}

// submit makes a job submit, as the first acceptance of its id does.
func (one *trainerModel) submit(job *batch.Submission) {
	for _, known := range one.jobs {
		if known.ID == job.ID {
			return
		}
	}
	one.jobs = append(one.jobs, &batch.Batch{Submission: *job, HasResult: make([]bool, len(job.Items))})
}

func (one *trainerModel) rounds() []rollout.RoundResults {
	var rounds []rollout.RoundResults
	for _, job := range one.jobs {
		rounds = append(rounds, resultsOf(job))
	}
	return rounds
}

// resultsOf reads a round off a batch job.
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

func (one *trainerModel) accepts(oldest int64) bool { return one.version-oldest <= one.bound }

// finish lists an item of a job, as a run under some versions would.
func (one *trainerModel) finish(t *rapid.T) {
	job := one.jobs[rapid.IntRange(0, len(one.jobs)-1).Draw(t, "job")]
	item := rapid.IntRange(0, len(job.Items)-1).Draw(t, "item")
	if job.HasResult[item] {
		return
	}
	result := batch.Result{Item: item, Outcome: batch.Done}
	if rapid.IntRange(0, 5).Draw(t, "dies") == 0 {
		result.Outcome = batch.Dead
	} else {
		made := rapid.Int64Range(job.MinVersion, max(one.version, job.MinVersion)).Draw(t, "version")
		result.Versions = []int64{made}
		result.Text = fmt.Appendf(nil, `{"version":%d,"tokens":[%d]}`+"\n"+`{"version":%d,"tokens":[],"end":"stop"}`, made, item, made)
	}
	job.HasResult[item] = true
	job.Results = append(job.Results, result)
}

// deliver does what a daemon does on a pull; another daemon may have seen less.
func (one *trainerModel) deliver(t *rapid.T) {
	rounds := one.rounds()
	seen := rounds[:rapid.IntRange(1, len(rounds)).Draw(t, "rounds seen")]
	plan := rollout.Plan(one.cursor, seen, one.accepts, rapid.IntRange(1, 5).Draw(t, "limit"))
	for _, ready := range plan.Ready {
		if one.taken[ready.Index] {
			t.Fatalf("sample %d was delivered twice", ready.Index)
		}
		if len(ready.Segments) == 0 || !one.accepts(int64(ready.Segments[0].Version)) {
			t.Fatalf("sample %d of %+v is over the bound at version %d", ready.Index, ready.Segments, one.version)
		}
		one.taken[ready.Index] = true
		one.cursor = one.cursor.Take(ready.Index)
	}
	if len(plan.Regenerate) > 0 {
		one.submit(rollout.FurtherRound(&one.jobs[0].Submission, one.header, len(seen), plan.Regenerate, one.version-one.bound))
	}
}

// Whatever the order of results, pulls, races of daemons and new versions, each
// sample is delivered once, never over the bound, and in the end all are.
func TestSamplesAreDeliveredOnceWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := newTrainerModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"finish":  one.finish,
			"deliver": one.deliver,
			"version": func(*rapid.T) { one.version++ },
		})
		for turn := 0; countTaken(one.cursor) < one.header.Samples; turn++ {
			if turn > 100 {
				t.Fatalf("%d of %d samples after all were made", countTaken(one.cursor), one.header.Samples)
			}
			one.finishAll()
			plan := rollout.Plan(one.cursor, one.rounds(), one.accepts, one.header.Samples)
			for _, ready := range plan.Ready {
				one.cursor = one.cursor.Take(ready.Index)
			}
			if len(plan.Regenerate) > 0 {
				one.submit(rollout.FurtherRound(&one.jobs[0].Submission, one.header, len(one.jobs), plan.Regenerate, one.version-one.bound))
			}
		}
	})
}

// finishAll lists all items that have no result yet.
func (one *trainerModel) finishAll() {
	for _, job := range one.jobs {
		for item, listed := range job.HasResult {
			if !listed {
				job.HasResult[item] = true
				made := max(one.version, job.MinVersion)
				job.Results = append(job.Results, batch.Result{Item: item, Outcome: batch.Done, Versions: []int64{made},
					Text: fmt.Appendf(nil, `{"version":%d,"tokens":[1],"end":"stop"}`, made)})
			}
		}
	}
}

// A text that names a version that did not make it is not handed over.
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

// countTaken returns how many samples are taken.
func countTaken(cursor rollout.Cursor) int {
	count := 0
	for index := range cursor.Header.Samples {
		if cursor.Taken(index) {
			count++
		}
	}
	return count
}
