package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/shutdown"
)

// SetStopGrace sets how long a planned stop may take. It has no effect on one that has begun.
func (n *Node) SetStopGrace(grace time.Duration) {
	n.grace.Store(int64(grace))
	keep := int64(keepAliveForStop(shutdown.PlanOf(grace).Interrupt))
	n.public.keepAlive.Store(keep)
	n.internal.keepAlive.Store(keep)
}

// Stop accepts no more work, hands over the batches of this daemon, finishes requests in progress
// and ends the daemon, all within the grace. Further calls wait for the first.
func (n *Node) Stop() {
	n.stopOnce.Do(n.stop)
}

func (n *Node) stop() {
	began := time.Now()
	grace := time.Duration(n.grace.Load())
	plan := n.shutdown.Begin(grace)
	n.logger.Info("stopping", zap.Int64("in_flight", n.handler.InFlight()), zap.Duration("grace", grace),
		zap.Duration("drain", plan.Drain), zap.Duration("interrupt", plan.Interrupt),
		zap.Int("connections", len(n.public.conns.all())))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(plan.Interrupt))
	defer cancel()
	released := make(chan struct{})
	go func() {
		defer close(released)
		go n.lease.Withdraw(ctx)
		go n.member.Leave(ctx)
		n.runner.Release(ctx)
	}()
	var draining sync.WaitGroup
	if n.relay != nil {
		draining.Go(func() { n.relay.Drain(ctx) })
	}
	for _, l := range []*clientListener{n.public, n.internal} {
		draining.Go(func() { l.stop(ctx) })
	}
	draining.Wait()
	select {
	case <-released:
	case <-ctx.Done():
	}
	n.flushUsage(ctx)
	n.resign(plan.Resign)
	n.cancel()
	n.logger.Info("stopped", zap.Duration("took", time.Since(began)), zap.Int64("in_flight", n.handler.InFlight()))
}

// resign gives up the lease. It is the last step, so that engines still get orders during the stop.
func (n *Node) resign(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	n.lease.Resign(ctx)
}
