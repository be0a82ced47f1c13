package results

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// ownReadFraction is the fraction of the journal's bandwidth that all daemons together use to
	// read partitions for queries. The rest is left to watchers of partitions and to followers of
	// configurations and replicas.
	ownReadFraction = 0.5
	// budgetBurstTime is the time over which unused budget accumulates. A caller's queries about
	// one batch are some seconds apart.
	budgetBurstTime = 4 * time.Second
)

// readBudget bounds what this daemon reads for queries. It is a token bucket of bytes that fills at
// this daemon's equal share of ownReadFraction of the journal's bandwidth, and more slowly while
// reads are late. It starts empty, so that just after a start of all daemons the bandwidth is left
// to the watchers. It is safe for concurrent use.
type readBudget struct {
	// bytesPerSecond is the read bandwidth that the journal grants to all daemons together.
	bytesPerSecond float64
	// daemonCount returns the number of daemons, 0 while it is not known.
	daemonCount func() int
	limiter     *rate.Limiter

	// mu guards the fields below and makes adjust atomic.
	mu        sync.Mutex
	bandwidth *bandwidthFraction
	// lastDaemonCount is the number of daemons at the last adjust.
	lastDaemonCount int
}

// newReadBudget returns an empty budget for one of the daemons that share a journal of
// bytesPerSecond. daemons returns their number; nothing may be read while it returns 0.
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

// adjust updates the rate and the burst to the number of daemons and the usable bandwidth. It
// discards the accumulated budget when the number of daemons rises.
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
		// What accumulated while fewer daemons were known belongs to the others as well.
		b.discardTokens(now)
	}
	b.lastDaemonCount = daemons
}

// discardTokens empties the bucket.
func (b *readBudget) discardTokens(now time.Time) {
	b.limiter.AllowN(now, int(b.limiter.TokensAt(now)))
}

// take takes the given number of bytes off the budget if the budget has that many, and reports
// whether it did.
func (b *readBudget) take(bytes int) bool {
	now := time.Now()
	b.adjust(now)
	return b.limiter.AllowN(now, bytes)
}

// noteLate records that a read was late, and reduces the rate.
func (b *readBudget) noteLate() {
	now := time.Now()
	b.mu.Lock()
	b.bandwidth.noteLate(now)
	b.mu.Unlock()
	b.adjust(now)
}

// recentlyLate reports whether the rate was reduced for a late read within the last
// budgetBurstTime.
func (b *readBudget) recentlyLate() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bandwidth.recentlyLate(time.Now())
}

// available returns how many bytes may be read now.
func (b *readBudget) available() int {
	return max(int(b.limiter.Tokens()), 0)
}

// takePage takes the bytes of a page off the budget, but at most a full bucket, and reports
// whether the budget had that many.
func (b *readBudget) takePage(bytes int) bool {
	b.adjust(time.Now())
	return b.take(min(bytes, b.limiter.Burst()))
}

// await takes the given number of bytes off the budget as they become available. It returns an
// error if the context ends first.
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
		// Otherwise the burst has shrunk below part meanwhile, so a smaller part is tried.
	}
	return nil
}
