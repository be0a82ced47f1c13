package journaltest

import (
	"context"

	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

// Fault is what befalls one call.
type Fault int

// Faults of a call.
const (
	// None lets the call through.
	None Fault = iota
	// Refuse answers that nothing was done.
	Refuse
	// Hang never answers; nothing is done.
	Hang
	// LoseAnswer does what was asked and never answers.
	LoseAnswer
	// Delay never answers, and does what was asked when Settle is called, if
	// its condition still holds then.
	Delay
)

// Call names a kind of call.
type Call string

// Calls that faults may befall.
const (
	Append Call = "append"
	Read   Call = "read"
	Newest Call = "newest"
	Join   Call = "join"
	Leave  Call = "leave"
	Owners Call = "owners"
)

// SetFault sets Befall while calls may be under way.
func (j *Journal) SetFault(befall func(call Call) Fault) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.FaultFunc = befall
}

// injectFault returns what befalls a call; hanging calls have already hung.
func (j *Journal) injectFault(ctx context.Context, call Call) (Fault, error) {
	fault := None
	j.mu.Lock()
	befall := j.FaultFunc
	j.mu.Unlock()
	if befall != nil {
		fault = befall(call)
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
