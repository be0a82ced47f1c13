package relay

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

const (
	// maxOverdue is how long an answer may be overdue, with no other answer since, before the
	// path counts as lost. It allows for a store that is much slower than usual.
	maxOverdue = 500 * time.Millisecond
	// The path counts as lost after minRefusals refusals other than throttled calls, with no
	// answer between them, if the first refusal was at least minRefusedTime ago. A store that is
	// full refuses some calls and answers others.
	minRefusals    = 3
	minRefusedTime = 250 * time.Millisecond
	// The path also counts as lost after minThrottles refusals of any kind, throttled calls
	// included, with no answer between them, if the first was at least minThrottledTime ago. A
	// store over its rate limit still serves most calls, whereas one that throttles a single
	// machine serves none of its calls.
	minThrottles     = 6
	minThrottledTime = 500 * time.Millisecond
)

// path is the state of this daemon's own path to the journal, that is, whether its direct calls
// are answered. It is safe for concurrent use.
type path struct {
	mu sync.Mutex
	// unanswered holds the calls without an answer. An answer to any call removes all of them.
	unanswered map[*pendingCall]struct{}
	// lastAnswer is the time of the last answer to any call, or of newPath.
	lastAnswer time.Time
	// refusals counts the refusals since the last answer, throttles those of them that were due
	// to a rate limit. firstRefusal is the time of the first refusal.
	refusals, throttles int
	firstRefusal        time.Time
	lost                bool
	// lostCh is closed when the path is lost, and replaced when it is restored.
	lostCh chan struct{}
}

// pendingCall is a call that should have an answer by the time due.
type pendingCall struct{ due time.Time }

func newPath(now time.Time) *path {
	return &path{unanswered: map[*pendingCall]struct{}{}, lastAnswer: now, lostCh: make(chan struct{})}
}

// begin records the start of a call that the journal may hold open for wait until records arrive.
// The caller must pass the result to finish.
func (p *path) begin(now time.Time, wait time.Duration) *pendingCall {
	call := &pendingCall{due: now.Add(wait)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unanswered[call] = struct{}{}
	return call
}

// finish records the outcome of a call and reports whether it restores the path.
// journal.ErrUnknown is no answer: the call stays in unanswered, so that the path can become
// overdue.
func (p *path) finish(call *pendingCall, err error, now time.Time) (restored bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unavailable *journal.UnavailableError
	var throttled *journal.ThrottledError
	switch {
	case errors.As(err, &unavailable):
		p.countRefusal(call, now)
	case errors.As(err, &throttled):
		p.countRefusal(call, now)
		p.throttles++
	case err == nil, !errors.Is(err, journal.ErrUnknown):
		// Any answer shows that the path works, so older calls without an answer no longer count
		// against it.
		restored, p.lost = p.lost, false
		if restored {
			p.lostCh = make(chan struct{})
		}
		p.lastAnswer, p.refusals, p.throttles = now, 0, 0
		clear(p.unanswered)
	}
	return restored
}

// countRefusal records that a call was refused. p.mu must be held.
func (p *path) countRefusal(call *pendingCall, now time.Time) {
	delete(p.unanswered, call)
	if p.refusals == 0 {
		p.firstRefusal = now
	}
	p.refusals++
}

// detectLoss checks whether the path has to count as lost. If it was not lost before, it marks it
// as lost, closes lostCh and returns true and the reason. For a path that is already lost it
// returns false.
func (p *path) detectLoss(now time.Time) (lost bool, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost {
		return false, ""
	}
	switch {
	case p.refusals-p.throttles >= minRefusals && now.Sub(p.firstRefusal) >= minRefusedTime:
		reason = "refused"
	case p.refusals >= minThrottles && now.Sub(p.firstRefusal) >= minThrottledTime:
		reason = "throttled"
	case p.hasOverdueCall(now):
		reason = "no answer"
	default:
		return false, ""
	}
	p.lost = true
	close(p.lostCh)
	return true, reason
}

// hasOverdueCall reports whether there has been no answer for more than maxOverdue while some
// call is overdue by more than that. p.mu must be held.
func (p *path) hasOverdueCall(now time.Time) bool {
	if now.Sub(p.lastAnswer) <= maxOverdue {
		return false
	}
	for call := range p.unanswered {
		if now.Sub(call.due) > maxOverdue {
			return true
		}
	}
	return false
}

// state reports whether the path is lost, and returns a channel that is closed once it is.
func (p *path) state() (lost bool, lostCh <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost, p.lostCh
}

// timeSinceAnswer returns the time since the last answer to any call.
func (p *path) timeSinceAnswer(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastAnswer)
}
