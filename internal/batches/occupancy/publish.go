package occupancy

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// reportInterval is the minimal time between two reports. It is shorter than the run time of
	// the shortest items.
	reportInterval = 100 * time.Millisecond
	// repeatInterval is the time after which an unchanged report is sent again. It is so short
	// that a report does not expire if one repetition is lost.
	repeatInterval = reportTTL / 3
	// maxBytesPerSecond limits the traffic that a daemon sends, and thus its calls to about 40
	// per second. It is two thirds of the 18 KB per second that a daemon may use for control.
	// With more than about 40 owners some reports expire before they are repeated, and an owner
	// sees only a part of the others' requests.
	maxBytesPerSecond = 12000
	// callOverheadBytes is the size of a call without the report: net/rpc headers and four TCP
	// segments.
	callOverheadBytes = 300
	// introduceInterval is the time between two introductions to a daemon that has no batches
	// but may get some.
	introduceInterval = 2 * time.Second
	// lingerTime is how long others continue to report to a daemon after its last request
	// ended. A trainer's next step usually follows within seconds and starts with a burst.
	lingerTime = 10 * time.Second
	// callTimeout bounds each call. It equals the timeout of other calls between daemons, as a
	// peer that exceeds it is avoided by all of these calls.
	callTimeout = 700 * time.Millisecond
	// maxSnapshotCalls limits how many peers are asked, one after the other, for a snapshot.
	maxSnapshotCalls = 3
	// eventTimeRepeatInterval is the time after which an unchanged event time is sent again. An
	// event time that has changed by at least minEventTimeChangeFraction is sent earlier; smaller
	// changes are within measurement error.
	eventTimeRepeatInterval    = 2 * time.Second
	minEventTimeChangeFraction = 0.08
)

// Peers calls other daemons.
type Peers interface {
	// Ask calls a method registered by another daemon. After a peer did not respond, calls to that
	// peer fail at once for a while. After an error, the reply must not be read.
	Ask(ctx context.Context, machine, method string, args, reply any) error
}

// Source returns this daemon's counts, recently measured event times and demands. Sender,
// Number and SentMillis are left empty.
type Source func() Report

// Candidates returns the identities of the daemons that may be given batches. It may block for
// as long as a call to the journal.
type Candidates func(ctx context.Context) []string

// sentEventTime is the last event time that was sent for a replica, in units of eventTimeUnit, and
// the time of sending.
type sentEventTime struct {
	eventTime uint32
	at        time.Time
}

// Publisher sends reports of this daemon's requests to other owners while the daemon has requests
// or waiting items. It is safe for concurrent use.
type Publisher struct {
	table      *Table
	peers      Peers
	source     Source
	candidates Candidates
	logger     *zap.Logger
	wake       chan struct{}

	mu sync.Mutex

	// recipients holds the recipients of reports, by machine. machines lists the machines that may
	// be given batches; machinesAt is when that list was last requested, and refreshing is set
	// while a request for it runs.
	recipients map[string]*recipient
	machines   []string
	machinesAt time.Time
	refreshing bool

	// State of the last report: its number, contents and time, and the minimal time until the
	// next.
	number         uint64
	lastReport     Report
	lastSentAt     time.Time
	sendInterval   time.Duration
	sentEventTimes map[Key]sentEventTime

	// reporting is set while there is something to report. stoppedAt is when it was last
	// cleared, or zero.
	reporting bool
	stoppedAt time.Time
	stats     PublisherStats
}

// PublisherStats counts calls made, failed calls, and bytes sent since the start.
type PublisherStats struct{ Sent, Failed, Bytes uint64 }

// NewPublisher returns a publisher that sends nothing until Run is called.
func NewPublisher(
	table *Table, peers Peers, source Source, candidates Candidates, logger *zap.Logger,
) *Publisher {
	return &Publisher{
		table:          table,
		peers:          peers,
		source:         source,
		candidates:     candidates,
		logger:         logger,
		wake:           make(chan struct{}, 1),
		recipients:     map[string]*recipient{},
		sentEventTimes: map[Key]sentEventTime{},
	}
}

// Wake signals that the daemon's own requests may have changed. It never blocks.
func (p *Publisher) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run sends reports until the context ends. It does not wait for replies.
func (p *Publisher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(p.publishIfDue(ctx, time.Now()))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-p.wakeChannel():
		}
		timer.Stop()
	}
}

// wakeChannel returns the channel of Wake, or nil if the next report must not be sent yet.
func (p *Publisher) wakeChannel() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reporting && time.Since(p.lastSentAt) < p.sendInterval {
		return nil
	}
	return p.wake
}

// publishIfDue sends a report if the daemon's state has changed or a repetition is due, and
// returns the time after which to call it again. In a period of reporting, two reports are at
// least sendInterval apart.
func (p *Publisher) publishIfDue(ctx context.Context, now time.Time) time.Duration {
	own := p.currentState()
	p.mu.Lock()
	defer p.mu.Unlock()
	if own.isEmpty() && !p.reporting {
		return repeatInterval
	}
	if wait := p.lastSentAt.Add(p.sendInterval).Sub(now); p.reporting && wait > 0 {
		return wait
	}
	if !p.reporting {
		p.startReporting(ctx)
	}
	p.refreshMachines(ctx, now)
	changed := !sameState(&own, &p.lastReport)
	if !changed && now.Sub(p.lastSentAt) < repeatInterval {
		return reportInterval
	}
	sent := p.sendReports(ctx, own, now)
	p.lastReport, p.lastSentAt = own, now
	p.sendInterval = max(reportInterval, time.Duration(float64(sent)/maxBytesPerSecond*float64(time.Second)))
	if own.isEmpty() {
		p.stopReporting()
		return repeatInterval
	}
	return p.sendInterval
}

// startReporting begins a period of reporting and requests a snapshot from another owner. The
// mutex is held.
func (p *Publisher) startReporting(ctx context.Context) {
	p.reporting = true
	p.logger.Info("reporting to other owners started", zap.Uint64("report", p.number+1),
		zap.Int("owners_known", len(p.table.Owners())))
	go p.fetchSnapshot(ctx)
}

// stopReporting ends the period of reporting. The mutex is held.
func (p *Publisher) stopReporting() {
	p.reporting, p.stoppedAt = false, time.Now()
	p.logger.Info("reporting to other owners stopped", zap.Uint64("report", p.number),
		zap.Uint64("calls", p.stats.Sent), zap.Uint64("failed", p.stats.Failed),
		zap.Uint64("bytes", p.stats.Bytes))
	p.recipients, p.sentEventTimes = map[string]*recipient{}, map[Key]sentEventTime{}
}

// normalizeCounts sorts counts by replica, adds up those of the same replica, and omits zeros.
func normalizeCounts(counts []RequestCount) (sums []RequestCount) {
	slices.SortFunc(counts, func(a, b RequestCount) int { return cmp.Compare(a.Replica, b.Replica) })
	for _, c := range counts {
		switch last := len(sums) - 1; {
		case c.Requests == 0:
		case last >= 0 && sums[last].Replica == c.Replica:
			sums[last].Requests += c.Requests
		default:
			sums = append(sums, c)
		}
	}
	return sums
}

// sameState reports whether two reports have equal counts and demands.
func sameState(a, b *Report) bool {
	return slices.Equal(a.Counts, b.Counts) && slices.Equal(a.Demands, b.Demands)
}

// ownReport returns the report that this daemon would send now.
func (p *Publisher) ownReport() Report {
	own := p.currentState()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stamp(&own)
	return own
}

// currentState returns this daemon's state, with counts and demands sorted.
func (p *Publisher) currentState() Report {
	own := p.source()
	own.Counts = normalizeCounts(own.Counts)
	slices.SortFunc(own.Demands, func(a, b Demand) int { return cmp.Compare(a.Service, b.Service) })
	return own
}

// stamp sets the sender, number and time of a report. The mutex is held.
func (p *Publisher) stamp(report *Report) {
	report.Sender, report.Number, report.SentMillis = p.table.self, p.number, p.table.now().UnixMilli()
}

// wantsReports reports whether others should send this daemon their reports: it has requests,
// or had some within lingerTime.
func (p *Publisher) wantsReports() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reporting || !p.stoppedAt.IsZero() && time.Since(p.stoppedAt) < lingerTime
}

// Stats returns the totals since the start.
func (p *Publisher) Stats() PublisherStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}
