package batch

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woodworks/internal/daemon/testseed"
)

func init() { testseed.Fix() }

func submission(id string, items int, minVersion int64) *Submission {
	sub := &Submission{ID: id, Host: "host", Path: "/path/", MinVersion: minVersion, Desired: 1}
	for i := 0; i < items; i++ {
		sub.Items = append(sub.Items, Item{
			ID:    fmt.Sprintf("%s-%d", id, i),
			Path:  "/path/x",
			Body:  []byte{byte(i)},
			Group: fmt.Sprint(i / 2),
		})
	}
	return sub
}

func drawResult(t *rapid.T) Result {
	return Result{
		Item:     rapid.IntRange(-1, 6).Draw(t, "item"),
		Outcome:  Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")),
		Text:     []byte(rapid.StringN(0, 4, -1).Draw(t, "text")),
		Versions: rapid.SliceOfN(rapid.Int64Range(1, 4), 0, 2).Draw(t, "versions"),
	}
}

// drawProgress draws a part of the text that each item has: event n is byte n.
func drawProgress(t *rapid.T) Progress {
	from := rapid.IntRange(-1, 6).Draw(t, "from")
	p := Progress{
		Item:     rapid.IntRange(-1, 6).Draw(t, "item"),
		From:     from,
		Versions: rapid.SliceOfN(rapid.Int64Range(1, 4), 0, 2).Draw(t, "versions"),
	}
	for range rapid.IntRange(0, 4).Draw(t, "events") {
		p.LastEvent = int64(from + len(p.Events))
		p.Events = append(p.Events, []byte{byte(p.LastEvent)})
	}
	return p
}

// drawRecord draws any record that a daemon, also a stale or paused one, could
// append.
func drawRecord(t *rapid.T) []byte {
	id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "batch")
	owner := rapid.SampledFrom([]string{"", "one", "two", "three"})
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		return Accepted(submission(id, 5, 2), owner.Draw(t, "owner"))
	case 1:
		return ResultsAdded(id, []Result{drawResult(t), drawResult(t)})
	case 2:
		return TakenOver(id, owner.Draw(t, "from"), owner.Draw(t, "owner"))
	case 3:
		return Released(id, owner.Draw(t, "from"), []int{1, 2})
	case 4:
		return Heartbeat(id, owner.Draw(t, "owner"), rapid.Int64Range(0, 9).Draw(t, "number"))
	case 5:
		return Checkpoint(id, owner.Draw(t, "owner"), rapid.Int64Range(0, 9).Draw(t, "number"), []Progress{drawProgress(t)})
	case 6:
		return ItemsReturned(id, owner.Draw(t, "from"), []int{1})
	default:
		return Ended(id, "")
	}
}

// An owner that released a batch gives items back one by one, also after another has taken
// it over. Only its own word counts, and only until an owner is replaced that had not
// released the batch.
func TestItemsHandedOverAreGivenBack(t *testing.T) {
	is := is.New(t)
	state := NewStateAt(0)
	handed := func() map[int]bool {
		b, _ := state.Get("a")
		return b.HandedOffItems
	}
	state.Apply(Accepted(submission("a", 5, 0), "one"))
	state.Apply(Released("a", "one", []int{0, 1, 2}))
	before := handed()
	state.Apply(ItemsReturned("a", "two", []int{1}))
	is.Equal(handed(), map[int]bool{0: true, 1: true, 2: true})
	state.Apply(ItemsReturned("a", "one", []int{1, 4}))
	is.Equal(handed(), map[int]bool{0: true, 2: true})
	is.Equal(len(before), 3) // readers may hold it
	state.Apply(TakenOver("a", "", "two"))
	state.Apply(ItemsReturned("a", "one", []int{0}))
	is.Equal(handed(), map[int]bool{2: true})
	state.Apply(TakenOver("a", "two", "three"))
	is.Equal(len(handed()), 0)
	state.Apply(ItemsReturned("a", "one", []int{2}))
	is.Equal(len(handed()), 0)
}

// Whatever daemons append, in whatever order: an accepted batch stays, a
// position keeps its result, an item has one position, results fit the batch,
// nothing is listed after the end, and the items keep their bodies until then.
func TestFoldKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := NewStateAt(0)
		listed := map[string][]Result{}
		ended := map[string]bool{}
		for _, encoded := range rapid.SliceOfN(rapid.Custom(drawRecord), 1, 40).Draw(t, "records") {
			state.Apply(encoded)
			for _, id := range []string{"a", "b"} {
				b, ok := state.Get(id)
				if !ok {
					if _, before := listed[id]; before {
						t.Fatalf("batch %s is gone", id)
					}
					continue
				}
				checkBatch(t, b, listed[id], ended[id])
				listed[id] = append([]Result(nil), b.Results...)
				ended[id] = b.Ended
			}
		}
	})
}

func checkBatch(t *rapid.T, b *Batch, before []Result, ended bool) {
	if len(b.Results) < len(before) ||
		!reflect.DeepEqual(b.Results[:len(before)], append([]Result(nil), before...)) && len(before) > 0 {
		t.Fatalf("positions changed: %v, then %v", before, b.Results)
	}
	if ended && (len(b.Results) != len(before) || !b.Ended) {
		t.Fatal("a batch went on after its end")
	}
	checkResults(t, b)
	checkPartials(t, b)
	for i, it := range b.Items {
		if !b.Ended && (len(it.Body) != 1 || it.Body[0] != byte(i)) {
			t.Fatal("a body is gone before the end")
		}
	}
}

// checkResults checks that each result is of an item of the batch, the only one, and of versions
// that are new enough.
func checkResults(t *rapid.T, b *Batch) {
	seen := map[int]bool{}
	for _, result := range b.Results {
		if seen[result.Item] {
			t.Fatalf("item %d has two positions", result.Item)
		}
		seen[result.Item] = true
		if result.Item < 0 || result.Item >= b.ItemCount() {
			t.Fatalf("item %d is not of this batch", result.Item)
		}
		for _, version := range result.Versions {
			if result.Outcome == Done && version < b.MinVersion {
				t.Fatalf("version %d is too old", version)
			}
		}
	}
}

// checkPartials checks that beginnings are kept whole, of items that are open and of versions that
// are new enough.
func checkPartials(t *rapid.T, b *Batch) {
	for i, partial := range b.Partials {
		if b.Ended || b.HasResult[i] {
			t.Fatal("a beginning is kept of an item that has ended")
		}
		for n, event := range partial.Events {
			if event[0] != byte(n) {
				t.Fatalf("item %d: event %d stands where %d should", i, event[0], n)
			}
		}
		if partial.LastEvent != int64(len(partial.Events)-1) {
			t.Fatalf("item %d: last event %d of %d", i, partial.LastEvent, len(partial.Events))
		}
		for _, version := range partial.Versions {
			if version < b.MinVersion {
				t.Fatalf("a beginning of version %d is kept", version)
			}
		}
	}
}

// Two readers of the same records hold the same state, also when one of them
// read some in a row and the other one by one, and long records in fragments.
func TestReadersAgreeAndFragmentsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, cut := NewStateAt(0), NewStateAt(0)
		for i, encoded := range rapid.SliceOfN(rapid.Custom(drawRecord), 1, 30).Draw(t, "records") {
			whole.Apply(encoded)
			for _, part := range Fragment(encoded, fragmentOverhead+40, fmt.Sprint(i)) {
				cut.Apply(part)
			}
		}
		if !reflect.DeepEqual(whole.batches, cut.batches) {
			t.Fatal("states differ")
		}
		if len(cut.fragments) > 0 {
			t.Fatal("fragments are left over")
		}
	})
}

func TestOfTwoTakeoversOneCounts(t *testing.T) {
	is := is.New(t)
	state := NewStateAt(0)
	state.Apply(Accepted(submission("a", 2, 0), "one"))
	state.Apply(TakenOver("a", "one", "two"))
	state.Apply(TakenOver("a", "one", "three"))
	b, _ := state.Get("a")
	is.Equal(b.Owner, "two")
}

func TestMalformedRecordsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := NewStateAt(0)
		state.Apply(Accepted(submission("a", 2, 0), "one"))
		state.Apply(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
		if b, ok := state.Get("a"); !ok || b.Owner != "one" || len(b.Results) != 0 {
			t.Fatal("a malformed record changed the state")
		}
	})
}

func FuzzApply(f *testing.F) {
	f.Add(Accepted(submission("a", 2, 0), "one"))
	f.Add(ResultsAdded("a", []Result{{Item: 1, Outcome: Done, Text: []byte("x"), Versions: []int64{2}}}))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		state := NewStateAt(0)
		state.Apply(Accepted(submission("a", 2, 0), "one"))
		state.Apply(encoded)
		if _, ok := state.Get("a"); !ok {
			t.Fatal("an accepted batch is gone")
		}
	})
}

// BenchmarkApply folds a step of 1,000 items with texts of 10 KB.
func BenchmarkApply(b *testing.B) {
	records := [][]byte{Accepted(submission("a", 1000, 0), "one")}
	for item := range 1000 {
		records = append(records, ResultsAdded("a", []Result{
			{Item: item, Outcome: Done, Text: make([]byte, 10<<10), Versions: []int64{1}},
		}))
	}
	b.ReportAllocs()
	for b.Loop() {
		state := NewStateAt(0)
		for _, each := range records {
			state.Apply(each)
		}
	}
}

// livenessSignalsAfter counts the signs of life that records add to a batch of owner a.
func livenessSignalsAfter(records ...[]byte) int64 {
	state := NewStateAt(0)
	state.Apply(Accepted(&Submission{ID: "x", Items: []Item{{ID: "i"}, {ID: "j"}}}, "a"))
	for _, each := range records {
		state.Apply(each)
	}
	b, _ := state.Get("x")
	return b.LivenessSignals
}

// Signs that reach the journal late, and doubles, do not show the owner alive: the
// store may do seconds later what it did not answer (own day all-at-once: batches of
// owners that were gone stayed with them for seconds).
func TestLateSignsDoNotShowTheOwnerAlive(t *testing.T) {
	is := is.New(t)
	is.Equal(livenessSignalsAfter(Heartbeat("x", "a", 1), Heartbeat("x", "a", 5)), int64(2))
	is.Equal(livenessSignalsAfter(Heartbeat("x", "a", 5), Heartbeat("x", "a", 1), Heartbeat("x", "a", 5),
		Checkpoint("x", "a", 3, nil)), int64(1))
	is.Equal(livenessSignalsAfter(Heartbeat("x", "b", 9), Heartbeat("x", "a", 1)), int64(1))
	listed := ResultsAdded("x", []Result{{Item: 0, Outcome: Done}})
	is.Equal(livenessSignalsAfter(listed, listed, listed), int64(1))
	// Another owner counts from anew, and so does one that has the batch again.
	is.Equal(livenessSignalsAfter(Heartbeat("x", "a", 7), TakenOver("x", "a", "b"), Heartbeat("x", "b", 2),
		Heartbeat("x", "a", 9)), int64(3))
	is.Equal(livenessSignalsAfter(Heartbeat("x", "a", 7), TakenOver("x", "a", "b"), TakenOver("x", "b", "a"),
		Heartbeat("x", "a", 8)), int64(4))
	// Records of programs that did not number their signs count all.
	is.Equal(livenessSignalsAfter(Heartbeat("x", "a", 0), Heartbeat("x", "a", 0)), int64(2))
}
