package results

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/ledger"
	"woodworks/internal/daemon/logging"
)

var (
	// errUnaffordable: the budget does not allow this daemon to read what it lacks.
	errUnaffordable = errors.Wrap(ErrBehind, "more to read than the budget allows")
	// errSelf: this daemon watches the partition.
	errSelf = errors.Wrap(ErrBehind, "the holder is this daemon")
	// errLate: the own read has not ended, and the holder is to be asked meanwhile.
	errLate = errors.Wrap(ErrBehind, "the own read is late")
)

// attempt is a try to answer that goes on by itself.
type future[T any] struct {
	// done is closed at its end; answer and err are set before.
	done   chan struct{}
	answer T
	err    error
}

// begin begins an attempt.
func async[T any](try func() (T, error)) *future[T] {
	made := &future[T]{done: make(chan struct{})}
	go func() {
		defer close(made.done)
		made.answer, made.err = try()
	}()
	return made
}

// await returns the attempt's outcome, or errLate once the question has waited for the
// journal for hedgeAfter. A question that is held on purpose waits on.
func (a *future[T]) await(r *Reader, asked *trace) (answer T, err error) {
	timer := time.NewTimer(hedgeAfter)
	defer timer.Stop()
	select {
	case <-a.done:
		return a.answer, a.err
	case <-timer.C:
	}
	if asked.partition.LastRead().After(asked.began) {
		<-a.done
		return a.answer, a.err
	}
	r.lateReads.Note(logging.Occurrence{Subject: asked.partition.Name().Topic, Took: hedgeAfter}, zap.String("batch", asked.batchID),
		zap.String("topic", asked.partition.Name().Topic), zap.Int("partition", asked.partition.Name().Number))
	return answer, errLate
}

// firstOf waits until one of two attempts has succeeded, or both have ended.
func firstOf[A, B any](own *future[A], other *future[B]) {
	select {
	case <-own.done:
		if own.err != nil {
			<-other.done
		}
	case <-other.done:
		if other.err != nil {
			<-own.done
		}
	}
}

// ended reports whether the attempt has ended.
func (a *future[T]) ended() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// succeeded reports whether the attempt has ended with an answer.
func (a *future[T]) succeeded() bool { return a.ended() && a.err == nil }

// readWithinBudget answers from this daemon's fold, after a read of what it lacks if the budget
// allows that.
func readWithinBudget[T any](ctx context.Context, r *Reader, partition *ledger.Partition, wait time.Duration, here local[T]) (answer T, err error) {
	if !r.affords(ctx, partition) {
		return answer, errUnaffordable
	}
	return here.answer(ctx, wait)
}
