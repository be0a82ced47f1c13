// Package permit ensures that a request with a caller's key runs at most once. The caller may try
// the request several times, at different daemons.
//
// A try claims the key by a record in the journal. The first claim of a key wins, for every reader
// alike, so at most one try may run the request. The winner records the outcome, and later tries
// receive it. This does not depend on clocks or on assumptions about other daemons: if a claimant
// ends without recording an outcome, the request may have run, and later tries receive Taken without
// an outcome.
//
// # Usage
//
//	switch decision, err := permits.Claim(ctx, key, digest); d := decision.(type) {
//	case permit.Granted:
//		outcome, ran := run()
//		if ran {
//			permits.RecordOutcome(ctx, d, outcome)
//		} else {
//			permits.Release(ctx, d)
//		}
//	case permit.Taken:
//		outcome, known := permits.Await(ctx, key)
//	case permit.OtherContent:
//		// the key was used for another request
//	}
//
// The package holds a fold of the claims that this daemon has read, and relies on the order of
// records in the journal.
package permit

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/journal"
)

// topic is the journal topic of the claims, outcomes and releases.
const topic = "woodworks.permits"

// Errors of Claim.
var (
	// ErrNotClaimed is returned if this try has no permit and its claim is not in the journal.
	ErrNotClaimed = errors.New("permit: not claimed")
	// ErrOutcomeUnknown is returned if this try has no permit, but its claim may still take the
	// key.
	ErrOutcomeUnknown = errors.New("permit: outcome of claim unknown")
)

const (
	// journalTimeout bounds one call to the journal.
	journalTimeout = 1500 * time.Millisecond
	// awaitInterval is the time between two reads while Await waits for an outcome.
	awaitInterval = 100 * time.Millisecond
	// clockMargin is the assumed maximum difference between the clocks of two daemons.
	clockMargin = 30 * time.Second
)

// Decision is the result of a claim: Granted, Taken or OtherContent.
type Decision interface{ decision() }

// Granted permits its holder to run the request once.
type Granted struct{ key, claimant string }

// Key returns the key that the holder has claimed.
func (g Granted) Key() string { return g.key }

// Taken means that another try has the permit. Its request may have run.
type Taken struct{}

// OtherContent means that the key was claimed for a request with different content.
type OtherContent struct{}

func (Granted) decision()      {}
func (Taken) decision()        {}
func (OtherContent) decision() {}

// Permits grants permits by claims in a journal. It is safe for concurrent use.
type Permits struct {
	journal   journal.Journal
	retention time.Duration
	newID     func() string
	logger    *zap.Logger

	// mu guards partitions.
	mu         sync.Mutex
	partitions map[int]*partition
}

// New returns Permits that remember keys for retention, which must not exceed the retention of the
// journal. Each call of newID must return a text that is unique among all daemons.
func New(log journal.Journal, retention time.Duration, newID func() string, logger *zap.Logger) *Permits {
	return &Permits{journal: log, retention: retention, newID: newID, logger: logger, partitions: map[int]*partition{}}
}

// Claim requests the permit of a key for a request whose content has the digest. The error wraps
// ErrNotClaimed or ErrOutcomeUnknown.
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
		return nil, errors.Wrap(ErrOutcomeUnknown, "the claim was not found in the journal")
	}
	return decide(c, key, claimant, digest), nil
}

// decide returns the decision for a claimant, given the valid claim of the key. claimant is "" for
// a try that has written no claim.
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

// RecordOutcome records the response to a granted request that has run. Without it, later tries
// only learn that the request may have run.
func (p *Permits) RecordOutcome(ctx context.Context, granted Granted, outcome Outcome) error {
	rec := record{Kind: kindOutcome, Key: granted.key, Claimant: granted.claimant, AtMs: time.Now().UnixMilli(), Outcome: outcome}
	return p.appendRecord(ctx, p.partitionOf(granted.key), rec)
}

// Release releases the key of a granted request that has not run and will not, so that a later try
// may run it. Without it the key stays taken.
func (p *Permits) Release(ctx context.Context, granted Granted) error {
	rec := record{Kind: kindRelease, Key: granted.key, Claimant: granted.claimant, AtMs: time.Now().UnixMilli()}
	return p.appendRecord(ctx, p.partitionOf(granted.key), rec)
}

// Await returns the outcome of a key once it is recorded. It reports false if ctx ends first; a
// failed read of the journal is repeated until then.
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
