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

	mutex sync.Mutex
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
func (lease *Lease) SetClock(now bootclock.Clock) { lease.now = now }

// SetCandidate says whether this daemon should claim the lease when it is free.
func (lease *Lease) SetCandidate(candidate bool) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.candidate = candidate
}

// Fence returns the fence under which this daemon may act now, and for how long.
func (lease *Lease) Fence() (fence int64, left time.Duration, may bool) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	now := lease.now()
	if !lease.held || now.Before(lease.actFrom) || !now.Before(lease.actUntil) {
		return 0, 0, false
	}
	return lease.fence, lease.actUntil.Sub(now), true
}

// Held reports whether this daemon holds the lease, even if it may not act yet.
func (lease *Lease) Held() bool {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	return lease.held
}

// Run takes part until the context ends.
func (lease *Lease) Run(ctx context.Context) {
	for ctx.Err() == nil {
		lease.mutex.Lock()
		held, candidate, reclaiming := lease.held, lease.candidate && !lease.resigning, lease.reclaiming
		lease.mutex.Unlock()
		switch {
		case reclaiming:
			lease.reclaim(ctx)
		case held:
			lease.renew(ctx)
			periodic.Pause(ctx, renewEvery)
		case candidate:
			lease.watch(ctx)
		default:
			lease.forget()
			periodic.Pause(ctx, renewEvery)
		}
	}
}

// reclaim takes the lease back if the machine's last run held it last.
func (lease *Lease) reclaim(ctx context.Context) {
	lease.watch(ctx)
	lease.mutex.Lock()
	looked := lease.any
	own := looked && lease.next > 0 && lease.last.Machine == lease.machine
	lease.reclaiming = !looked
	lease.mutex.Unlock()
	if own {
		lease.claim(ctx)
	}
}

// forget drops what was read, as it is not kept up to date.
func (lease *Lease) forget() {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.any, lease.lastAt = false, time.Time{}
}

// Withdraw says that this daemon is about to end: it claims the lease no more.
// If it may act it goes on until it resigns, as a successor could not act for
// the quiet time, and its machine's next run can at once.
func (lease *Lease) Withdraw(ctx context.Context) {
	lease.mutex.Lock()
	lease.resigning, lease.candidate = true, false
	idle := lease.held && lease.now().Before(lease.actFrom)
	lease.mutex.Unlock()
	if idle {
		lease.Resign(ctx)
	}
}

// Resign gives the lease up, if it is held, so that a successor need not wait
// for its end. This daemon acts no more from the call on.
func (lease *Lease) Resign(ctx context.Context) {
	lease.mutex.Lock()
	held := lease.held
	lease.held, lease.resigning, lease.candidate = false, true, false
	lease.mutex.Unlock()
	if !held {
		return
	}
	err := lease.appendResignation(ctx)
	lease.logger.Info("lease resigned", zap.Int64("fence", lease.fence), zap.Error(err))
}

// appendResignation appends the resignation, once more if a renewal that was
// under way came between.
func (lease *Lease) appendResignation(ctx context.Context) error {
	for again := true; ; again = false {
		lease.mutex.Lock()
		end := lease.next
		lease.mutex.Unlock()
		_, err := lease.append(ctx, resigned, end)
		if !again || !errors.Is(err, journal.ErrPosition) {
			return err
		}
		lease.settle(ctx)
	}
}

func (lease *Lease) append(ctx context.Context, kind claimKind, end int64) (journal.Appended, error) {
	lease.mutex.Lock()
	active := !lease.now().Before(lease.actFrom)
	lease.mutex.Unlock()
	encoded, err := cbor.Marshal(entry{Kind: kind, Holder: lease.holder, Machine: lease.machine, Active: active})
	if err != nil {
		return journal.Appended{}, errors.Wrap(err, "lease: encode")
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return lease.journal.Append(bounded, journal.Append{Partition: lease.partition, Records: [][]byte{encoded}, ExpectedEnd: &end})
}

// renew appends a renewal. Only an acknowledged one moves the end of the lease.
func (lease *Lease) renew(ctx context.Context) {
	lease.mutex.Lock()
	end := lease.next
	lease.mutex.Unlock()
	sent := lease.now()
	appended, err := lease.append(ctx, renewed, end)
	if err == nil {
		lease.mutex.Lock()
		lease.next = appended.End
		lease.actUntil = sent.Add(Duration)
		lease.mutex.Unlock()
		return
	}
	// A renewal without an answer is sent again on the same condition, so that
	// one of the two counts; where the condition fails, the journal tells why.
	if errors.Is(err, journal.ErrPosition) {
		lease.settle(ctx)
	}
}

// settle reads what stands where a renewal should: an earlier one of this
// holder, or another's claim, by which the lease is lost.
func (lease *Lease) settle(ctx context.Context) {
	lease.mutex.Lock()
	from := lease.next
	lease.mutex.Unlock()
	records, err := lease.read(ctx, from, 0)
	if err != nil {
		return
	}
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	for _, record := range records {
		lease.next++
		lease.last, lease.lastAt, lease.any = record, lease.now(), true
		if record.Holder != lease.holder && lease.held {
			lease.held = false
			lease.logger.Info("lease lost", zap.Int64("fence", lease.fence), zap.String("to", record.Holder))
		}
	}
}

// read returns the records from an offset on.
func (lease *Lease) read(ctx context.Context, from int64, wait time.Duration) ([]entry, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	read, err := lease.journal.Read(bounded, journal.Read{Partition: lease.partition, From: from, Wait: wait})
	var trimmed *journal.TrimmedError
	if errors.As(err, &trimmed) {
		lease.mutex.Lock()
		lease.next = trimmed.First
		lease.mutex.Unlock()
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
func (lease *Lease) watch(ctx context.Context) {
	lease.mutex.Lock()
	from, seen := lease.next, lease.any
	wait := time.Duration(0)
	if seen {
		wait = min(max(lease.freeAt().Sub(lease.now()), 0), longestWait)
	}
	lease.mutex.Unlock()
	asked := lease.now()
	records, err := lease.read(ctx, from, wait)
	if err != nil {
		lease.lostContact()
		periodic.Pause(ctx, retryPause)
		return
	}
	lease.mutex.Lock()
	if len(records) > 0 || !lease.any {
		lease.next = from + int64(len(records))
		if len(records) > 0 {
			lease.last = records[len(records)-1]
		}
		lease.lastAt, lease.any = lease.now(), true
		lease.mutex.Unlock()
		return
	}
	// The read was begun after the lease must have been over, or is repeated.
	free := !asked.Before(lease.freeAt())
	lease.mutex.Unlock()
	if free {
		lease.claim(ctx)
	}
}

// lostContact restarts the wait for the end of another's lease: what was
// written meanwhile is not known.
func (lease *Lease) lostContact() {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	if lease.any {
		lease.lastAt = lease.now()
	}
}

// freeAt is when the lease should be claimed. The lease of another machine is
// over for certain well before, but who claims it then could not act yet, and
// would take it from a holder that is back by then. The mutex is held.
func (lease *Lease) freeAt() time.Time {
	waiting := margin + max(lease.quiet-claimLead, 0)
	switch {
	case lease.next == 0 || lease.last.Machine == lease.machine:
		return lease.lastAt
	case lease.last.Kind == resigned:
		return lease.lastAt.Add(waiting)
	}
	return lease.lastAt.Add(Duration + waiting)
}

// claim appends a claim on condition that nothing was written since.
func (lease *Lease) claim(ctx context.Context) {
	lease.mutex.Lock()
	end := lease.next
	actFrom := lease.lastAt.Add(Duration + margin + lease.quiet)
	switch {
	case end == 0 || lease.last.Machine == lease.machine && lease.last.Active:
		actFrom = lease.now()
	case lease.last.Kind == resigned && lease.last.Machine != lease.machine:
		actFrom = lease.lastAt.Add(lease.quiet + margin)
	}
	lease.actFrom = actFrom
	before := lease.last.Holder
	lease.mutex.Unlock()
	sent := lease.now()
	appended, err := lease.append(ctx, claimed, end)
	if err != nil {
		periodic.Pause(ctx, retryPause)
		return
	}
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.held, lease.fence, lease.next = true, appended.Offset+1, appended.End
	lease.last, lease.lastAt = entry{Kind: claimed, Holder: lease.holder, Machine: lease.machine}, lease.now()
	lease.actUntil = sent.Add(Duration)
	lease.logger.Info("lease claimed", zap.Int64("fence", lease.fence), zap.String("from", before), zap.Duration("act_in", actFrom.Sub(lease.now())))
}
