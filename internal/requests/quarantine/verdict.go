package quarantine

import "time"

// Suspicion is what is held against a content.
type Suspicion int

// What is held against a content, less first.
const (
	// Unsuspected: no replica has ended under it without an answer since.
	Unsuspected Suspicion = iota
	// Suspected: one has.
	Suspected
	// OnlyAlone: it may run alone.
	OnlyAlone
	// Quarantined: it is refused.
	Quarantined
)

// Verdict is what a content may do now: Free, Alone, Wait, Elsewhere or Refused.
type Verdict interface{ admission() }

// Free lets the content run as any other.
type Free struct{}

// Alone lets the content run at the one replica asked for, once, with no other suspect
// from here beside it. End must be called when the run is over, after what it showed was
// told to the table.
type Alone struct{ End func() }

// Wait says that another run of the content is finding out. It is over when Over is
// closed.
type Wait struct{ Over <-chan struct{} }

// Elsewhere says that another suspect runs at the replica asked for, or that the replica
// is one that has ended under the content.
type Elsewhere struct{}

// Refused says that the content must not run now.
type Refused struct {
	// Ended is how many replicas have ended under it.
	Ended int
	// RetryAfter is when it may be asked for again with some hope.
	RetryAfter time.Duration
	// Final says that it stays refused until an operator lifts that, or until it was not
	// asked for any more for long.
	Final bool
}

func (Free) admission()      {}
func (Alone) admission()     {}
func (Wait) admission()      {}
func (Elsewhere) admission() {}
func (Refused) admission()   {}
