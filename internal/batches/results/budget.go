package results

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// ownReadFraction is the part of the journal's bandwidth that all daemons together use
	// to read partitions for questions. The other half is left to those who must read: the
	// watchers of partitions, and the followers of configurations and replicas.
	ownReadFraction = 0.5
	// budgetBurstTime is for how long a daemon saves up what it does not read: the questions of
	// one caller about one batch are some seconds apart.
	budgetBurstTime = 4 * time.Second
)

// readBudget is what this daemon may read for questions: its part of a share of the
// journal's bandwidth, by what the journal is seen to send. It begins empty, so that after a
// start of all daemons at once the bandwidth belongs to the watchers of partitions.
type readBudget struct {
	bytesPerSecond float64
	daemonCount    func() int
	limiter        *rate.Limiter

	mu        sync.Mutex
	bandwidth *bandwidthFraction
	// lastDaemonCount is how many daemons there were at the last look.
	lastDaemonCount int
}

// newReadBudget returns the budget of one of some daemons before a journal that sends so
// many bytes a second. Nothing may be read as long as their number is 0.
func newReadBudget(bytesPerSecond float64, daemons func() int) *readBudget {
	now := time.Now()
	b := &readBudget{
		bytesPerSecond: bytesPerSecond,
		daemonCount:    daemons,
		limiter:        rate.NewLimiter(0, 1),
		bandwidth:      newBandwidthFraction(now),
	}
	b.adjust(now)
	b.discardTokens(now)
	return b
}

// adjust brings the budget up to date with the number of daemons and with the share.
func (b *readBudget) adjust(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	daemons, bytes := b.daemonCount(), 0.0
	if daemons > 0 {
		bytes = b.bytesPerSecond * ownReadFraction * b.bandwidth.current(now) / float64(daemons)
	}
	if b.limiter.Limit() != rate.Limit(bytes) {
		b.limiter.SetLimitAt(now, rate.Limit(bytes))
		b.limiter.SetBurstAt(now, max(int(bytes*budgetBurstTime.Seconds()), 1))
	}
	if daemons > b.lastDaemonCount {
		// What was saved up while fewer were known is the others' too.
		b.discardTokens(now)
	}
	b.lastDaemonCount = daemons
}

// discardTokens takes all that was saved up.
func (b *readBudget) discardTokens(now time.Time) {
	b.limiter.AllowN(now, int(b.limiter.TokensAt(now)))
}

// take takes bytes off the budget if it has that many.
func (b *readBudget) take(bytes int) bool {
	now := time.Now()
	b.adjust(now)
	return b.limiter.AllowN(now, bytes)
}

// noteLate tells the budget that a read was given up as noteLate: its share is less from now on.
func (b *readBudget) noteLate() {
	now := time.Now()
	b.mu.Lock()
	b.bandwidth.noteLate(now)
	b.mu.Unlock()
	b.adjust(now)
}

// recentlyLate reports whether the journal was late lately, so that less than the whole share is used.
func (b *readBudget) recentlyLate() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bandwidth.recentlyLate(time.Now())
}

func (b *readBudget) available() int {
	return max(int(b.limiter.Tokens()), 0)
}

// takePage takes a page off the budget, or all that it may save up where that is less.
func (b *readBudget) takePage(bytes int) bool {
	b.adjust(time.Now())
	return b.take(min(bytes, b.limiter.Burst()))
}

// await waits until the budget has had so many bytes more, or until the context ends.
func (b *readBudget) await(ctx context.Context, bytes int) error {
	for bytes > 0 {
		b.adjust(time.Now())
		part := min(bytes, b.limiter.Burst())
		err := b.limiter.WaitN(ctx, part)
		switch {
		case err == nil:
			bytes -= part
		case part <= b.limiter.Burst():
			return err
		}
		// Else the number of daemons has risen since, and with it fell what fits.
	}
	return nil
}
