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
package permit

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

// Topic holds the claims and the outcomes.
const Topic = "woodworks.permits"

// Errors of a claim.
var (
	// ErrNotClaimed: this try has no permit, and its claim is not in the journal.
	ErrNotClaimed = errors.New("permit: not claimed")
	// ErrUnknown: this try has no permit, but its claim may take the key later.
	ErrUnknown = errors.New("permit: outcome of claim unknown")
)

const (
	callTimeout = 1500 * time.Millisecond
	// awaitPause is the time between two looks for an outcome.
	awaitPause = 100 * time.Millisecond
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

	mu    sync.Mutex
	parts map[int]*partition
}

// partition is one partition as far as it has been read.
type partition struct {
	name journal.Partition
	// reading has room for the one who reads; next is that one's.
	reading chan struct{}
	next    int64
	// kept is how long a key is remembered at least after its claim was read.
	kept time.Duration

	mu   sync.Mutex
	keys state
}

// New returns permits whose keys are remembered for retention, which must not
// be longer than the journal keeps records. Each call of newID must return
// another text, on all daemons together.
func New(log journal.Journal, retention time.Duration, newID func() string) *Permits {
	return &Permits{journal: log, retention: retention, newID: newID, parts: map[int]*partition{}}
}

func (p *Permits) of(key string) *partition {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key))
	n := int(hash.Sum32() % uint32(max(p.journal.PartitionsPerTopic(), 1)))
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.parts[n]
	if found == nil {
		found = &partition{name: journal.Partition{Topic: Topic, Number: n}, reading: make(chan struct{}, 1), kept: p.retention + clockMargin, keys: state{}}
		p.parts[n] = found
	}
	return found
}

// Claim asks for the permit of a key.
func (p *Permits) Claim(ctx context.Context, key string, digest uint64) (Decision, error) {
	part := p.of(key)
	if err := p.catchUp(ctx, part); err != nil {
		return nil, errors.Wrap(ErrNotClaimed, err.Error())
	}
	if held := part.lookUp(key); held != nil {
		return judge(held, key, "", digest), nil
	}
	claimant := p.newID()
	claim := record{Kind: kindClaim, Key: key, Claimant: claimant, Digest: digest, AtMs: time.Now().UnixMilli()}
	if err := p.append(ctx, part, claim); err != nil {
		if errors.Is(err, journal.ErrNotDone) {
			return nil, errors.Wrap(ErrNotClaimed, err.Error())
		}
		return nil, errors.Wrap(ErrUnknown, err.Error())
	}
	if err := p.catchUp(ctx, part); err != nil {
		return nil, errors.Wrap(ErrUnknown, err.Error())
	}
	held := part.lookUp(key)
	if held == nil {
		return nil, errors.Wrap(ErrUnknown, "the claim is not in the journal any more")
	}
	return judge(held, key, claimant, digest), nil
}

func judge(held *holding, key, claimant string, digest uint64) Decision {
	switch {
	case held.claimant == claimant:
		return Granted{key: key, claimant: claimant}
	case held.digest != digest:
		return OtherContent{}
	default:
		return Taken{}
	}
}

// Settle records what the granted run came to. Without it later tries hear that
// the request may have run, which is true as well.
func (p *Permits) Settle(ctx context.Context, granted Granted, outcome Outcome) error {
	settled := record{Kind: kindOutcome, Key: granted.key, Claimant: granted.claimant, AtMs: time.Now().UnixMilli(), Outcome: outcome}
	return p.append(ctx, p.of(granted.key), settled)
}

// Release gives the permit back: the granted request has certainly not run and
// will not, so that a later try may. Without it the key stays spent.
func (p *Permits) Release(ctx context.Context, granted Granted) error {
	released := record{Kind: kindRelease, Key: granted.key, Claimant: granted.claimant, AtMs: time.Now().UnixMilli()}
	return p.append(ctx, p.of(granted.key), released)
}

// Await returns the outcome of a key's run, once it is recorded. It reports
// false if the context ends before.
func (p *Permits) Await(ctx context.Context, key string) (Outcome, bool) {
	part := p.of(key)
	for {
		if p.catchUp(ctx, part) == nil {
			if held := part.lookUp(key); held != nil && held.outcome != nil {
				return *held.outcome, true
			}
		}
		select {
		case <-ctx.Done():
			return Outcome{}, false
		case <-time.After(awaitPause):
		}
	}
}

// append adds a record. Only a call that certainly did nothing is repeated.
func (p *Permits) append(ctx context.Context, part *partition, r record) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := p.journal.Append(bounded, journal.Append{Partition: part.name, Records: [][]byte{r.encode()}})
	return err
}

// catchUp reads a partition up to where it ended when the read began.
func (p *Permits) catchUp(ctx context.Context, part *partition) error {
	select {
	case part.reading <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-part.reading }()
	for {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		read, err := p.journal.Read(bounded, journal.Read{Partition: part.name, From: part.next})
		cancel()
		var trimmed *journal.TrimmedError
		if errors.As(err, &trimmed) {
			part.next = trimmed.First
			continue
		}
		if err != nil {
			return err
		}
		part.fold(read.Records, time.Now().Add(-p.retention-clockMargin))
		if part.next >= read.End || len(read.Records) == 0 {
			return nil
		}
	}
}

// fold takes records in, and drops the keys that were claimed before a time.
func (part *partition) fold(records [][]byte, before time.Time) {
	part.mu.Lock()
	defer part.mu.Unlock()
	for _, e := range records {
		part.keys.apply(e)
		part.next++
	}
	part.keys.forget(before, part.kept)
}

// lookUp returns a copy of what is known of a key, or nil.
func (part *partition) lookUp(key string) *holding {
	part.mu.Lock()
	defer part.mu.Unlock()
	held := part.keys[key]
	if held == nil {
		return nil
	}
	copied := *held
	return &copied
}
