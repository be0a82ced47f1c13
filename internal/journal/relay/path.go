package relay

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

const (
	// maxOverdue is how long an answer may be overdue, with no other one since,
	// for the path to count as lost: twice what a store takes that is sixty times
	// slower than usual.
	maxOverdue = 500 * time.Millisecond
	// minRefusals: so many refusals in a row, the first refusedAfter ago or more, and the
	// path counts as lost. A store that is full refuses some calls and answers others.
	minRefusals    = 3
	minRefusedTime = 250 * time.Millisecond
	// minThrottles: so many in a row with some for the rate, the first throttledAfter ago
	// or more, and it does too. A store whose rate is exceeded serves most calls all the
	// same; one that throttles a single machine serves none of its calls.
	minThrottles     = 6
	minThrottledTime = 500 * time.Millisecond
)

// path is what is believed of this daemon's own path to the journal. It is safe for
// concurrent use.
type path struct {
	mu sync.Mutex
	// unanswered has the calls without an answer, with the time by which each should
	// have had one.
	unanswered map[*pendingCall]struct{}
	lastAnswer time.Time
	// refusals counts the refusals since the last answer, the first at refusedAt;
	// throttles are those of them for the rate.
	refusals, throttles int
	firstRefusal        time.Time
	lost                bool
	// lostCh is closed when the path is lost, and made anew when it is back.
	lostCh chan struct{}
}

// pendingCall is a call that should have an answer by a time.
type pendingCall struct{ due time.Time }

func newPath(now time.Time) *path {
	return &path{unanswered: map[*pendingCall]struct{}{}, lastAnswer: now, lostCh: make(chan struct{})}
}

// begin notes a call that waits for records so long.
func (p *path) begin(now time.Time, wait time.Duration) *pendingCall {
	call := &pendingCall{due: now.Add(wait)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unanswered[call] = struct{}{}
	return call
}

// finish takes the outcome of a call into account. It returns true if the path is back
// with it. An unknown outcome is no answer: the call stays expected, so that the path can
// become overdue.
func (p *path) finish(call *pendingCall, err error, now time.Time) (back bool) {
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
		// Any answer shows that the path stands, and that older calls without
		// one say nothing any more.
		back, p.lost = p.lost, false
		if back {
			p.lostCh = make(chan struct{})
		}
		p.lastAnswer, p.refusals, p.throttles = now, 0, 0
		clear(p.unanswered)
	}
	return back
}

// countRefusal notes a refused call. The mutex is held.
func (p *path) countRefusal(call *pendingCall, now time.Time) {
	delete(p.unanswered, call)
	if p.refusals == 0 {
		p.firstRefusal = now
	}
	p.refusals++
}

// detectLoss decides whether the path counts as lost. It returns true, with the reason, if it does from
// now on, and tells who waits on lostCh.
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

// hasOverdueCall reports whether a call has been without an answer for too long. The mutex
// is held.
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

// state returns whether the path is lost, and a channel that is closed when it is.
func (p *path) state() (lost bool, lostCh <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost, p.lostCh
}

// timeSinceAnswer is for how long there was no answer.
func (p *path) timeSinceAnswer(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastAnswer)
}
