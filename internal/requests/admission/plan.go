package admission

import (
	"maps"
	"time"

	"woodworks/internal/requests/refusal"
)

// oldestTurnInterval is how often, one start in so many, the request goes first that has waited
// longest. It is the bound on starvation: a request that keeps its time and has k requests
// before it by arrival starts with one of the next oldestTurnInterval*(k+1) starts, whatever comes
// meanwhile of higher ranks and other tenants. It costs the others that part of the places.
const oldestTurnInterval = 32

// QueuedRequest is a request that waits.
type QueuedRequest struct {
	// Age is how long ago it arrived.
	Age    time.Duration
	Tenant string
	Rank   int
	// TimeLeft is how long its caller still waits, TargetLeft within which its answer would earn
	// its full credit, MaxWait how long it may wait so that a caller that is
	// refused can still be served soon elsewhere.
	TimeLeft, TargetLeft, MaxWait time.Duration
}

// Snapshot is what decides on the order of those that wait.
type Snapshot struct {
	Waiting []QueuedRequest
	// Rate is that of starts, LateRate what it leaves to those that are late, as newer ones
	// go before them. Both are in starts a second and above 0.
	Rate, LateRate float64
	// NextStartIn is after which time the next request may start.
	NextStartIn time.Duration
	// RequiredTime is within which time most answers come, TypicalTime half of them.
	RequiredTime, TypicalTime time.Duration
	// TenantWork is the work that each tenant of those that wait has had lately.
	TenantWork map[string]time.Duration
	// Starts is how many requests have started.
	Starts int
}

// Turn is the place of a request in the order.
type Turn struct {
	// Index is that in Snapshot.Waiting.
	Index int
	// StartsIn is when it is likely to start.
	StartsIn time.Duration
	// Refused says that it can't be served in its time, or not before its patience ends.
	Refused bool
}

// Plan refuses those that can't be answered in their time or whose patience ends before their
// turn, and orders the others: by rank; those first whose answer can still earn its full credit;
// then the tenant's that has had the least work; then the one whose caller leaves first.
// Each start is reckoned as work of its tenant. Those refused have no place in the order.
func Plan(s Snapshot) []Turn {
	turns := make([]Turn, 0, len(s.Waiting))
	done := make([]bool, len(s.Waiting))
	had := map[string]time.Duration{}
	maps.Copy(had, s.TenantWork)
	starts := 0
	for range s.Waiting {
		after := s.NextStartIn + secondsToDuration(float64(starts)/s.Rate)
		longest := (s.Starts+starts)%oldestTurnInterval == oldestTurnInterval-1
		index := s.pickNext(done, had, after, longest)
		picked := s.Waiting[index]
		done[index] = true
		late := s.isLate(picked, after)
		if !longest && late {
			after = s.NextStartIn + secondsToDuration(float64(starts+1)/s.LateRate)
		}
		turn := Turn{Index: index, StartsIn: after, Refused: after+s.RequiredTime > picked.TimeLeft || !late && after > picked.MaxWait}
		turns = append(turns, turn)
		if !turn.Refused {
			starts++
			had[picked.Tenant] += s.TypicalTime
		}
	}
	return turns
}

func (s Snapshot) isLate(waiting QueuedRequest, after time.Duration) bool {
	return after+s.TypicalTime > waiting.TargetLeft
}

// pickNext returns which request goes next. One at least is not done.
func (s Snapshot) pickNext(done []bool, had map[string]time.Duration, after time.Duration, longest bool) int {
	best := -1
	for i, w := range s.Waiting {
		if done[i] || longest && after+s.RequiredTime > w.TimeLeft {
			continue
		}
		if best < 0 || longest && w.Age > s.Waiting[best].Age || !longest && s.before(w, s.Waiting[best], had, after) {
			best = i
		}
	}
	if best < 0 {
		return s.pickNext(done, had, after, false)
	}
	return best
}

// before reports whether one request goes before the other.
func (s Snapshot) before(one, other QueuedRequest, had map[string]time.Duration, after time.Duration) bool {
	if one.Rank != other.Rank {
		return one.Rank < other.Rank
	}
	if isLate := s.isLate(one, after); isLate != s.isLate(other, after) {
		return !isLate
	}
	if had[one.Tenant] != had[other.Tenant] {
		return had[one.Tenant] < had[other.Tenant]
	}
	if one.TimeLeft != other.TimeLeft {
		return one.TimeLeft < other.TimeLeft
	}
	return one.Age > other.Age
}

const (
	// minRetryAfter is the shortest time that a refused caller is told to wait, a few requests'
	// time, where its own time allows it.
	minRetryAfter = 100 * time.Millisecond
	// lowestRank is from which rank on callers are told the same.
	lowestRank = 3
)

// RetryAfter is when a refused caller should come back: as the queue has drained, spread over
// half of that time, so that callers refused together do not return together, and sooner the higher
// its rank. Draw is between 0 and 1.
func RetryAfter(drain, left time.Duration, rank int, draw float64) time.Duration {
	most := refusal.Within(max(2*drain, 2*minRetryAfter), left)
	place := (float64(min(max(rank, 0), lowestRank)) + draw) / (lowestRank + 1)
	return most/2 + time.Duration(place*float64(most/2))
}
