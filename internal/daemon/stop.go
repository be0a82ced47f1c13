package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/periodic"
)

const (
	stopStep = 50 * time.Millisecond
	// recordsWait bounds the wait for records to be safe without this daemon.
	recordsWait = 10 * time.Second
	// noticeTime lets callers see that the daemon is not ready, and peers that
	// it leaves, before listeners close.
	noticeTime = 300 * time.Millisecond
	// finishTimeout bounds the last words to peers.
	finishTimeout = time.Second
)

// ErrGraceOver means that requests were still in flight when the grace ended.
var ErrGraceOver = errors.New("daemon: stop grace is over")

// Stop ends the daemon by plan: it takes no new work, hands its chunks over,
// waits until its records are safe without it, lets requests in flight end,
// and goes. It returns ErrGraceOver if that took longer than the grace.
func (daemon *Daemon) Stop() error {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), daemon.settings.Timing.StopGrace.Std())
	defer cancel()
	daemon.logger.Info("stop begun", zap.Int64("in_flight", daemon.gateway.InFlight()))
	daemon.gateway.StopAdmitting()
	daemon.gossip.Leave()
	periodic.Pause(ctx, noticeTime)
	daemon.handOverChunks(ctx)
	daemon.awaitRecordsElsewhere(ctx)
	err := daemon.gateway.Shutdown(ctx)
	finishContext, finished := context.WithTimeout(context.Background(), finishTimeout)
	daemon.gossip.Finish(finishContext)
	finished()
	daemon.Close()
	daemon.logger.Info("stop done", zap.Duration("took", time.Since(startedAt)), zap.Bool("clean", err == nil))
	if err != nil {
		return errors.Wrap(ErrGraceOver, err.Error())
	}
	return nil
}

// Close ends everything at once.
func (daemon *Daemon) Close() {
	daemon.cancel()
	daemon.server.Close()
	daemon.pool.Close()
}

// handOverChunks moves every chunk to its next home, with what is generated.
// Without another serving daemon there is nowhere to go.
func (daemon *Daemon) handOverChunks(ctx context.Context) {
	for ctx.Err() == nil {
		if len(daemon.gossip.Serving()) == 0 {
			return
		}
		if daemon.home.HandOver(ctx) == 0 {
			return
		}
		periodic.Pause(ctx, stopStep)
	}
}

// awaitRecordsElsewhere waits until the records kept here are served by
// majorities that do not need this daemon. While the log is out of reach no
// epoch can change, and the wait is bounded.
func (daemon *Daemon) awaitRecordsElsewhere(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordsWait)
	defer cancel()
	self := string(daemon.gossip.Self().ID)
	for ctx.Err() == nil {
		if len(daemon.gossip.Serving()) < 2 || daemon.epochs.SafeWithout(ctx, self) {
			return
		}
		periodic.Pause(ctx, stopStep)
	}
}
