// Package shutdown tells the parts of a daemon how far its planned stop has come.
//
// The platform asks a daemon to stop and kills it after a grace. Requests that come in
// the first part of the grace are taken as ever, as callers and the platform may not
// know yet; later ones only if they surely end in time. Whatever is under way at the
// end is interrupted, so that it is answered as it stands.
//
// The package owns when the stop began and how its grace is divided. It relies on a clock that also
// counts the time in which the machine is suspended.
//
// Invariant: a request is interrupted only by the end of a stop, and is told so by the
// cause of its context. It is never told so because its caller has left.
//
// # Usage
//
//	stop := shutdown.New()
//	ctx, release := stop.Bound(r.Context()) // for each request
//	defer release()
//	...
//	if shutdown.Interrupted(ctx) {
//		// Answer with what is certain: the caller is still there.
//	}
//
// and where the daemon is told to stop:
//
//	plan := stop.Begin(grace)
//	...
//	stop.Interrupt()
package shutdown

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/daemon/bootclock"
)

// ErrInterrupted is the cause of a context that the end of a stop has ended.
var ErrInterrupted = errors.New("shutdown: the daemon stops")

const (
	// longestDrain is how long after the beginning of a stop new connections are
	// expected. The platform looks at readiness once a second and sends none after two
	// looks; the third second is for those under way.
	longestDrain = 3 * time.Second
	// drainShare bounds that time where the grace is short, as a part of the grace.
	drainShare = 3.0 / 8
	// asEverShare is the part of that time in which requests are taken whatever time
	// they need: callers may not have seen yet that the daemon is not ready.
	asEverShare = 5.0 / 6
	// longestMargin is left of the grace when what is under way is interrupted: for
	// the answers, for giving up the lease, and for the process to end. A process that
	// has a tenth of a core answers 1,000 requests in 0.5 s.
	longestMargin = 800 * time.Millisecond
	// marginShare bounds that time where the grace is short, as a part of the grace.
	marginShare = 1.0 / 8
	// answerShare and resignShare divide that time; the rest is for the process to end.
	// Interrupted requests wait for nothing but the processor any more, a resignation
	// for one append to the journal.
	answerShare = 5.0 / 12
	resignShare = 1.0 / 2
)

// Plan is how a stop divides its grace. Times are counted from its beginning.
type Plan struct {
	// AsEver is until when requests are taken whatever time they need.
	AsEver time.Duration
	// Drain is until when new connections are expected.
	Drain time.Duration
	// Interrupt is when what is under way is interrupted.
	Interrupt time.Duration
	// Answer is how long the answers to what was interrupted may take.
	Answer time.Duration
	// Resign is how long giving up the lease may take.
	Resign time.Duration
}

// PlanOf divides a grace.
func PlanOf(grace time.Duration) Plan {
	margin := min(longestMargin, part(grace, marginShare))
	drain := min(longestDrain, part(grace, drainShare))
	return Plan{
		AsEver:    part(drain, asEverShare),
		Drain:     drain,
		Interrupt: grace - margin,
		Answer:    part(margin, answerShare),
		Resign:    part(margin, resignShare),
	}
}

func part(whole time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(whole))
}

// Stop is the planned stop of a daemon, which may not have begun. It is safe for
// concurrent use.
type Stop struct {
	begun     context.Context
	begin     context.CancelFunc
	ending    context.Context
	interrupt context.CancelCauseFunc

	// now is the clock by which the platform counts the grace.
	now bootclock.Clock

	mu   sync.Mutex
	at   time.Time
	plan Plan
}

// New returns a stop that has not begun.
func New() *Stop {
	begun, begin := context.WithCancel(context.Background())
	ending, interrupt := context.WithCancelCause(context.Background())
	return &Stop{begun: begun, begin: begin, ending: ending, interrupt: interrupt, now: bootclock.Now}
}

// SetClock sets the clock by which the stop's time runs. It is called before Begin.
func (s *Stop) SetClock(now bootclock.Clock) { s.now = now }

// defaultGrace divides a stop that has not begun.
const defaultGrace = 2 * time.Minute

// Plan returns how the stop divides its grace.
func (s *Stop) Plan() Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at.IsZero() {
		return PlanOf(defaultGrace)
	}
	return s.plan
}

// Begin begins the stop and returns its plan. Only the first call counts.
func (s *Stop) Begin(grace time.Duration) Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at.IsZero() {
		s.at, s.plan = s.now(), PlanOf(grace)
		s.begin()
	}
	return s.plan
}

// Begun is a context that ends when the stop begins.
func (s *Stop) Begun() context.Context { return s.begun }

// Left returns how long a request that comes now may take, and false if no stop bounds
// it.
func (s *Stop) Left() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at.IsZero() {
		return 0, false
	}
	since := s.now().Sub(s.at)
	if since < s.plan.AsEver {
		return 0, false
	}
	return s.plan.Interrupt - since, true
}

// Interrupt ends the contexts of all requests under way and of those to come.
func (s *Stop) Interrupt() { s.interrupt(ErrInterrupted) }

// Bound returns a context that ends with its parent or as the stop interrupts what is
// under way. The caller must release it.
func (s *Stop) Bound(parent context.Context) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(parent)
	detach := context.AfterFunc(s.ending, func() { cancel(ErrInterrupted) })
	return ctx, func() {
		detach()
		cancel(context.Canceled)
	}
}

// Interrupted reports whether a context ended because the stop interrupted it.
func Interrupted(ctx context.Context) bool {
	return ctx.Err() != nil && errors.Is(context.Cause(ctx), ErrInterrupted)
}
