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
	sub := &Submission{ID: id, Host: "host", Path: "/path/", MinVersion: minVersion, DesiredGroups: 1}
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

// drawProgress draws events of an item whose whole text is known: event n is the byte n.
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

// drawRecord draws any record that a daemon may append, including a stale or paused one.
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

// Handed-off items stay reserved for the old owner unless that owner itself returns them, or the new
// owner is replaced without a release.
func TestHandedOffItemsAreReturned(t *testing.T) {
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

// Whatever daemons append, in any order: an accepted batch stays, results keep their positions and
// are unique and valid, an ended batch gets none, and bodies are kept until the end.
func TestFoldKeepsItsInvariants(t *testing.T) {
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

// checkBatch checks the invariants of a batch against its results and end before the last record.
func checkBatch(t *rapid.T, b *Batch, before []Result, ended bool) {
	if len(b.Results) < len(before) ||
		!reflect.DeepEqual(b.Results[:len(before)], append([]Result(nil), before...)) && len(before) > 0 {
		t.Fatalf("positions changed from %v to %v", before, b.Results)
	}
	if ended && (len(b.Results) != len(before) || !b.Ended) {
		t.Fatal("the batch changed after its end")
	}
	checkResults(t, b)
	checkPartials(t, b)
	for i, it := range b.Items {
		if !b.Ended && (len(it.Body) != 1 || it.Body[0] != byte(i)) {
			t.Fatal("a body was dropped before the end of the batch")
		}
	}
}

// checkResults checks that each item has at most one result, that the item exists, and that the
// versions are allowed.
func checkResults(t *rapid.T, b *Batch) {
	seen := map[int]bool{}
	for _, result := range b.Results {
		if seen[result.Item] {
			t.Fatalf("item %d has two results", result.Item)
		}
		seen[result.Item] = true
		if result.Item < 0 || result.Item >= b.ItemCount() {
			t.Fatalf("item %d is not in the batch", result.Item)
		}
		for _, version := range result.Versions {
			if result.Outcome == Done && version < b.MinVersion {
				t.Fatalf("version %d is too old", version)
			}
		}
	}
}

// checkPartials checks that partials are contiguous, belong to unfinished items and have allowed
// versions.
func checkPartials(t *rapid.T, b *Batch) {
	for i, partial := range b.Partials {
		if b.Ended || b.HasResult[i] {
			t.Fatal("a partial is kept for a finished item")
		}
		for n, event := range partial.Events {
			if event[0] != byte(n) {
				t.Fatalf("item %d: got event %d, want %d", i, event[0], n)
			}
		}
		if partial.LastEvent != int64(len(partial.Events)-1) {
			t.Fatalf("item %d: last event is %d of %d events", i, partial.LastEvent, len(partial.Events))
		}
		for _, version := range partial.Versions {
			if version < b.MinVersion {
				t.Fatalf("a partial of version %d is kept, which is too old", version)
			}
		}
	}
}

// Two readers of the same records must hold the same state, also when one of them reads the records
// in fragments.
func TestReadersAgreeWithAndWithoutFragments(t *testing.T) {
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
			t.Fatal("fragments are left")
		}
	})
}

func TestFirstOfTwoTakeoversWins(t *testing.T) {
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

// FuzzApply checks that no record, however malformed, panics or removes a batch.
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

// BenchmarkApply applies the records of a batch of 1,000 items with texts of 10 KB.
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

// livenessSignalsAfter returns the liveness signals of a batch accepted by owner a after the records.
func livenessSignalsAfter(records ...[]byte) int64 {
	state := NewStateAt(0)
	state.Apply(Accepted(&Submission{ID: "x", Items: []Item{{ID: "i"}, {ID: "j"}}}, "a"))
	for _, each := range records {
		state.Apply(each)
	}
	b, _ := state.Get("x")
	return b.LivenessSignals
}

// A journal may append a heartbeat long after the call, when its owner is gone already. Late or
// repeated records must not keep a batch with such an owner.
func TestLateHeartbeatsAreNotLivenessSignals(t *testing.T) {
	is := is.New(t)
	is.Equal(livenessSignalsAfter(Heartbeat("x", "a", 1), Heartbeat("x", "a", 5)), int64(2))
	is.Equal(livenessSignalsAfter(Heartbeat("x", "a", 5), Heartbeat("x", "a", 1), Heartbeat("x", "a", 5),
		Checkpoint("x", "a", 3, nil)), int64(1))
	is.Equal(livenessSignalsAfter(Heartbeat("x", "b", 9), Heartbeat("x", "a", 1)), int64(1))
	listed := ResultsAdded("x", []Result{{Item: 0, Outcome: Done}})
	is.Equal(livenessSignalsAfter(listed, listed, listed), int64(1))
	// The numbers of a new owner start over, also if it owned the batch before.
	is.Equal(livenessSignalsAfter(Heartbeat("x", "a", 7), TakenOver("x", "a", "b"), Heartbeat("x", "b", 2),
		Heartbeat("x", "a", 9)), int64(3))
	is.Equal(livenessSignalsAfter(Heartbeat("x", "a", 7), TakenOver("x", "a", "b"), TakenOver("x", "b", "a"),
		Heartbeat("x", "a", 8)), int64(4))
	// Unnumbered records of earlier program versions are all counted.
	is.Equal(livenessSignalsAfter(Heartbeat("x", "a", 0), Heartbeat("x", "a", 0)), int64(2))
}

// The next owner must find what is suspected of each item that it may start, and nothing of the
// others.
func TestSuspicionsOfUnfinishedItemsAreKept(t *testing.T) {
	is := is.New(t)
	state := NewStateAt(0)
	submission := &Submission{ID: "b", Items: make([]Item, 3)}
	for _, encoded := range [][]byte{
		ContentSuspected("b", 0, []byte("before the batch")),
		Accepted(submission, "a/1"),
		ContentSuspected("b", 0, []byte("one end")),
		ContentSuspected("b", 0, []byte("two ends")),
		ContentSuspected("b", 1, []byte("one end")),
		ContentSuspected("b", 3, []byte("no such item")),
		Released("b", "a/1", []int{0}),
		ContentSuspected("b", 0, []byte("three ends")), // by the owner that released the batch
		TakenOver("b", "", "c/1"),
		ResultsAdded("b", []Result{{Item: 1, Outcome: Done}}),
		ContentSuspected("b", 1, []byte("late")),
	} {
		is.NoErr(state.Apply(encoded))
	}
	b, _ := state.Get("b")
	is.Equal(b.Suspected, map[int][]byte{0: []byte("three ends")})
	is.NoErr(state.Apply(Ended("b", "")))
	is.Equal(len(b.Suspected), 0)
}

// Daemons of an earlier version must skip the records that they do not know.
func TestRecordsOfUnknownKindsAreIgnored(t *testing.T) {
	is := is.New(t)
	state := NewStateAt(0)
	is.NoErr(state.Apply(Accepted(&Submission{ID: "b", Items: make([]Item, 1)}, "a/1")))
	before, _ := state.Get("b")
	kept := *before
	is.NoErr(state.Apply(encode(record{Kind: 1 << 20, BatchID: "b", Index: 0, Part: []byte("x")})))
	after, _ := state.Get("b")
	is.Equal(*after, kept)
	is.Equal(state.NextOffset(), int64(2))
}

// The next owner must find how often an unfinished item has failed, and a late record of an earlier
// owner must not lower the count.
func TestFailuresOfUnfinishedItemsAreKept(t *testing.T) {
	is := is.New(t)
	state := NewStateAt(0)
	submission := &Submission{ID: "b", Items: make([]Item, 3)}
	for _, encoded := range [][]byte{
		ItemFailed("b", 0, Failures{Item: 9}), // before the batch
		Accepted(submission, "a/1"),
		ItemFailed("b", 0, Failures{Item: 1}),
		ItemFailed("b", 0, Failures{Item: 2, Reward: 1}),
		ItemFailed("b", 0, Failures{Item: 1}), // late
		ItemFailed("b", 1, Failures{Item: 1}),
		ItemFailed("b", 3, Failures{Item: 1}), // no such item
		ResultsAdded("b", []Result{{Item: 1, Outcome: Done}}),
		ItemFailed("b", 1, Failures{Item: 2}), // late
	} {
		is.NoErr(state.Apply(encoded))
	}
	b, _ := state.Get("b")
	is.Equal(b.Failures, map[int]Failures{0: {Item: 2, Reward: 1}})
	is.NoErr(state.Apply(Ended("b", "")))
	is.Equal(len(b.Failures), 0)
}
