package rollout_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woodworks/internal/backend/engine"
	"woodworks/internal/rollout"
	"woodworks/internal/testseed"
)

func init() { testseed.Fix() }

func request(prompts, samples int) rollout.Request {
	wanted := rollout.Request{Trainer: "assessor", Name: "step-1", SamplesPerPrompt: samples, MaxTokens: 100}
	for i := range prompts {
		wanted.Prompts = append(wanted.Prompts, rollout.Prompt{ID: fmt.Sprint("p", i), Text: "text"})
	}
	return wanted
}

func TestChunksCoverTheBatchOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wanted := request(rapid.IntRange(1, 20).Draw(t, "prompts"), rapid.IntRange(1, 9).Draw(t, "samples"))
		header := rollout.HeaderOf(wanted, rapid.IntRange(1, 20).Draw(t, "chunk"))
		seen := map[int]bool{}
		for index := range header.Chunks() {
			for _, spec := range rollout.SpecOf(wanted, header, index).Samples {
				if seen[spec.Index] {
					t.Fatalf("sample %d stands twice", spec.Index)
				}
				seen[spec.Index] = true
			}
		}
		if len(seen) != header.Samples {
			t.Fatalf("%d of %d samples", len(seen), header.Samples)
		}
	})
}

func TestCursorKeepsItsState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		header := rollout.HeaderOf(request(rapid.IntRange(1, 60).Draw(t, "prompts"), 3), 8)
		cursor := rollout.NewCursor(header)
		taken := map[int]bool{}
		for range rapid.IntRange(0, 30).Draw(t, "takes") {
			index := rapid.IntRange(0, header.Samples-1).Draw(t, "index")
			cursor = cursor.Take(index)
			taken[index] = true
		}
		read, err := rollout.ParseCursor(cursor.String())
		if err != nil || read.Header != header || read.Count() != len(taken) {
			t.Fatalf("read %+v, %v", read, err)
		}
		for index := range header.Samples {
			if read.Taken(index) != taken[index] {
				t.Fatalf("sample %d: %t", index, read.Taken(index))
			}
		}
	})
}

func TestDamagedCursorsAreRefused(t *testing.T) {
	is := is.New(t)
	text := rollout.NewCursor(rollout.HeaderOf(request(4, 4), 8)).String()
	for i := range text {
		damaged := text[:i] + string(text[i]^1) + text[i+1:]
		_, err := rollout.ParseCursor(damaged)
		is.True(err != nil)
		_, err = rollout.ParseCursor(text[:i])
		is.True(err != nil)
	}
}

func FuzzParseCursor(f *testing.F) {
	f.Add(rollout.NewCursor(rollout.HeaderOf(request(4, 4), 8)).String())
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		cursor, err := rollout.ParseCursor(text)
		if err == nil && cursor.Count() > cursor.Header.Samples {
			t.Fatalf("%d of %d samples taken", cursor.Count(), cursor.Header.Samples)
		}
	})
}

// model is what a chunk must agree with.
type model struct {
	chunk   *rollout.Chunk
	version uint64
	bound   uint64
	tries   map[string]int
	next    int
	taken   map[int]bool
}

func (one *model) judge(oldest uint64) bool {
	return oldest > 0 && (oldest >= one.version || one.version-oldest <= one.bound)
}

func (one *model) anyTry(t *rapid.T) (string, int) {
	if len(one.tries) == 0 {
		t.Skip("no try")
	}
	var names []string
	for i := range one.next {
		if _, running := one.tries[fmt.Sprint("try", i)]; running {
			names = append(names, fmt.Sprint("try", i))
		}
	}
	name := rapid.SampledFrom(names).Draw(t, "try")
	return name, one.tries[name]
}

// A chunk under tries that progress, finish, abort and race, versions that
// rise, and a trainer that takes: it never hands out a stale sample, nor one
// that was taken, nor two results for one sample.
func TestChunkNeverHandsOutWhatItMustNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wanted := request(2, 2)
		one := &model{
			chunk:   rollout.NewChunk(rollout.SpecOf(wanted, rollout.HeaderOf(wanted, 4), 0)),
			version: 1, bound: uint64(rapid.IntRange(0, 2).Draw(t, "bound")),
			tries: map[string]int{}, taken: map[int]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				index := rapid.IntRange(0, 3).Draw(t, "index")
				name := fmt.Sprint("try", one.next)
				partial, wanted := one.chunk.Start(index, name, one.judge)
				if wanted {
					one.next++
					one.tries[name] = index
					if len(partial.Segments) > 0 && !one.judge(partial.Segments[0].Version) {
						t.Fatalf("goes on from a stale prefix")
					}
				}
			},
			"frame": func(t *rapid.T) {
				name, index := one.anyTry(t)
				version := one.version - uint64(rapid.IntRange(0, int(min(one.version-1, 1))).Draw(t, "behind"))
				one.chunk.Progress(index, name, engine.Frame{Version: version, Tokens: []uint32{1, 2}})
			},
			"finish": func(t *rapid.T) {
				name, index := one.anyTry(t)
				one.chunk.Finish(index, name, engine.EndStop)
				delete(one.tries, name)
			},
			"abort": func(t *rapid.T) {
				name, index := one.anyTry(t)
				one.chunk.Abort(index, name)
				delete(one.tries, name)
			},
			"publish": func(*rapid.T) { one.version++ },
			"collect": func(t *rapid.T) { one.collect(t) },
			"hand over": func(t *rapid.T) {
				next := rollout.NewChunk(one.chunk.Spec)
				next.Merge(one.chunk.SnapshotFor(rollout.Held{}, true))
				one.chunk = next
				one.tries = map[string]int{}
			},
			"": func(t *rapid.T) {
				if open := one.chunk.Open(); open != 4-len(one.taken) {
					t.Fatalf("%d open with %d taken", open, len(one.taken))
				}
			},
		})
	})
}

func (one *model) collect(t *rapid.T) {
	seen := map[int]bool{}
	for _, result := range one.chunk.Collect(one.judge, 10) {
		if seen[result.Index] || one.taken[result.Index] {
			t.Fatalf("sample %d handed out again", result.Index)
		}
		if !one.judge(result.OldestVersion()) {
			t.Fatalf("sample of version %d while %d is trained", result.OldestVersion(), one.version)
		}
		total := 0
		for _, segment := range result.Segments {
			total += segment.Tokens
		}
		if total != len(result.Tokens) {
			t.Fatalf("segments name %d of %d tokens", total, len(result.Tokens))
		}
		seen[result.Index] = true
	}
	if rapid.Bool().Draw(t, "answer arrives") {
		for index := range seen {
			one.taken[index] = true
			one.chunk.Take([]int{index})
		}
	}
}

// A lost answer: the same cursor gives the same samples again.
func TestUntakenSamplesComeAgain(t *testing.T) {
	is := is.New(t)
	wanted := request(1, 2)
	chunk := rollout.NewChunk(rollout.SpecOf(wanted, rollout.HeaderOf(wanted, 4), 0))
	fresh := func(uint64) bool { return true }
	_, _ = chunk.Start(0, "a", fresh)
	_, _ = chunk.Progress(0, "a", engine.Frame{Version: 3, Tokens: []uint32{7}})
	is.True(chunk.Finish(0, "a", engine.EndStop))
	first := chunk.Collect(fresh, 10)
	is.Equal(len(first), 1)
	is.Equal(chunk.Collect(fresh, 10), first)
	chunk.Take([]int{0})
	is.Equal(len(chunk.Collect(fresh, 10)), 0)
}

func TestRequestFaultsNameTheField(t *testing.T) {
	cases := []struct {
		field  string
		change func(*rollout.Request)
	}{
		{"trainer", func(r *rollout.Request) { r.Trainer = "" }},
		{"name", func(r *rollout.Request) { r.Name = "" }},
		{"name", func(r *rollout.Request) { r.Name = "a/b" }},
		{"prompts", func(r *rollout.Request) { r.Prompts = nil }},
		{"samples_per_prompt", func(r *rollout.Request) { r.SamplesPerPrompt = -1 }},
		{"samples_per_prompt", func(r *rollout.Request) { r.SamplesPerPrompt = 1 << 40 }},
		{"max_tokens", func(r *rollout.Request) { r.MaxTokens = 0 }},
		{"prompts[1].id", func(r *rollout.Request) { r.Prompts[1].ID = r.Prompts[0].ID }},
		{"prompts[0].text", func(r *rollout.Request) { r.Prompts[0].Text = "" }},
		{"prompts[0].expected_tokens", func(r *rollout.Request) { r.Prompts[0].ExpectedTokens = -1 }},
	}
	for _, one := range cases {
		t.Run(one.field, func(t *testing.T) {
			is := is.New(t)
			wanted := request(2, 2)
			is.NoErr(wanted.Check())
			one.change(&wanted)
			fault, isFieldError := wanted.Check().(*rollout.FieldError)
			is.True(isFieldError)
			is.Equal(fault.Field, one.field)
		})
	}
}
