package admission

import (
	"maps"
	"time"

	"woodworks/internal/requests/refusal"
)

// oldestTurnInterval sets how often the request that has waited longest goes first: at every
// start whose number is a multiple of it. This bounds starvation. A request that can still meet
// its deadline, and before which k of the waiting requests arrived, is among the next
// oldestTurnInterval*(k+1) starts, no matter which requests arrive with a higher rank or from
// other tenants.
const oldestTurnInterval = 32

// QueuedRequest describes a waiting request to Plan.
type QueuedRequest struct {
	// Age is the time since the request arrived.
	Age    time.Duration
	Tenant string
	Rank   int
	// TimeLeft is how long the caller will still wait, and TargetLeft the time within which an
	// answer would still meet the target latency. MaxWait bounds the further wait of a request
	// that can meet its target, so that the caller, if refused, has time to be served elsewhere.
	TimeLeft, TargetLeft, MaxWait time.Duration
}

// Snapshot is the input of Plan: the queue of one service at one moment.
type Snapshot struct {
	Waiting []QueuedRequest
	// Rate is the rate of starts. LateRate is the part of Rate that is left for late requests,
	// those that can no longer meet their target latency, as newer requests go before them. Both
	// are in starts per second and above 0.
	Rate, LateRate float64
	// NextStartIn is the time until the next request may start.
	NextStartIn time.Duration
	// RequiredTime is the time within which most answers come, and TypicalTime the median
	// duration of answers.
	RequiredTime, TypicalTime time.Duration
	// TenantWork is the recent work of each tenant with a waiting request.
	TenantWork map[string]time.Duration
	// Starts is the number of requests admitted since the rate limit became active.
	Starts int
}

// Turn is the planned start, or the refusal, of a waiting request.
type Turn struct {
	// Index is the request's index in Snapshot.Waiting.
	Index int
	// StartsIn is the estimated time until the request starts.
	StartsIn time.Duration
	// Refused reports that the request can't be answered before its deadline, or can meet its
	// target latency but would wait longer than MaxWait.
	Refused bool
}

// Plan orders the waiting requests and marks as refused those that can't be answered in time or
// would wait too long. The first criterion of the order is the rank. Then requests that can
// still meet their target latency go before late ones, then requests of the tenant with the
// least recent work, then those with the earliest deadline. Each planned start counts as work of
// its tenant. Refused requests do not delay the requests after them. At every
// oldestTurnInterval-th start the request that has waited longest goes first instead.
func Plan(s Snapshot) []Turn {
	turns := make([]Turn, 0, len(s.Waiting))
	planned := make([]bool, len(s.Waiting))
	work := map[string]time.Duration{}
	maps.Copy(work, s.TenantWork)
	starts := 0
	for range s.Waiting {
		startsIn := s.NextStartIn + secondsToDuration(float64(starts)/s.Rate)
		oldestFirst := (s.Starts+starts)%oldestTurnInterval == oldestTurnInterval-1
		index := s.pickNext(planned, work, startsIn, oldestFirst)
		picked := s.Waiting[index]
		planned[index] = true
		isLate := s.isLate(picked, startsIn)
		if !oldestFirst && isLate {
			startsIn = s.NextStartIn + secondsToDuration(float64(starts+1)/s.LateRate)
		}
		turn := Turn{Index: index, StartsIn: startsIn, Refused: startsIn+s.RequiredTime > picked.TimeLeft || !isLate && startsIn > picked.MaxWait}
		turns = append(turns, turn)
		if !turn.Refused {
			starts++
			work[picked.Tenant] += s.TypicalTime
		}
	}
	return turns
}

func (s Snapshot) isLate(waiting QueuedRequest, startsIn time.Duration) bool {
	return startsIn+s.TypicalTime > waiting.TargetLeft
}

// pickNext returns the index of the request that goes next. At least one element of planned must
// be false. If oldestFirst is set, the request is the oldest one that can still meet its
// deadline, if there is one.
func (s Snapshot) pickNext(planned []bool, work map[string]time.Duration, startsIn time.Duration, oldestFirst bool) int {
	best := -1
	for i, w := range s.Waiting {
		if planned[i] || oldestFirst && startsIn+s.RequiredTime > w.TimeLeft {
			continue
		}
		if best < 0 || oldestFirst && w.Age > s.Waiting[best].Age || !oldestFirst && s.before(w, s.Waiting[best], work, startsIn) {
			best = i
		}
	}
	if best < 0 {
		return s.pickNext(planned, work, startsIn, false)
	}
	return best
}

// before reports whether request one goes before request other.
func (s Snapshot) before(one, other QueuedRequest, work map[string]time.Duration, startsIn time.Duration) bool {
	if one.Rank != other.Rank {
		return one.Rank < other.Rank
	}
	if isLate := s.isLate(one, startsIn); isLate != s.isLate(other, startsIn) {
		return !isLate
	}
	if work[one.Tenant] != work[other.Tenant] {
		return work[one.Tenant] < work[other.Tenant]
	}
	if one.TimeLeft != other.TimeLeft {
		return one.TimeLeft < other.TimeLeft
	}
	return one.Age > other.Age
}

const (
	// minRetryAfter is the shortest delay that is suggested to a refused caller, unless the
	// caller's remaining time is too short for such a delay.
	minRetryAfter = 100 * time.Millisecond
	// lowestRank is the rank from which on a lower priority does not lengthen the delay.
	lowestRank = 3
)

// RetryAfter returns the delay after which a refused caller should try again. The delay is
// between one and two times drainTime, the time that the queue takes to drain, but at least
// minRetryAfter; left, the caller's remaining time, may shorten it. Higher ranks get shorter
// delays. draw, a random number in [0, 1), spreads the delays, so that callers that were refused
// together do not return together.
func RetryAfter(drainTime, left time.Duration, rank int, draw float64) time.Duration {
	maxDelay := refusal.CapRetryAfter(max(2*drainTime, 2*minRetryAfter), left)
	position := (float64(min(max(rank, 0), lowestRank)) + draw) / (lowestRank + 1)
	return maxDelay/2 + time.Duration(position*float64(maxDelay/2))
}
