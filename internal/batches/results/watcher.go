package results

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
	"woodworks/internal/membership/identity"
)

// watcherReply is the answer of a partition's watcher, with how it came about.
type watcherReply[T any] struct {
	answer T
	watcherCall
}

// watcherCall is the outcome of asking the watcher of a partition.
type watcherCall struct {
	// watcher is the incarnation that was asked, "" if it was not known, soughtFor how long it
	// took to learn of it, and askedFor how long it was waited for.
	watcher              string
	searchTook, callTook time.Duration
	err                  error
}

// askWatcher looks for the partition's watcher and has it answer the question. The error is errSelf
// if that is this daemon.
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

// awaitWatcher returns the incarnation that watches a partition. Just after a start it waits a
// little until that is known.
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

// callWatcher calls a method of a partition's watcher, "" being none that is known. The call may
// be kept open for wait.
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
	// A late reply may still be written after an error, and is not read then.
	var reply T
	if err := r.peers.Ask(bounded, identity.Machine(watcher), method, args, &reply); err != nil {
		return answer, errors.Wrap(ErrNotCaughtUp, err.Error())
	}
	return reply, nil
}
