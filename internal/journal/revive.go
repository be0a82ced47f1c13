package journal

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/logging"
	"woodworks/internal/journal/questiontime"
)

const (
	// maxOverdue is how long a call may be overdue once a later call to the same partition has
	// been answered. Just after an outage, a later call to any partition counts.
	maxOverdue = 150 * time.Millisecond
	// maxReadOverdue is how long a read may be overdue once a later call to another partition
	// has been answered. The time can be short, as repeating a read is cheap.
	maxReadOverdue = questiontime.LostReadTimeout
	// In any case, a call may be overdue for maxOverdueRatio times the duration of the later
	// call that was answered.
	maxOverdueRatio = 3
	// minOutage is the shortest time without any answer that counts as an outage of the whole
	// journal. For recoveryWindow after an outage, an answer from one partition counts for all
	// partitions.
	minOutage      = 500 * time.Millisecond
	recoveryWindow = time.Second
)

// LostCallDetector is a Journal that gives up calls whose answers were lost in an outage, and
// reports all calls to an observer.
//
// Timeouts must be long enough for a slow journal, so that waiting for the timeout of a lost
// call wastes time once the journal answers again. The detector therefore cancels a pending call
// when a call that started later has been answered, and the pending call has been overdue for
// much longer than the answered call took. The cancelled call returns ErrUnknown, a read
// ErrGivenUp. A call is overdue from its start on, a long poll from the end of its wait on. Which
// answers count depends on the partition and the kind of the call; see overdueLimit.
//
// A call that is given up by mistake does no harm: its outcome is unknown, as after a timeout,
// and the caller handles it in the same way.
//
// # Usage
//
//	log := journal.DetectLostCalls(log, logger)
type LostCallDetector struct {
	Journal
	// recoveries combines the log lines about lost calls into episodes, as in a partial outage
	// each answer may reveal some lost calls.
	recoveries *logging.Episodes
	observe    Observer
	// CallsGivenUp counts the calls given up as lost.
	CallsGivenUp atomic.Uint64

	mu      sync.Mutex
	pending map[*pendingCall]struct{}
	// answeredAt is the time at which a call was last answered, recoveredAt the time at which
	// the last outage of the whole journal ended.
	answeredAt, recoveredAt time.Time
}

// pendingCall is a call that has not been answered yet.
type pendingCall struct {
	// kind is the name of the call for the observer. A call without a name is not reported.
	kind string
	// partition is the partition of the call, or the zero value for calls about a group.
	partition Partition
	start     time.Time
	// isRead means that the call changes nothing. isBulk means that its answer may be large.
	// isNewest means that it reads the newest records of all keys, so that its answer may be
	// large or small.
	isRead, isBulk, isNewest bool
	// wait is how long a read waits for records. The read is not overdue before the end of this
	// wait.
	wait   time.Duration
	cancel context.CancelFunc
	// givenUp is guarded by the detector's mutex.
	givenUp bool
}

// DetectLostCalls returns a Journal that makes its calls on log and gives up those that are
// lost. The calls are not observed until SetObserver is called.
func DetectLostCalls(log Journal, logger *zap.Logger) *LostCallDetector {
	return &LostCallDetector{
		Journal:    log,
		recoveries: logging.NewEpisodes(logger, "lost calls given up", "", "topics"),
		observe:    func(string, string, time.Duration) {},
		pending:    map[*pendingCall]struct{}{},
		answeredAt: time.Now(),
	}
}

// SetObserver sets the observer of calls. It must be called before any call.
func (d *LostCallDetector) SetObserver(observe Observer) { d.observe = observe }

// begin registers a pending call. The call must use the returned context, which is cancelled if
// the call is given up.
func (d *LostCallDetector) begin(ctx context.Context, call pendingCall) (context.Context, *pendingCall) {
	bounded, cancel := context.WithCancel(ctx)
	call.start, call.cancel = time.Now(), cancel
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending[&call] = struct{}{}
	return bounded, &call
}

// end removes a call from the pending calls and reports it to the observer. If the call was
// answered without an error, older calls that must be lost are given up.
func (d *LostCallDetector) end(call *pendingCall, err error) {
	defer call.cancel()
	if call.kind != "" {
		d.observe(call.kind, outcomeOf(err), time.Since(call.start))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, call)
	if err != nil {
		return
	}
	now := time.Now()
	if now.Sub(d.answeredAt) > minOutage {
		d.recoveredAt = now
	}
	d.answeredAt = now
	givenUp := 0
	for older := range d.pending {
		if d.isLost(older, call, now) {
			older.givenUp = true
			older.cancel()
			delete(d.pending, older)
			givenUp++
		}
	}
	if givenUp == 0 {
		return
	}
	d.CallsGivenUp.Add(uint64(givenUp))
	took := now.Sub(call.start)
	d.recoveries.Note(logging.Occurrence{Subject: call.partition.Topic, Took: took, Times: givenUp},
		zap.Int("calls_given_up", givenUp),
		zap.String("topic", call.partition.Topic), zap.Int("partition", call.partition.Number), zap.Duration("took", took))
}

// readError returns the error of a read: ErrGivenUp if the detector gave the read up.
func (d *LostCallDetector) readError(call *pendingCall, err error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if call.givenUp && errors.Is(err, ErrUnknown) {
		return ErrGivenUp
	}
	return err
}

// overdueLimit returns how long the call older may be overdue, given that the call answered has
// been answered. It returns false if that answer says nothing about older. The mutex must be
// held.
func (d *LostCallDetector) overdueLimit(older, answered *pendingCall, now time.Time) (time.Duration, bool) {
	outageEnded := now.Sub(d.recoveredAt) < recoveryWindow && older.start.Before(d.recoveredAt)
	switch {
	case outageEnded, older.partition == answered.partition:
		return maxOverdue, true
	case (older.isBulk || older.isNewest) && !answered.isBulk:
		// On a busy link or journal, short answers overtake long ones.
		return 0, false
	case older.isRead:
		return maxReadOverdue, true
	}
	return 0, false
}

// isLost reports whether the call older must be lost, given that the call answered has been
// answered. A call that started after answered is never considered lost. The mutex must be held.
func (d *LostCallDetector) isLost(older, answered *pendingCall, now time.Time) bool {
	limit, ok := d.overdueLimit(older, answered, now)
	overdue := now.Sub(older.start) - older.wait
	return ok && older.start.Before(answered.start) && overdue > max(limit, maxOverdueRatio*now.Sub(answered.start))
}

// Append implements Journal.
func (d *LostCallDetector) Append(ctx context.Context, request Append) (appended Appended, err error) {
	bounded, call := d.begin(ctx, pendingCall{kind: "append", partition: request.Partition})
	defer func() { d.end(call, err) }()
	return d.Journal.Append(bounded, request)
}

// Read implements Journal.
func (d *LostCallDetector) Read(ctx context.Context, request Read) (read Records, err error) {
	pending := pendingCall{kind: "read", partition: request.Partition, isRead: true, isBulk: request.Wait == 0, wait: request.Wait}
	if request.Wait > 0 {
		pending.kind = "held read" // separate kind: its duration depends on when records arrive
	}
	bounded, call := d.begin(ctx, pending)
	defer func() { d.end(call, err) }()
	read, err = d.Journal.Read(bounded, request)
	return read, d.readError(call, err)
}

// Newest implements Journal.
func (d *LostCallDetector) Newest(ctx context.Context, partition Partition, afterKey string) (page KeyedPage, err error) {
	bounded, call := d.begin(ctx, pendingCall{kind: "newest", partition: partition, isRead: true, isNewest: true})
	defer func() { d.end(call, err) }()
	return d.Journal.Newest(bounded, partition, afterKey)
}

// Join implements Journal.
func (d *LostCallDetector) Join(ctx context.Context, request Join) (assignment Assignment, err error) {
	bounded, call := d.begin(ctx, pendingCall{kind: "join"})
	defer func() { d.end(call, err) }()
	return d.Journal.Join(bounded, request)
}

// Leave implements Journal.
func (d *LostCallDetector) Leave(ctx context.Context, group, member string) (err error) {
	bounded, call := d.begin(ctx, pendingCall{})
	defer func() { d.end(call, err) }()
	return d.Journal.Leave(bounded, group, member)
}

// Owners implements Journal.
func (d *LostCallDetector) Owners(ctx context.Context, group string) (rows []Ownership, err error) {
	bounded, call := d.begin(ctx, pendingCall{})
	defer func() { d.end(call, err) }()
	return d.Journal.Owners(bounded, group)
}
