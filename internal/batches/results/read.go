package results

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/logging"
)

var (
	// errOverBudget says that the fold lacks more bytes than the budget allows this daemon to
	// read.
	errOverBudget = errors.Wrap(ErrNotCaughtUp, "more to read than the budget allows")
	// errWatcherIsSelf says that this daemon watches the partition, so that there is no other to
	// ask.
	errWatcherIsSelf = errors.Wrap(ErrNotCaughtUp, "the watcher is this daemon")
	// errOwnReadLate says that this daemon's own read of the partition is late. The read
	// continues, but the watcher must be asked as well.
	errOwnReadLate = errors.Wrap(ErrNotCaughtUp, "the own read is late")
)

// pendingQuery is a query that is being answered.
type pendingQuery[Q, T any] struct {
	*queryTrace
	queryKind[Q, T]
}

// queryKind says how queries of type Q are answered, with an answer of type T.
type queryKind[Q, T any] struct {
	// method is the RPC method of the watcher.
	method string
	// withWait returns the query with wait as the time for which it may be kept open.
	withWait func(wait time.Duration) Q
	// fromFold answers from this daemon's fold, after reads of the journal where needed; ready
	// reports whether the fold holds an answer without a read.
	fromFold func(ctx context.Context, query Q) (T, error)
	ready    func() bool
}

// answerQuery answers a query that may be kept open for wait. It returns at most answerTimeout
// after that time.
func answerQuery[Q, T any](
	ctx context.Context, r *Reader, batchID string, wait time.Duration, k queryKind[Q, T],
) (answer T, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	q := pendingQuery[Q, T]{queryTrace: r.startTrace(batchID, wait), queryKind: k}
	defer func() { q.end(err) }()
	return q.answer(ctx)
}

// answer tries the ways to an answer in order: a fresh fold, an own read within the budget, the
// partition's watcher while that read continues, and a read at the rate of the budget.
func (q *pendingQuery[Q, T]) answer(ctx context.Context) (answer T, err error) {
	if q.partition.IsFresh() || q.reader.budget == nil {
		return q.fromFold(ctx, q.withWait(q.wait))
	}
	q.way = wayBudget
	own := async(func() (T, error) { return q.readWithinBudget(ctx) })
	answer, err = q.awaitOwnRead(own)
	if err == nil || ctx.Err() != nil {
		return answer, err
	}
	answer, err = q.raceWatcher(ctx, own)
	switch {
	case err == nil:
		return answer, nil
	case errors.Is(err, errWatcherIsSelf):
		q.way = wayFold
		return q.fromFold(ctx, q.withWait(q.waitLeft()))
	case ctx.Err() != nil:
		return answer, err
	}
	return q.readPaced(ctx, err)
}

// readWithinBudget answers from this daemon's fold if the budget covers what the fold lacks; else
// it returns errOverBudget.
func (q *pendingQuery[Q, T]) readWithinBudget(ctx context.Context) (answer T, err error) {
	if !q.reader.reserveMissing(ctx, q.partition) {
		return answer, errOverBudget
	}
	return q.fromFold(ctx, q.withWait(q.wait))
}

// awaitOwnRead returns the outcome of the own read, or errOwnReadLate if the journal has not
// answered within askWatcherDelay. A long poll whose read has reached the end of the partition is
// awaited further.
func (q *pendingQuery[Q, T]) awaitOwnRead(own *future[T]) (answer T, err error) {
	timer := time.NewTimer(askWatcherDelay)
	defer timer.Stop()
	select {
	case <-own.done:
		return own.value, own.err
	case <-timer.C:
	}
	if q.partition.LastReadToEnd().After(q.began) {
		<-own.done
		return own.value, own.err
	}
	late := logging.Occurrence{Subject: q.partition.Name().Topic, Took: askWatcherDelay}
	q.reader.lateReads.Note(late, zap.String("batch", q.batchID), zap.Inline(q.partition))
	return answer, errOwnReadLate
}

// raceWatcher asks the partition's watcher while the own read continues, unless that read has
// failed, and returns the first answer of the two.
func (q *pendingQuery[Q, T]) raceWatcher(ctx context.Context, own *future[T]) (answer T, err error) {
	q.way = wayWatcher
	watcher := async(func() (watcherReply[T], error) { return q.askWatcher(ctx) })
	awaitEither(own, watcher)
	if own.succeeded() {
		q.way = wayBudget
		return own.value, nil
	}
	q.call = watcher.value.watcherCall
	if watcher.err != nil {
		return answer, watcher.err
	}
	if !own.ended() {
		// The journal sends less than this daemon's budget assumes.
		q.reader.budget.noteLate()
	}
	return watcher.value.answer, nil
}

// readPaced answers after reading the partition at the rate of the budget. cause says why the
// watcher gave no answer; it is only logged.
func (q *pendingQuery[Q, T]) readPaced(ctx context.Context, cause error) (answer T, err error) {
	q.way = wayPaced
	if err := q.reader.acquireColdRead(ctx); err != nil {
		return answer, err
	}
	defer func() { <-q.reader.coldReads }()
	missing, _ := q.partition.MissingBytes()
	q.reader.logger.Info("partition read for a query", zap.String("batch", q.batchID), zap.Inline(q.partition),
		zap.String("watcher", q.call.watcher), zap.Int("missing", missing), zap.String("reason", cause.Error()))
	if err := q.reader.readPages(ctx, q.partition, q.ready); err != nil {
		return answer, err
	}
	return q.fromFold(ctx, q.withWait(q.waitLeft()))
}
