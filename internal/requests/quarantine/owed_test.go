package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endAt ends count replicas under a content, each with a name of its own.
func endAt(table *Table, content *Content, count int) {
	for i := range count {
		table.ReplicaEnded(content, fmt.Sprintf("ended-%d-%v", i, table.now()), "s")
	}
}

// Guards against a content that was handed in for later and is never run again because replicas
// happened to end under it, also at a daemon that is not its keeper.
func TestAnOwedContentRunsAgain(t *testing.T) {
	for ends := minEndsToRefuse; ends <= maxEndedReplicas; ends++ {
		is := is.New(t)
		clock := newTestClock()
		table, owner := clock.table("keeper"), clock.table("owner")
		owed := &Content{Target: "x", Owed: true}
		endAt(table, owed, ends)
		owner.Merge(table.entriesOf([]Digest{owed.Digest()}), "keeper")
		is.Equal(owner.Suspicion(owed), Quarantined)
		is.True(owner.Blocked(owed))
		is.Equal(decisionOn(owner, owed, "x", "y"), "refused")
		clock.advance(maxOwedRetryDelay)
		is.True(!owner.Blocked(owed))
		running, ok := owner.Decide(owed, "x", listed).(Isolated)
		is.True(ok)
		is.Equal(decisionOn(owner, owed, "y", "x"), "wait") // one run at a time
		owner.Answered(owed)
		running.End()
		is.True(owner.NoneSuspected())
	}
}

// The third end costs an owed content owedRetryDelay and each further one more, so that a content that
// does end its replicas ends one at a time.
func TestRunsOfAnOwedContentAreSpacedOut(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, owed := clock.table("m"), &Content{Target: "x", Owed: true}
	began := clock.now
	var runs []time.Duration
	for end := 0; len(runs) < 20; {
		if run, ok := table.Decide(owed, fmt.Sprint("replica", end), listed).(Isolated); ok {
			runs = append(runs, clock.now.Sub(began))
			table.ReplicaEnded(owed, fmt.Sprint("replica", end), "s")
			run.End()
			end++
		} else if end < 2 {
			endAt(table, owed, 1)
			end++
		}
		clock.advance(100 * time.Millisecond)
	}
	is.Equal(runs[1]-runs[0], owedRetryDelay) // the first of these runs saw the third end
	for i := range runs[2:] {
		is.Equal(runs[i+2]-runs[i+1], maxOwedRetryDelay)
	}
}

// Requests of callers with the same content stay refused, and an owed run does not use up the one that
// the keeper may make for them.
func TestAnOwedContentLeavesOthersRefused(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, owed, plain := clock.table("m"), &Content{Target: "x", Owed: true}, contentNamed("x")
	endAt(table, plain, minEndsToRefuse)
	clock.advance(owedRetryDelay)
	is.Equal(decisionOn(table, plain, "x", "y"), "refused")
	is.True(table.Blocked(plain))
	is.Equal(decisionOn(table, owed, "x", "y"), "isolated")
	clock.advance(retryDelay)
	is.Equal(decisionOn(table, plain, "x", "y"), "isolated")
	is.Equal(decisionOn(table, plain, "x", "y"), "refused (final)")
	is.Equal(decisionOn(table, owed, "x", "y"), "isolated")
}

// Guards against an owed content that is held back again and again: by another run at the replica, by
// ends of a burst that are learned late, and by a service without another replica.
func TestAnOwedContentIsNotHeldBackForLong(t *testing.T) {
	for name, trouble := range map[string]func(table *Table, owed *Content, at int) (others []string){
		"another isolated run at the replica": func(table *Table, _ *Content, at int) []string {
			if at == 0 {
				other := contentNamed("other")
				endAt(table, other, minEndsToIsolate)
				table.Decide(other, "x", listed)
			}
			return []string{"y"}
		},
		"ends that are learned late": func(table *Table, owed *Content, at int) []string {
			table.ReplicaEnded(owed, fmt.Sprint("late", at), "s")
			table.ReplicaEnded(contentNamed("other"), fmt.Sprint("elsewhere", at), "s")
			return []string{"y"}
		},
		"no other replica": func(*Table, *Content, int) []string { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := newTestClock()
			table, owed := clock.table("m"), &Content{Target: "owed", Owed: true}
			endAt(table, owed, minEndsToIsolate)
			began := clock.now
			for at := 0; ; at++ {
				others := trouble(table, owed, at)
				if !table.Blocked(owed) && decisionOn(table, owed, "x", others...) == "isolated" {
					break
				}
				clock.advance(100 * time.Millisecond)
				is.True(clock.now.Sub(began) <= owedRetryDelay)
			}
		})
	}
}

// Guards against a harmless content that misses its step, as it waits like one that ends its replicas.
func TestABurstOfEndsSaysLittleOfAContent(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, owed := clock.table("m"), &Content{Target: "x", Owed: true}
	endAt(table, owed, maxEndedReplicas+1)
	clock.advance(owedRetryDelay)
	is.True(table.Blocked(owed))
	table.ReplicaEnded(contentNamed("bystander"), fmt.Sprintf("ended-0-%v", clock.now.Add(-owedRetryDelay)), "s")
	is.True(table.Blocked(owed)) // the same replica: it ran the content too
	table.ReplicaEnded(contentNamed("bystander"), "elsewhere", "s")
	is.True(!table.Blocked(owed))
	is.Equal(decisionOn(table, owed, "x", "y"), "isolated")
}

// Guards against an item that waits as long again at each owner of its batch.
func TestTheNextOwnerOfAContentHoldsItBackForTheRestOnly(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	before, next, owed := clock.table("before"), clock.table("next"), &Content{Target: "x", Owed: true}
	endAt(before, owed, minEndsToRefuse)
	encoded, err := before.EncodedEntry(owed)
	is.NoErr(err)
	const heldFor = owedRetryDelay / 2
	is.NoErr(next.MergeEncoded(encoded, "before", heldFor))
	is.True(next.Blocked(owed))
	clock.advance(owedRetryDelay - heldFor)
	is.True(!next.Blocked(owed))
	is.Equal(decisionOn(next, owed, "x", "y"), "isolated")
}
