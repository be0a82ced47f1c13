package results

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
	"woodworks/internal/membership/identity"
)

// watcherReply is the answer of a partition's watcher with the details of the call.
type watcherReply[T any] struct {
	answer T
	watcherCall
}

// watcherCall describes a call to a partition's watcher.
type watcherCall struct {
	// watcher is the incarnation that was called, "" if it was not known; searchTook is the
	// duration of the lookup and callTook that of the call.
	watcher              string
	searchTook, callTook time.Duration
	err                  error
}

// askWatcher looks up the partition's watcher and calls it with the query. The error is
// errWatcherIsSelf if this daemon is the watcher, and else wraps ErrNotCaughtUp.
func (q *pendingQuery[Q, T]) askWatcher(ctx context.Context) (reply watcherReply[T], err error) {
	began := time.Now()
	watcher, ok := q.reader.awaitWatcher(ctx, q.partition.Name())
	reply.watcher, reply.searchTook = watcher, time.Since(began)
	if ok && watcher == q.reader.self {
		return reply, errWatcherIsSelf
	}
	began = time.Now()
	wait := q.waitLeft()
	reply.answer, reply.err = callWatcher[T](ctx, q.reader, watcher, q.method, q.withWait(wait), wait)
	reply.callTook = time.Since(began)
	return reply, reply.err
}

// awaitWatcher returns the incarnation that watches a partition. While the watcher is not known,
// as just after a start, the lookup is repeated for up to watcherSearchTimeout. The result is
// false if the watcher is still not known then.
func (r *Reader) awaitWatcher(ctx context.Context, name journal.Partition) (string, bool) {
	for began := time.Now(); ; {
		watcher, ok := r.watchers.WatcherOf(ctx, name)
		if ok || time.Since(began) > watcherSearchTimeout {
			return watcher, ok
		}
		periodic.Pause(ctx, watcherSearchInterval)
		if ctx.Err() != nil {
			return "", false
		}
	}
}

// callWatcher calls an RPC method of a partition's watcher; watcher is "" if it is not known. The
// watcher may hold the call open for wait, so the timeout is wait plus watcherTimeout. The error
// wraps ErrNotCaughtUp.
func callWatcher[T any](
	ctx context.Context, r *Reader, watcher, method string, args any, wait time.Duration,
) (answer T, err error) {
	switch {
	case ctx.Err() != nil:
		return answer, errors.Wrap(ErrNotCaughtUp, ctx.Err().Error())
	case watcher == "":
		return answer, errors.Wrap(ErrNotCaughtUp, "not known who watches the partition")
	}
	bounded, cancel := context.WithTimeout(ctx, wait+watcherTimeout)
	defer cancel()
	// After an error a late response may still be written to the reply, so it is not read then.
	var reply T
	if err := r.peers.Ask(bounded, identity.Machine(watcher), method, args, &reply); err != nil {
		return answer, errors.Wrap(ErrNotCaughtUp, err.Error())
	}
	return reply, nil
}
