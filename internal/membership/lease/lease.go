// Package lease elects one holder for a duty by claims in a journal partition.
//
// A claim's offset is its fence: it is unique and only rises. A holder acts
// only until its lease is over by its own clock, counted from when it sent its
// last acknowledged renewal. A successor acts only once that time and
// the quiet time must be over, counted from when it read the last record. It
// claims the lease just before that: until then the holder may come back.
// Neither relies on the time of day. The clock counts the time in which the machine
// is suspended: to a holder that slept, a lease that others saw run out would look valid.
package lease

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
)

const (
	// Duration is how long a renewal lets its holder act.
	Duration = 1500 * time.Millisecond
	// renewEvery is the time between two renewals.
	renewEvery = 400 * time.Millisecond
	// margin is added to each wait for another's lease to be over.
	margin = 300 * time.Millisecond
	// claimLead is how long before it may act a successor claims the lease.
	claimLead = 300 * time.Millisecond
	// callTimeout bounds one call to the journal, beyond the time that it is held
	// on purpose. A call that an outage has swallowed delays the next by as much.
	callTimeout = 800 * time.Millisecond
	// longestWait bounds a held read: one that an outage has swallowed is given
	// up soon.
	longestWait = time.Second
	retryPause  = 150 * time.Millisecond
)

type claimKind int

const (
	claimed claimKind = iota + 1
	renewed
	resigned
)

// entry is one record of the partition.
type entry struct {
	Kind    claimKind `cbor:"1,keyasint"`
	Holder  string    `cbor:"2,keyasint"`
	Machine string    `cbor:"3,keyasint"`
	// Active says that the holder might act when it wrote this: the quiet time
	// after the holder before it was over.
	Active bool `cbor:"4,keyasint"`
}

// Lease is one daemon's part in the election. It is safe for concurrent use.
type Lease struct {
	journal   journal.Journal
	partition journal.Partition
	holder    string
	machine   string
	// quiet is how long after another holder's last possible act this daemon
	// must wait before its first.
	quiet  time.Duration
	now    bootclock.Clock
	logger *zap.Logger

	mu sync.Mutex
	// next is the offset after the last record read or written.
	next int64
	// last is the newest record and when it was read.
	last      entry
	lastAt    time.Time
	any       bool
	held      bool
	fence     int64
	actFrom   time.Time
	actUntil  time.Time
	candidate bool
	resigning bool
	// reclaiming lasts from the start until the first look: a lease that the
	// machine's last run held is taken back at once.
	reclaiming bool
}

// New returns a lease on the partition. Holder names this run of the daemon,
// machine the machine it runs on.
func New(log journal.Journal, partition journal.Partition, holder, machine string, quiet time.Duration, logger *zap.Logger) *Lease {
	return &Lease{journal: log, partition: partition, holder: holder, machine: machine, quiet: quiet, now: bootclock.Now, logger: logger, reclaiming: true}
}

// SetClock sets the clock by which the lease runs out. It is called before Run.
func (l *Lease) SetClock(now bootclock.Clock) { l.now = now }

// SetCandidate says whether this daemon should claim the lease when it is free.
func (l *Lease) SetCandidate(candidate bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.candidate = candidate
}

// Fence returns the fence under which this daemon may act now, and for how long.
func (l *Lease) Fence() (fence int64, left time.Duration, may bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if !l.held || now.Before(l.actFrom) || !now.Before(l.actUntil) {
		return 0, 0, false
	}
	return l.fence, l.actUntil.Sub(now), true
}

// Held reports whether this daemon holds the lease, even if it may not act yet.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Run takes part until the context ends.
func (l *Lease) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		held, candidate, reclaiming := l.held, l.candidate && !l.resigning, l.reclaiming
		l.mu.Unlock()
		switch {
		case reclaiming:
			l.reclaim(ctx)
		case held:
			l.renew(ctx)
			periodic.Pause(ctx, renewEvery)
		case candidate:
			l.watch(ctx)
		default:
			l.forget()
			periodic.Pause(ctx, renewEvery)
		}
	}
}

// reclaim takes the lease back if the machine's last run held it last.
func (l *Lease) reclaim(ctx context.Context) {
	l.watch(ctx)
	l.mu.Lock()
	looked := l.any
	own := looked && l.next > 0 && l.last.Machine == l.machine
	l.reclaiming = !looked
	l.mu.Unlock()
	if own {
		l.claim(ctx)
	}
}

// forget drops what was read, as it is not kept up to date.
func (l *Lease) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.any, l.lastAt = false, time.Time{}
}

// Withdraw says that this daemon is about to end: it claims the lease no more.
// If it may act it goes on until it resigns, as a successor could not act for
// the quiet time, and its machine's next run can at once.
func (l *Lease) Withdraw(ctx context.Context) {
	l.mu.Lock()
	l.resigning, l.candidate = true, false
	idle := l.held && l.now().Before(l.actFrom)
	l.mu.Unlock()
	if idle {
		l.Resign(ctx)
	}
}

// Resign gives the lease up, if it is held, so that a successor need not wait
// for its end. This daemon acts no more from the call on.
func (l *Lease) Resign(ctx context.Context) {
	l.mu.Lock()
	held := l.held
	l.held, l.resigning, l.candidate = false, true, false
	l.mu.Unlock()
	if !held {
		return
	}
	err := l.appendResignation(ctx)
	l.logger.Info("lease resigned", zap.Int64("fence", l.fence), zap.Error(err))
}

// appendResignation appends the resignation, once more if a renewal that was
// under way came between.
func (l *Lease) appendResignation(ctx context.Context) error {
	for again := true; ; again = false {
		l.mu.Lock()
		end := l.next
		l.mu.Unlock()
		_, err := l.append(ctx, resigned, end)
		if !again || !errors.Is(err, journal.ErrPosition) {
			return err
		}
		l.settle(ctx)
	}
}

func (l *Lease) append(ctx context.Context, kind claimKind, end int64) (journal.Appended, error) {
	l.mu.Lock()
	active := !l.now().Before(l.actFrom)
	l.mu.Unlock()
	encoded, err := cbor.Marshal(entry{Kind: kind, Holder: l.holder, Machine: l.machine, Active: active})
	if err != nil {
		return journal.Appended{}, errors.Wrap(err, "lease: encode")
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.journal.Append(bounded, journal.Append{Partition: l.partition, Records: [][]byte{encoded}, ExpectedEnd: &end})
}

// renew appends a renewal. Only an acknowledged one moves the end of the lease.
func (l *Lease) renew(ctx context.Context) {
	l.mu.Lock()
	end := l.next
	l.mu.Unlock()
	sent := l.now()
	appended, err := l.append(ctx, renewed, end)
	if err == nil {
		l.mu.Lock()
		l.next = appended.End
		l.actUntil = sent.Add(Duration)
		l.mu.Unlock()
		return
	}
	// A renewal without an answer is sent again on the same condition, so that
	// one of the two counts; where the condition fails, the journal tells why.
	if errors.Is(err, journal.ErrPosition) {
		l.settle(ctx)
	}
}

// settle reads what stands where a renewal should: an earlier one of this
// holder, or another's claim, by which the lease is lost.
func (l *Lease) settle(ctx context.Context) {
	l.mu.Lock()
	from := l.next
	l.mu.Unlock()
	records, err := l.read(ctx, from, 0)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range records {
		l.next++
		l.last, l.lastAt, l.any = record, l.now(), true
		if record.Holder != l.holder && l.held {
			l.held = false
			l.logger.Info("lease lost", zap.Int64("fence", l.fence), zap.String("to", record.Holder))
		}
	}
}

// read returns the records from an offset on.
func (l *Lease) read(ctx context.Context, from int64, wait time.Duration) ([]entry, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	read, err := l.journal.Read(bounded, journal.Read{Partition: l.partition, From: from, Wait: wait})
	var trimmed *journal.TrimmedError
	if errors.As(err, &trimmed) {
		l.mu.Lock()
		l.next = trimmed.First
		l.mu.Unlock()
		return nil, err
	}
	if err != nil {
		return nil, err
	}
	entries := make([]entry, len(read.Records))
	for i, record := range read.Records {
		// A record that cannot be read counts as one of an unknown holder.
		_ = cbor.Unmarshal(record, &entries[i])
	}
	return entries, nil
}

// watch reads the partition as a candidate and claims the lease once it must
// be free.
func (l *Lease) watch(ctx context.Context) {
	l.mu.Lock()
	from, seen := l.next, l.any
	wait := time.Duration(0)
	if seen {
		wait = min(max(l.freeAt().Sub(l.now()), 0), longestWait)
	}
	l.mu.Unlock()
	began := l.now()
	records, err := l.read(ctx, from, wait)
	if err != nil {
		l.lostContact()
		periodic.Pause(ctx, retryPause)
		return
	}
	l.mu.Lock()
	if len(records) > 0 || !l.any {
		l.next = from + int64(len(records))
		if len(records) > 0 {
			l.last = records[len(records)-1]
		}
		l.lastAt, l.any = l.now(), true
		l.mu.Unlock()
		return
	}
	// The read was begun after the lease must have been over, or is repeated.
	free := !began.Before(l.freeAt())
	l.mu.Unlock()
	if free {
		l.claim(ctx)
	}
}

// lostContact restarts the wait for the end of another's lease: what was
// written meanwhile is not known.
func (l *Lease) lostContact() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.any {
		l.lastAt = l.now()
	}
}

// freeAt is when the lease should be claimed. The lease of another machine is
// over for certain well before, but who claims it then could not act yet, and
// would take it from a holder that is back by then. The mutex is held.
func (l *Lease) freeAt() time.Time {
	waiting := margin + max(l.quiet-claimLead, 0)
	switch {
	case l.next == 0 || l.last.Machine == l.machine:
		return l.lastAt
	case l.last.Kind == resigned:
		return l.lastAt.Add(waiting)
	}
	return l.lastAt.Add(Duration + waiting)
}

// claim appends a claim on condition that nothing was written since.
func (l *Lease) claim(ctx context.Context) {
	l.mu.Lock()
	end := l.next
	actFrom := l.lastAt.Add(Duration + margin + l.quiet)
	switch {
	case end == 0 || l.last.Machine == l.machine && l.last.Active:
		actFrom = l.now()
	case l.last.Kind == resigned && l.last.Machine != l.machine:
		actFrom = l.lastAt.Add(l.quiet + margin)
	}
	l.actFrom = actFrom
	before := l.last.Holder
	l.mu.Unlock()
	sent := l.now()
	appended, err := l.append(ctx, claimed, end)
	if err != nil {
		periodic.Pause(ctx, retryPause)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.fence, l.next = true, appended.Offset+1, appended.End
	l.last, l.lastAt = entry{Kind: claimed, Holder: l.holder, Machine: l.machine}, l.now()
	l.actUntil = sent.Add(Duration)
	l.logger.Info("lease claimed", zap.Int64("fence", l.fence), zap.String("from", before), zap.Duration("act_in", actFrom.Sub(l.now())))
}
