package ledger

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/periodic"
)

const (
	// followPollTimeout is how long a read at the end of the partition waits for new records.
	followPollTimeout = time.Second
	// followRetryDelay is the wait after a failed read.
	followRetryDelay = 200 * time.Millisecond
)

// Follow keeps the fold up to date in the background until unfollow is called, which may be called
// more than once.
func (p *Partition) Follow() (unfollow func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.followers++
	if p.followers == 1 {
		ctx, cancel := context.WithCancel(p.ledger.ctx)
		p.stopFollow = cancel
		go p.follow(ctx)
	}
	return sync.OnceFunc(p.unfollow)
}

func (p *Partition) unfollow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.followers--
	if p.followers == 0 {
		p.stopFollow()
	}
}

// follow keeps a long poll open at the end of the partition. While the fold is behind it uses CatchUp
// instead, which shares its reads with other callers, so that nothing is read twice.
func (p *Partition) follow(ctx context.Context) {
	for ctx.Err() == nil {
		var err error
		if p.isBehind() {
			err = p.CatchUp(ctx)
		} else {
			_, err = p.readOnce(ctx, followPollTimeout)
		}
		if err != nil {
			// Retried after the delay. Callers that depend on the journal log its failures.
			p.ledger.logger.Debug("partition not followed", zap.Inline(p), zap.Error(err))
			periodic.Pause(ctx, followRetryDelay)
		}
	}
}
