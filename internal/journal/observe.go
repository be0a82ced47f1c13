package journal

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Observer is told of each call to a journal: its kind, how it ended and how
// long it took.
type Observer func(call, outcome string, took time.Duration)

// Observed is a journal whose calls are told to an observer.
type Observed struct {
	Journal
	observe Observer
}

// Observe wraps a journal.
func Observe(log Journal, observe Observer) *Observed {
	return &Observed{Journal: log, observe: observe}
}

func (o *Observed) done(call string, began time.Time, err error) {
	o.observe(call, outcomeOf(err), time.Since(began))
}

// outcomeOf names what an error says of a call.
func outcomeOf(err error) string {
	var throttled *ThrottledError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &throttled):
		return "throttled"
	case errors.Is(err, ErrNotDone):
		return "not done"
	case errors.Is(err, ErrPosition):
		return "other position"
	case errors.Is(err, ErrTrimmed):
		return "trimmed"
	default:
		return "unknown"
	}
}

// Append implements Journal.
func (o *Observed) Append(ctx context.Context, request Append) (Appended, error) {
	began := time.Now()
	appended, err := o.Journal.Append(ctx, request)
	o.done("append", began, err)
	return appended, err
}

// Read implements Journal. Reads that wait for records, "held" as a label of metrics, are a kind of
// their own, as their time says nothing of the journal.
func (o *Observed) Read(ctx context.Context, request Read) (Records, error) {
	began := time.Now()
	read, err := o.Journal.Read(ctx, request)
	call := "read"
	if request.Wait > 0 {
		call = "held read"
	}
	o.done(call, began, err)
	return read, err
}

// Newest implements Journal.
func (o *Observed) Newest(ctx context.Context, partition Partition, afterKey string) (KeyedPage, error) {
	began := time.Now()
	page, err := o.Journal.Newest(ctx, partition, afterKey)
	o.done("newest", began, err)
	return page, err
}

// Join implements Journal.
func (o *Observed) Join(ctx context.Context, request Join) (Assignment, error) {
	began := time.Now()
	assignment, err := o.Journal.Join(ctx, request)
	o.done("join", began, err)
	return assignment, err
}
