package journaltest

import (
	"context"

	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

// Fault is a failure injected into a call.
type Fault int

// Faults that can be injected.
const (
	// None lets the call succeed.
	None Fault = iota
	// Refuse fails the call with ErrNotDone; it has no effect.
	Refuse
	// Hang blocks the call until its context ends; it has no effect.
	Hang
	// LoseAnswer applies an append but blocks until its context ends. Other calls ignore it.
	LoseAnswer
	// Delay blocks an append until its context ends, and applies it at the next ApplyDelayed if
	// its condition still holds then. Other calls ignore it.
	Delay
)

// Call is the kind of a call.
type Call string

// Calls into which faults can be injected.
const (
	Append Call = "append"
	Read   Call = "read"
	Newest Call = "newest"
	Join   Call = "join"
	Leave  Call = "leave"
	Owners Call = "owners"
)

// SetFault sets FaultFunc. Unlike an assignment to the field, it may be called while calls are in
// progress.
func (j *Journal) SetFault(faultFunc func(call Call) Fault) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.FaultFunc = faultFunc
}

// injectFault chooses the fault of a call. It handles None, Refuse and Hang completely, and
// returns an error for the latter two; the caller handles the others.
func (j *Journal) injectFault(ctx context.Context, call Call) (Fault, error) {
	fault := None
	j.mu.Lock()
	faultFunc := j.FaultFunc
	j.mu.Unlock()
	if faultFunc != nil {
		fault = faultFunc(call)
	}
	switch fault {
	case Refuse:
		return fault, errors.Wrap(journal.ErrNotDone, "refused")
	case Hang:
		<-ctx.Done()
		return fault, errors.Wrap(journal.ErrUnknown, "hung")
	}
	return fault, nil
}
