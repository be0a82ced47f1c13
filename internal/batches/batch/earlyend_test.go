package batch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// apply applies records to a state that begins at an offset, of which they are the first.
func apply(t *testing.T, from int64, records ...[]byte) *State {
	t.Helper()
	state := NewStateAt(from)
	for _, encoded := range records {
		is.New(t).NoErr(state.Apply(encoded))
	}
	return state
}

// A batch must not run if the journal carries out its acceptance after its end was acknowledged.
func TestAnEndBeforeTheAcceptanceEndsTheBatch(t *testing.T) {
	is := is.New(t)
	state := apply(t, 0, Ended("x", ""), Accepted(submission("x", 2, 1), "owner"))
	b, ok := state.Get("x")
	is.True(ok)
	is.True(b.HasEnded())
	is.True(!b.IsOpen())
	is.Equal(b.ItemCount(), 2)
}

// Readers whose folds begin at the offset of a batch must know of its early end as those do that
// read the whole partition, also if the end lies between the fragments of the acceptance.
func TestABatchThatEndedEarlyBeginsAtItsEnd(t *testing.T) {
	is := is.New(t)
	fragments := Fragment(Accepted(submission("x", 20, 1), "owner"), fragmentOverhead+200, "key")
	is.True(len(fragments) > 2)
	for place := range fragments {
		var records [][]byte
		records = append(records, Heartbeat("y", "owner", 1))
		records = append(records, fragments[:place]...)
		records = append(records, Ended("x", ""))
		records = append(records, fragments[place:]...)
		whole, _ := apply(t, 0, records...).Get("x")
		is.True(whole.EndedEarly)
		is.Equal(whole.Offset, int64(1)) // the end, or the first fragment if that is earlier
		alone, _ := apply(t, whole.Offset, records[whole.Offset:]...).Get("x")
		is.Equal(alone, whole)
	}
}

// A caller must not be able to end the batch that a caller of another tenant submits later.
func TestAnEarlyEndOfAnotherTenantHasNoEffect(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		owner, caller string
		ended         bool
	}{{"a", "a", true}, {"a", "b", false}, {"a", "", false}, {"", "b", true}, {"", "", true}} {
		sub := submission("x", 1, 1)
		sub.Tenant = c.owner
		b, _ := apply(t, 0, Ended("x", c.caller), Ended("y", c.owner), Accepted(sub, "owner")).Get("x")
		is.Equal(b.HasEnded(), c.ended)
	}
	sub := submission("x", 1, 1)
	sub.Tenant = "a"
	b, _ := apply(t, 0, Ended("x", "a"), Ended("x", "b"), Accepted(sub, "owner")).Get("x")
	is.True(b.HasEnded())
}

// Ends of batches that never come must not grow a daemon's memory without a bound.
func TestEarlyEndsAreBounded(t *testing.T) {
	is := is.New(t)
	state := apply(t, 0, Ended("first", ""))
	for i := range maxEarlyEnds - 1 {
		is.NoErr(state.Apply(Ended(fmt.Sprint(i), "")))
	}
	is.NoErr(state.Apply(Accepted(submission("first", 1, 1), "owner")))
	b, _ := state.Get("first")
	is.True(b.HasEnded()) // the last maxEarlyEnds ends are kept
	for i := range 3 * maxEarlyEnds {
		is.NoErr(state.Apply(Ended(fmt.Sprint("more", i), "")))
		is.True(len(state.earlyEnds) <= maxEarlyEnds)
	}
	is.True(cap(state.earlyEnds) <= 4*maxEarlyEnds)
	is.NoErr(state.Apply(Accepted(submission("more0", 1, 1), "owner")))
	b, _ = state.Get("more0")
	is.True(!b.HasEnded())
}

// Readers that know different batches must forget early ends at the same record, or they would
// disagree about a batch that is accepted later.
func TestReadersForgetEarlyEndsAtTheSameRecord(t *testing.T) {
	is := is.New(t)
	records := [][]byte{Accepted(submission("known", 1, 1), "owner"), Ended("x", "")}
	for range maxEarlyEnds - 1 {
		records = append(records, Ended("known", ""))
	}
	for _, further := range []int{0, 1} {
		records := append(records[:len(records):len(records)], records[len(records)-further:]...)
		records = append(records, Accepted(submission("x", 1, 1), "owner"))
		whole, _ := apply(t, 0, records...).Get("x")
		later, _ := apply(t, 1, records[1:]...).Get("x")
		is.Equal(whole.HasEnded(), further == 0)
		is.Equal(later.HasEnded(), whole.HasEnded())
	}
}

// The end that a daemon repeats after the acceptance must reach readers that lack the early one, as
// daemons of an earlier version do, and no reader may list other results than they do.
func TestARepeatedEndMakesReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := [][]byte{Ended("a", ""), Accepted(submission("a", 5, 2), "one")}
		records = append(records, rapid.SliceOfN(rapid.Custom(drawRecord), 0, 20).Draw(t, "records")...)
		records = append(records, Ended("a", ""))
		records = append(records, rapid.SliceOfN(rapid.Custom(drawRecord), 0, 5).Draw(t, "later")...)
		whole, lacking := NewStateAt(0), NewStateAt(1)
		for i, encoded := range records {
			_ = whole.Apply(encoded) // Draws no malformed records.
			if i > 0 {
				_ = lacking.Apply(encoded)
			}
		}
		b, _ := whole.Get("a")
		other, _ := lacking.Get("a")
		if !b.Ended || !other.Ended {
			t.Fatal("not ended")
		}
		if fmt.Sprint(b.Results) != fmt.Sprint(other.Results) || b.Owner != other.Owner {
			t.Fatalf("%v and %v", b, other)
		}
	})
}
