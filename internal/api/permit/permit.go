// Package permit lets a request that a caller has named by a key run at most
// once, whichever daemon each of its tries comes to.
//
// A try claims the key by a record in the journal. The first claim of a key
// wins, for every reader alike, so that at most one try may send the request.
// The winner records the outcome, and later tries are answered with it. Nothing
// here rests on a clock or on a belief about other daemons: a claimant that dies
// leaves a key whose request may have run, and that is what later tries hear.
//
// # Usage
//
//	switch decision, err := permits.Claim(ctx, key, digest); d := decision.(type) {
//	case permit.Granted:
//		outcome, ran := run()
//		if ran {
//			permits.Settle(ctx, d, outcome)
//		} else {
//			permits.Release(ctx, d)
//		}
//	case permit.Taken:
//		outcome, known := permits.Await(ctx, key)
//	case permit.OtherContent:
//		// the key names another request
//	}
//
// The package owns the fold of the claims that this daemon has read, and relies on the journal
// for their order.
package permit

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/journal"
)

// topic holds the claims and the outcomes.
const topic = "woodworks.permits"

// Errors of a claim.
var (
	// ErrNotClaimed: this try has no permit, and its claim is not in the journal.
	ErrNotClaimed = errors.New("permit: not claimed")
	// ErrOutcomeUnknown: this try has no permit, but its claim may take the key later.
	ErrOutcomeUnknown = errors.New("permit: outcome of claim unknown")
)

const (
	// journalTimeout bounds one call to the journal.
	journalTimeout = 1500 * time.Millisecond
	// awaitInterval is the time between two looks for an outcome.
	awaitInterval = 100 * time.Millisecond
	// clockMargin is taken for the difference between two daemons' clocks.
	clockMargin = 30 * time.Second
)

// Decision is what a claim came to: Granted, Taken or OtherContent.
type Decision interface{ decision() }

// Granted lets its holder run the request, once.
type Granted struct{ key, claimant string }

// Key returns the key that was granted.
func (g Granted) Key() string { return g.key }

// Taken says that another try has the permit. Its request may have run.
type Taken struct{}

// OtherContent says that the key was claimed for a request of other content.
type OtherContent struct{}

func (Granted) decision()      {}
func (Taken) decision()        {}
func (OtherContent) decision() {}

// Permits decides claims through a journal. It is safe for concurrent use.
type Permits struct {
	journal   journal.Journal
	retention time.Duration
	newID     func() string
	logger    *zap.Logger

	mu         sync.Mutex
	partitions map[int]*partition
}

// New returns permits whose keys are remembered for retention, which must not
// be longer than the journal keeps records. Each call of newID must return
// another text, on all daemons together.
func New(log journal.Journal, retention time.Duration, newID func() string, logger *zap.Logger) *Permits {
	return &Permits{journal: log, retention: retention, newID: newID, logger: logger, partitions: map[int]*partition{}}
}

// Claim asks for the permit of a key. The error wraps ErrNotClaimed or ErrUnknown.
func (p *Permits) Claim(ctx context.Context, key string, digest uint64) (Decision, error) {
	part := p.partitionOf(key)
	if err := p.catchUp(ctx, part); err != nil {
		return nil, errors.Wrap(ErrNotClaimed, err.Error())
	}
	if c := part.lookUp(key); c != nil {
		return decide(c, key, "", digest), nil
	}
	claimant := p.newID()
	rec := record{Kind: kindClaim, Key: key, Claimant: claimant, Digest: digest, AtMs: time.Now().UnixMilli()}
	if err := p.appendRecord(ctx, part, rec); err != nil {
		if errors.Is(err, journal.ErrNotDone) {
			return nil, errors.Wrap(ErrNotClaimed, err.Error())
		}
		return nil, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	if err := p.catchUp(ctx, part); err != nil {
		return nil, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	c := part.lookUp(key)
	if c == nil {
		return nil, errors.Wrap(ErrOutcomeUnknown, "the claim is not in the journal any more")
	}
	return decide(c, key, claimant, digest), nil
}

// decide decides on a try of a claimant, "" for one that has made no claim, by the claim that counts.
func decide(c *claim, key, claimant string, digest uint64) Decision {
	switch {
	case c.claimant == claimant:
		return Granted{key: key, claimant: claimant}
	case c.digest != digest:
		return OtherContent{}
	default:
		return Taken{}
	}
}

// RecordOutcome records what the granted run came to. Without it later tries hear that
// the request may have run, which is true as well.
func (p *Permits) RecordOutcome(ctx context.Context, granted Granted, outcome Outcome) error {
	rec := record{Kind: kindOutcome, Key: granted.key, Claimant: granted.claimant, AtMs: time.Now().UnixMilli(), Outcome: outcome}
	return p.appendRecord(ctx, p.partitionOf(granted.key), rec)
}

// Release gives the permit back: the granted request has certainly not run and
// will not, so that a later try may. Without it the key stays spent.
func (p *Permits) Release(ctx context.Context, granted Granted) error {
	rec := record{Kind: kindRelease, Key: granted.key, Claimant: granted.claimant, AtMs: time.Now().UnixMilli()}
	return p.appendRecord(ctx, p.partitionOf(granted.key), rec)
}

// Await returns the outcome of a key's run, once it is recorded. It reports
// false if the context ends before; a read of the journal that fails is repeated until then.
func (p *Permits) Await(ctx context.Context, key string) (Outcome, bool) {
	part := p.partitionOf(key)
	for {
		if p.catchUp(ctx, part) == nil {
			if c := part.lookUp(key); c != nil && c.outcome != nil {
				return *c.outcome, true
			}
		}
		select {
		case <-ctx.Done():
			return Outcome{}, false
		case <-time.After(awaitInterval):
		}
	}
}
