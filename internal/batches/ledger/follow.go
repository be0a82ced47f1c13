package ledger

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/periodic"
)

const (
	// followPollTimeout is how long a read at the partition's end waits for records.
	followPollTimeout = time.Second
	// followRetryDelay is the pause after a failed read.
	followRetryDelay = 200 * time.Millisecond
)

// Follow keeps the fold up to date until the returned function is called.
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

// follow keeps a read waiting at the partition's end. As long as the fold lacks more it shares the
// reads of those who catch up, so that nothing is read twice.
func (p *Partition) follow(ctx context.Context) {
	for ctx.Err() == nil {
		var err error
		if p.isBehind() {
			err = p.CatchUp(ctx)
		} else {
			_, err = p.readOnce(ctx, followPollTimeout)
		}
		if err != nil {
			// It is tried again; that the journal does not answer is logged by those who call it.
			p.ledger.logger.Debug("partition not followed", zap.Inline(p), zap.Error(err))
			periodic.Pause(ctx, followRetryDelay)
		}
	}
}
