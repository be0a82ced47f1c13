package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/shutdown"
)

// SetStopGrace sets how long a planned stop may take, for one that has not begun.
func (node *Node) SetStopGrace(grace time.Duration) {
	node.grace.Store(int64(grace))
	keep := keepFor(shutdown.PlanOf(grace).Interrupt)
	node.front.setKeep(keep)
	node.internal.setKeep(keep)
}

// Stop takes no more work, hands batches over, finishes what is under way and
// ends the daemon within the grace. A second call waits for the first.
func (node *Node) Stop() {
	node.stopOnce.Do(node.stop)
}

func (node *Node) stop() {
	began := time.Now()
	grace := time.Duration(node.grace.Load())
	plan := node.shutdown.Begin(grace)
	node.logger.Info("stopping", zap.Int64("in_flight", node.handler.InFlight()), zap.Duration("grace", grace),
		zap.Duration("drain", plan.Drain), zap.Duration("interrupt", plan.Interrupt), zap.Int("connections", len(node.front.conns.all())))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(plan.Interrupt))
	defer cancel()
	released := make(chan struct{})
	go func() {
		defer close(released)
		go node.lease.Withdraw(ctx)
		go node.member.Leave(ctx)
		node.runner.Release(ctx)
	}()
	var draining sync.WaitGroup
	if node.relay != nil {
		draining.Go(func() { node.relay.Drain(ctx) })
		draining.Go(func() { node.drainHandoff(ctx) })
	}
	for _, each := range []*frontServer{node.front, node.internal} {
		draining.Go(func() { each.stop(ctx) })
	}
	draining.Wait()
	select {
	case <-released:
	case <-ctx.Done():
	}
	node.flushUsage(ctx)
	node.resign(plan.Resign)
	node.cancel()
	node.logger.Info("stopped", zap.Duration("took", time.Since(began)), zap.Int64("in_flight", node.handler.InFlight()))
}

// resign gives the lease up last: orders go on while the daemon stops.
func (node *Node) resign(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	node.lease.Resign(ctx)
}
