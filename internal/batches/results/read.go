package results

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/ledger"
)

var (
	// errUnaffordable: the budget does not allow this daemon to read what it lacks.
	errUnaffordable = errors.Wrap(ErrBehind, "more to read than the budget allows")
	// errSelf: this daemon watches the partition.
	errSelf = errors.Wrap(ErrBehind, "the holder is this daemon")
	// errLate: the own read has not ended, and the watcher is to be asked meanwhile.
	errLate = errors.Wrap(ErrBehind, "the own read is late")
)

// question is a question on its way to an answer.
type question[T any] struct {
	r         *Reader
	batchID   string
	partition *ledger.Partition
	// method and args are what the watcher is called with.
	method string
	args   request
	here   local[T]
	// trace has the time for which the caller asked that the question be kept open.
	trace *trace
}

// request is what a watcher is asked.
type request interface {
	// polling returns the request as one that may be kept open for wait.
	polling(wait time.Duration) any
}

func (q Query) polling(wait time.Duration) any {
	q.Wait = wait
	return q
}

func (q ItemQuery) polling(time.Duration) any { return q }

func (q ItemsQuery) polling(time.Duration) any { return q }

// local is how a question is answered from this daemon's fold.
type local[T any] struct {
	// answer may keep the question open for wait; ready reports whether the fold has the answer already.
	answer func(ctx context.Context, wait time.Duration) (T, error)
	ready  func() bool
}

// read answers a question that may be kept open for wait.
func read[T any](
	ctx context.Context, r *Reader, batchID, method string, args request, wait time.Duration, here local[T],
) (answer T, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerWithin)
	defer cancel()
	partition := r.ledger.Of(batchID)
	trace := r.startTrace(batchID, partition, wait)
	q := question[T]{r: r, batchID: batchID, partition: partition, method: method, args: args, here: here, trace: trace}
	defer func() { trace.end(err) }()
	return q.answer(ctx)
}

// answer tries the ways to an answer in their order: the fold held here, an own read within the
// budget, the partition's watcher beside it, a read at the rate of the budget.
func (q *question[T]) answer(ctx context.Context) (answer T, err error) {
	if q.partition.Fresh() || q.r.budget == nil {
		return q.here.answer(ctx, q.trace.wait)
	}
	q.trace.way = wayBudget
	own := async(func() (T, error) { return q.readWithinBudget(ctx) })
	answer, err = q.await(own)
	if err == nil || ctx.Err() != nil {
		return answer, err
	}
	answer, err = q.askWatcherBeside(ctx, own)
	switch {
	case err == nil:
		return answer, nil
	case errors.Is(err, errSelf):
		q.trace.way = wayFold
		return q.here.answer(ctx, q.trace.waitLeft())
	case ctx.Err() != nil:
		return answer, err
	}
	return q.readAtRate(ctx, err)
}

// readWithinBudget answers from this daemon's fold, after a read of what it lacks if the budget
// allows that.
func (q *question[T]) readWithinBudget(ctx context.Context) (answer T, err error) {
	if !q.r.affords(ctx, q.partition) {
		return answer, errUnaffordable
	}
	return q.here.answer(ctx, q.trace.wait)
}

// await returns the outcome of the own read, or errLate once the question has waited for the
// journal for askWatcherAfter. A long poll waits on.
func (q *question[T]) await(own *future[T]) (answer T, err error) {
	timer := time.NewTimer(askWatcherAfter)
	defer timer.Stop()
	select {
	case <-own.done:
		return own.answer, own.err
	case <-timer.C:
	}
	if q.partition.LastRead().After(q.trace.began) {
		<-own.done
		return own.answer, own.err
	}
	q.r.noteLateRead(q.batchID, q.partition)
	return answer, errLate
}

// askWatcherBeside asks the partition's watcher beside the own read, which may have ended, and
// returns the first answer of the two.
func (q *question[T]) askWatcherBeside(ctx context.Context, own *future[T]) (answer T, err error) {
	q.trace.way = wayWatcher
	watcher := async(func() (watcherReply[T], error) { return q.askWatcher(ctx) })
	awaitEither(own, watcher)
	if own.succeeded() {
		q.trace.way = wayBudget
		return own.answer, nil
	}
	q.trace.call = watcher.answer.watcherCall
	if watcher.err != nil {
		return answer, watcher.err
	}
	if !own.ended() {
		// The journal sends less than this daemon took to be its share.
		q.r.budget.late()
	}
	return watcher.answer.answer, nil
}

// readAtRate reads the partition at the rate of the budget, as its watcher could not be asked.
func (q *question[T]) readAtRate(ctx context.Context, cause error) (answer T, err error) {
	q.trace.way = wayPaced
	if err := q.r.enterCold(ctx); err != nil {
		return answer, err
	}
	defer q.r.leaveCold()
	missing, _ := q.partition.Missing()
	q.r.logger.Info("partition read for a question", zap.String("batch", q.batchID), zap.Inline(q.partition),
		zap.String("watcher", q.trace.call.watcher), zap.Int("missing", missing), zap.String("reason", cause.Error()))
	if err := q.r.readAtRate(ctx, q.partition, q.here.ready); err != nil {
		return answer, err
	}
	return q.here.answer(ctx, q.trace.waitLeft())
}
