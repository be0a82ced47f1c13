package journal

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/logging"
	"woodworks/internal/journal/questiontime"
)

const (
	// maxOverdue is how long a call may be overdue when a later one has been
	// answered.
	maxOverdue = 150 * time.Millisecond
	// maxReadOverdue is how long a read may be overdue when a call to another
	// partition has been answered: it costs little to read again.
	maxReadOverdue = questiontime.LostRead
	// maxOverdueRatio is how many times as long as the later call an overdue one may take.
	maxOverdueRatio = 3
	// minOutage is for how long no call was answered in an outage of the whole
	// journal; for backTime after it, an answer says something of all partitions.
	minOutage      = 500 * time.Millisecond
	recoveryWindow = time.Second
)

// LostCallDetector is a journal that gives up calls which an outage has swallowed, and tells an observer of
// all calls.
//
// A call whose answer is lost tells nothing until its timeout, and timeouts must
// be long enough for a slow journal. But when a call that began later has been
// answered, by the same partition or at the end of an outage of all, an older one
// that has been overdue for much longer than that took is lost with all
// likelihood. It then ends with ErrUnknown, as at its timeout, and its caller asks
// again: a second or two earlier, just when the journal is back.
//
// Nothing rests on the guess: a call given up by mistake is an unknown one.
//
// # Usage
//
//	log := journal.Revive(log, logger)
type LostCallDetector struct {
	Journal
	// recoveries sums the recoveries after which calls were given up: in an outage that takes
	// part of all calls each of them is one.
	recoveries *logging.Episodes
	observe    Observer
	// CallsGivenUp counts the calls that were given up.
	CallsGivenUp atomic.Uint64

	mu      sync.Mutex
	pending map[*pendingCall]struct{}
	// answeredAt is when a call was last answered, recoveredAt when the last silence
	// of all calls ended.
	answeredAt, recoveredAt time.Time
}

// pendingCall is a call that has no answer yet.
type pendingCall struct {
	// kind is told to the observer; calls without one are not told.
	kind string
	// partition is the one called, or zero for calls of a group.
	partition Partition
	start     time.Time
	// isRead says that the call changes nothing, isBulk that its answer may be long, isNewest that it
	// reads the isNewest records of all keys, which may be many or none.
	isRead, isBulk, isNewest bool
	// wait is how long a read waits for records.
	wait   time.Duration
	cancel context.CancelFunc
}

// DetectLostCalls wraps a journal.
func DetectLostCalls(log Journal, logger *zap.Logger) *LostCallDetector {
	return &LostCallDetector{
		Journal:    log,
		recoveries: logging.NewEpisodes(logger, "journal answers again", "", "topics"),
		observe:    func(string, string, time.Duration) {},
		pending:    map[*pendingCall]struct{}{},
		answeredAt: time.Now(),
	}
}

// SetObserver sets who is told of calls. It is called before any call.
func (r *LostCallDetector) SetObserver(observe Observer) { r.observe = observe }

func (r *LostCallDetector) begin(ctx context.Context, call pendingCall) (context.Context, *pendingCall) {
	bounded, cancel := context.WithCancel(ctx)
	call.start, call.cancel = time.Now(), cancel
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending[&call] = struct{}{}
	return bounded, &call
}

// end takes a call off the list. If it was answered, those that must be lost by
// now are given up.
func (r *LostCallDetector) end(call *pendingCall, err error) {
	defer call.cancel()
	if call.kind != "" {
		r.observe(call.kind, outcomeOf(err), time.Since(call.start))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, call)
	if err != nil {
		return
	}
	now := time.Now()
	if now.Sub(r.answeredAt) > minOutage {
		r.recoveredAt = now
	}
	r.answeredAt = now
	givenUp := 0
	for older := range r.pending {
		if r.isLost(older, call, now) {
			older.cancel()
			delete(r.pending, older)
			givenUp++
		}
	}
	if givenUp == 0 {
		return
	}
	r.CallsGivenUp.Add(uint64(givenUp))
	took := now.Sub(call.start)
	r.recoveries.Note(logging.Occurrence{Subject: call.partition.Topic, Took: took, Times: givenUp},
		zap.Int("calls_given_up", givenUp),
		zap.String("topic", call.partition.Topic), zap.Int("partition", call.partition.Number), zap.Duration("took", took))
}

// overdueLimit returns how long a call may be overdue when another has been
// answered, and false if the answer says nothing of it.
func (r *LostCallDetector) overdueLimit(older, answered *pendingCall, now time.Time) (time.Duration, bool) {
	outageEnded := now.Sub(r.recoveredAt) < recoveryWindow && older.start.Before(r.recoveredAt)
	switch {
	case outageEnded, older.partition == answered.partition:
		return maxOverdue, true
	case (older.isBulk || older.isNewest) && !answered.isBulk:
		// A short answer overtakes a long one on a link or in a journal that is busy.
		return 0, false
	case older.isRead:
		return maxReadOverdue, true
	}
	return 0, false
}

// isLost reports whether a call must be lost when a later one has been answered.
func (r *LostCallDetector) isLost(older, answered *pendingCall, now time.Time) bool {
	patience, ok := r.overdueLimit(older, answered, now)
	overdue := now.Sub(older.start) - older.wait
	return ok && older.start.Before(answered.start) && overdue > max(patience, maxOverdueRatio*now.Sub(answered.start))
}

// Append implements Journal.
func (r *LostCallDetector) Append(ctx context.Context, request Append) (appended Appended, err error) {
	bounded, call := r.begin(ctx, pendingCall{kind: "append", partition: request.Partition})
	defer func() { r.end(call, err) }()
	return r.Journal.Append(bounded, request)
}

// Read implements Journal.
func (r *LostCallDetector) Read(ctx context.Context, request Read) (read Records, err error) {
	pending := pendingCall{kind: "read", partition: request.Partition, isRead: true, isBulk: request.Wait == 0, wait: request.Wait}
	if request.Wait > 0 {
		pending.kind = "held read" // a kind of its own, as its time says nothing of the journal
	}
	bounded, call := r.begin(ctx, pending)
	defer func() { r.end(call, err) }()
	return r.Journal.Read(bounded, request)
}

// Newest implements Journal.
func (r *LostCallDetector) Newest(ctx context.Context, partition Partition, afterKey string) (page KeyedPage, err error) {
	bounded, call := r.begin(ctx, pendingCall{kind: "newest", partition: partition, isRead: true, isNewest: true})
	defer func() { r.end(call, err) }()
	return r.Journal.Newest(bounded, partition, afterKey)
}

// Join implements Journal.
func (r *LostCallDetector) Join(ctx context.Context, request Join) (assignment Assignment, err error) {
	bounded, call := r.begin(ctx, pendingCall{kind: "join"})
	defer func() { r.end(call, err) }()
	return r.Journal.Join(bounded, request)
}

// Leave implements Journal.
func (r *LostCallDetector) Leave(ctx context.Context, group, member string) (err error) {
	bounded, call := r.begin(ctx, pendingCall{})
	defer func() { r.end(call, err) }()
	return r.Journal.Leave(bounded, group, member)
}

// Owners implements Journal.
func (r *LostCallDetector) Owners(ctx context.Context, group string) (rows []Ownership, err error) {
	bounded, call := r.begin(ctx, pendingCall{})
	defer func() { r.end(call, err) }()
	return r.Journal.Owners(bounded, group)
}
