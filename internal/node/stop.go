package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// drainTime is how long requests are still taken after a stop began: by
	// then the platform sends no new ones.
	drainTime = 3 * time.Second
	// stopMargin is left of the grace when what is under way is cut.
	stopMargin = 600 * time.Millisecond
	// resignTime is how long the resignation of the lease may take, in that margin.
	resignTime = 300 * time.Millisecond
)

// Stop takes no more work, hands batches over, finishes what is under way and
// ends the daemon within the grace of the settings. A second call waits for the
// first.
func (node *Node) Stop() {
	node.stopOnce.Do(node.stop)
}

func (node *Node) stop() {
	began := time.Now()
	close(node.stopping)
	node.logger.Info("stopping", zap.Int64("in_flight", node.handler.InFlight()))
	grace := node.settings.Timing.StopGrace.Std() - stopMargin
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace))
	defer cancel()
	released := make(chan struct{})
	go func() {
		defer close(released)
		go node.lease.Withdraw(ctx)
		go node.member.Leave(ctx)
		node.runner.Release(ctx)
	}()
	var listeners sync.WaitGroup
	listeners.Go(func() { node.front.stop(ctx) })
	listeners.Go(func() { node.internal.stop(ctx) })
	listeners.Wait()
	select {
	case <-released:
	case <-ctx.Done():
	}
	node.flushUsage(ctx)
	node.resign()
	node.cancel()
	node.logger.Info("stopped", zap.Duration("took", time.Since(began)), zap.Int64("in_flight", node.handler.InFlight()))
}

// resign gives the lease up last: orders go on while the daemon stops.
func (node *Node) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), resignTime)
	defer cancel()
	node.lease.Resign(ctx)
}
