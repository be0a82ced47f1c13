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

// Guards against an owed content that is held back for longer than a step bears, and against one that does
// end its replicas and ends them faster than four in ratePeriod.
func TestRunsOfAnOwedContentAreSpacedOut(t *testing.T) {
	const (
		longestHold = 5 * time.Second
		ratePeriod  = 11 * time.Second
		mostEnds    = 4
	)
	is := is.New(t)
	clock := newTestClock()
	table, owed := clock.table("m"), &Content{Target: "x", Owed: true}
	var ends []time.Time
	for len(ends) < 20 {
		replica := fmt.Sprint("replica", len(ends))
		if !table.Blocked(owed) {
			switch run := table.Decide(owed, replica, listed).(type) {
			case Allowed:
				table.ReplicaEnded(owed, replica, "s")
				ends = append(ends, clock.now)
			case Isolated:
				table.ReplicaEnded(owed, replica, "s")
				run.End()
				ends = append(ends, clock.now)
			}
		}
		clock.advance(100 * time.Millisecond)
	}
	is.Equal(ends[2].Sub(ends[1]), secondEndDelay)
	for i := range ends[3:] {
		is.Equal(ends[i+3].Sub(ends[i+2]), maxOwedRetryDelay)
	}
	for i := range ends[1:] {
		is.True(ends[i+1].Sub(ends[i]) < longestHold)
	}
	for i := range ends[mostEnds:] {
		is.True(ends[i+mostEnds].Sub(ends[i]) > ratePeriod)
	}
}

// Requests of callers with the same content stay refused, and an owed run does not use up the one that
// the keeper may make for them.
func TestAnOwedContentLeavesOthersRefused(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, owed, plain := clock.table("m"), &Content{Target: "x", Owed: true}, contentNamed("x")
	endAt(table, plain, minEndsToRefuse)
	clock.advance(maxOwedRetryDelay)
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

// Guards against an owner that asks again only after the whole delay: what holds the content back then would
// count as a new wait.
func TestAnOwnerThatAsksWhenToldHoldsAContentBackOnce(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	table, owed := clock.table("m"), &Content{Target: "owed", Owed: true}
	endAt(table, owed, minEndsToRefuse)
	other := contentNamed("other")
	endAt(table, other, minEndsToIsolate)
	table.Decide(other, "x", listed) // runs in isolation at the replica, and goes on
	for began := clock.now; ; {
		switch decision := table.Decide(owed, "x", listed).(type) {
		case Isolated:
			is.True(clock.now.Sub(began) <= maxOwedRetryDelay+askInterval)
			return
		case Refused:
			clock.advance(decision.RetryAfter)
		case OtherReplica:
			clock.advance(askInterval)
		}
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
	const rest = holdGap - owedAskInterval/2
	const heldFor = maxOwedRetryDelay - rest
	is.NoErr(next.MergeEncoded(encoded, "before", heldFor))
	is.True(next.Blocked(owed))
	clock.advance(rest)
	is.True(!next.Blocked(owed))
	is.Equal(decisionOn(next, owed, "x", "y"), "isolated")
}
