package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const far = time.Hour

// snapshotOf returns the snapshot of a daemon with ten starts per second.
func snapshotOf(waiting ...QueuedRequest) Snapshot {
	return Snapshot{Waiting: waiting, Rate: 10, LateRate: 10, RequiredTime: 50 * time.Millisecond, TypicalTime: 20 * time.Millisecond, TenantWork: map[string]time.Duration{}}
}

func orderOf(s Snapshot) string {
	order := ""
	for _, turn := range Plan(s) {
		if !turn.Refused {
			order += fmt.Sprint(turn.Index)
		}
	}
	return order
}

func TestPlanOrder(t *testing.T) {
	in := func(rank int, tenant string, left time.Duration) QueuedRequest {
		return QueuedRequest{Rank: rank, Tenant: tenant, TimeLeft: left, TargetLeft: far, MaxWait: far}
	}
	late := in(0, "a", far)
	late.TargetLeft = 0
	lowRank := in(1, "b", far)
	impatient := in(1, "b", far)
	impatient.MaxWait = 90 * time.Millisecond
	cases := map[string]struct {
		waiting []QueuedRequest
		served  map[string]time.Duration
		order   string
	}{
		"empty queue":                         {nil, nil, ""},
		"rank decides first":                  {[]QueuedRequest{in(1, "a", time.Second), in(0, "b", far)}, map[string]time.Duration{"b": time.Second}, "10"},
		"tenant with less work":               {[]QueuedRequest{in(0, "a", time.Second), in(0, "b", far)}, map[string]time.Duration{"a": time.Second}, "10"},
		"tenants alternate":                   {[]QueuedRequest{in(0, "a", far), in(0, "a", far), in(0, "a", far), in(0, "b", far), in(0, "b", far)}, map[string]time.Duration{"b": time.Millisecond}, "03142"},
		"earliest deadline of a tenant":       {[]QueuedRequest{in(0, "a", 2*time.Second), in(0, "a", time.Second)}, nil, "10"},
		"late request goes last":              {[]QueuedRequest{late, in(0, "b", far)}, map[string]time.Duration{"b": time.Second}, "10"},
		"late request before a lower rank":    {[]QueuedRequest{lowRank, late}, nil, "10"},
		"deadline too close":                  {[]QueuedRequest{in(0, "a", 40*time.Millisecond), in(0, "b", 60*time.Millisecond)}, nil, "1"},
		"MaxWait exceeded":                    {[]QueuedRequest{in(0, "a", far), impatient}, nil, "0"},
		"MaxWait not exceeded":                {[]QueuedRequest{impatient}, nil, "0"},
		"deadline too close for its position": {[]QueuedRequest{in(0, "a", far), in(1, "b", 120*time.Millisecond), in(2, "c", 160*time.Millisecond)}, nil, "02"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := snapshotOf(c.waiting...)
			if c.served != nil {
				s.TenantWork = c.served
			}
			is.Equal(orderOf(s), c.order)
		})
	}
}

// A plan contains each request once and refuses exactly those that can't be answered in time.
func TestPlanRefusesWhatCannotBeServed(t *testing.T) {
	is := is.New(t)
	s := snapshotOf()
	for i := range 40 {
		s.Waiting = append(s.Waiting, QueuedRequest{Rank: i % 3, Tenant: fmt.Sprint(i % 5), TimeLeft: time.Duration(i%8) * 400 * time.Millisecond, TargetLeft: time.Duration(i%4) * 100 * time.Millisecond, MaxWait: time.Duration(i%5) * 300 * time.Millisecond})
	}
	seen := map[int]bool{}
	for _, turn := range Plan(s) {
		is.True(!seen[turn.Index])
		seen[turn.Index] = true
		waiting := s.Waiting[turn.Index]
		is.Equal(turn.Refused, turn.StartsIn+s.RequiredTime > waiting.TimeLeft || turn.StartsIn+s.TypicalTime <= waiting.TargetLeft && turn.StartsIn > waiting.MaxWait)
	}
	is.Equal(len(seen), 40)
}

// A request before which k waiting requests arrived is among the next oldestTurnInterval*(k+1)
// starts, no matter which requests arrive meanwhile.
func TestPlanPreventsStarvation(t *testing.T) {
	is := is.New(t)
	const before = 3
	s := snapshotOf()
	for i := range before + 1 {
		s.Waiting = append(s.Waiting, QueuedRequest{Age: far - time.Duration(i), Tenant: "flood", Rank: 9, TimeLeft: far, TargetLeft: 0})
	}
	s.TenantWork["flood"] = far
	for ; s.Starts < oldestTurnInterval*(before+1); s.Starts++ {
		for range 2 {
			s.Waiting = append(s.Waiting, QueuedRequest{Tenant: fmt.Sprint("new", s.Starts), TimeLeft: far, TargetLeft: far, MaxWait: far})
		}
		first := Plan(s)[0]
		s.Waiting = append(append([]QueuedRequest{}, s.Waiting[:first.Index]...), s.Waiting[first.Index+1:]...)
	}
	for _, w := range s.Waiting {
		is.True(w.Tenant != "flood")
	}
}

func TestRetryAfterIsSpreadAndOrderedByRank(t *testing.T) {
	is := is.New(t)
	const drain, left = 400 * time.Millisecond, 2 * time.Second
	is.True(RetryAfter(drain, left, 0, 0.9)-RetryAfter(drain, left, 0, 0.1) > 20*time.Millisecond)
	for rank := range lowestRank {
		is.True(RetryAfter(drain, left, rank, 0.99) < RetryAfter(drain, left, rank+1, 0))
	}
	for _, left := range []time.Duration{-time.Second, 0, 30 * time.Millisecond, time.Second} {
		is.True(RetryAfter(time.Hour, left, 9, 0.999) <= max(left/3, 0)) // within a third of the time left
		is.True(RetryAfter(time.Hour, left, 0, 0) >= 0)
	}
}

func BenchmarkPlan(b *testing.B) {
	s := snapshotOf()
	for i := range maxWaiting {
		s.Waiting = append(s.Waiting, QueuedRequest{Rank: i % 3, Tenant: fmt.Sprint(i % 8), TimeLeft: far, TargetLeft: time.Duration(i) * 10 * time.Millisecond, MaxWait: far})
	}
	for b.Loop() {
		Plan(s)
	}
}
