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
	// reportInterval is the least time between two reports: a part of a dispatcher's wait for
	// a change, and less than what the shortest text takes.
	reportInterval = 100 * time.Millisecond
	// repeatInterval is after how long a report is sent again though nothing has changed.
	repeatInterval = reportTTL / 3
	// maxBytesPerSecond bounds what a daemon sends, two thirds of the 18 KB that one may need
	// for all that is no work, and with callBytes its calls to 40 a second. From some 40 owners on
	// reports lapse before the next comes, and an owner knows a part of the others' requests
	// at a time.
	maxBytesPerSecond = 12000
	// callOverheadBytes is what a call takes besides the report: the headers of net/rpc both ways
	// and of four segments.
	callOverheadBytes = 300
	// introduceInterval is the time between two reports to a daemon that has no batches but
	// may get one at any moment.
	introduceInterval = 2 * time.Second
	// lingerTime is for how long others go on reporting to a daemon after it has no requests
	// itself: the next step of a trainer mostly comes within seconds, and begins with a burst.
	lingerTime = 10 * time.Second
	// callTimeout bounds one call, of either kind: as long as other calls between daemons
	// may take, as a peer that needs longer is left alone for all of them.
	callTimeout = 700 * time.Millisecond
	// maxSnapshotCalls is how many peers at most are asked, one after the other, for what they know.
	maxSnapshotCalls = 3
	// eventTimeRepeatInterval is after how long an event time is sent again, eventTimeChange by which
	// part it must differ to be sent before: they are known to within a few hundredths.
	eventTimeRepeatInterval    = 2 * time.Second
	minEventTimeChangeFraction = 0.08
)

// Peers are the other daemons.
type Peers interface {
	// Ask calls a method that another daemon has registered. A peer that is silent is left
	// alone for a while, and calls to it then fail at once.
	Ask(ctx context.Context, machine, method string, args, reply any) error
}

// Source returns what this daemon has now: the counts, the event times that it has measured
// lately, and the demands. Sender, Number and Sent are left empty.
type Source func() Report

// Candidates returns the identities of the daemons that may be given batches. It may take as long
// as a call to the journal.
type Candidates func(ctx context.Context) []string

// sentEventTime is an event time as it was sent last.
type sentEventTime struct {
	eventTime uint32
	at        time.Time
}

// Publisher reports this daemon's requests to the other owners while it has any. It is safe
// for concurrent use.
type Publisher struct {
	table      *Table
	peers      Peers
	source     Source
	candidates Candidates
	logger     *zap.Logger
	wake       chan struct{}

	mu sync.Mutex

	// Who is sent reports. machines may be given batches; machinesAt is when they were learned
	// last, refreshing that they are being.
	recipients map[string]*recipient
	machines   []string
	machinesAt time.Time
	refreshing bool

	// What was reported: the last report, when, and for how long after that the next one waits.
	number         uint64
	lastReport     Report
	lastSentAt     time.Time
	sendInterval   time.Duration
	sentEventTimes map[Key]sentEventTime

	// reporting says that there is something to report; endedAt is when there was last, zero if there
	// never was.
	reporting bool
	stoppedAt time.Time
	stats     PublisherStats
}

// PublisherStats are a publisher's totals: calls made, those that failed, and bytes.
type PublisherStats struct{ Sent, Failed, Bytes uint64 }

// NewPublisher returns a publisher; Run starts it.
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

// Wake says that the daemon's own requests may have changed. It never blocks.
func (p *Publisher) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run sends reports until the context ends. It waits for none of them.
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

// wakeChannel returns the channel of Wake, or nil as long as the next report must not go.
func (p *Publisher) wakeChannel() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reporting && time.Since(p.lastSentAt) < p.sendInterval {
		return nil
	}
	return p.wake
}

// publishIfDue sends a report if there is something new, and returns when to look again at the
// latest.
func (p *Publisher) publishIfDue(ctx context.Context, now time.Time) time.Duration {
	own := p.currentState()
	p.mu.Lock()
	defer p.mu.Unlock()
	if own.isEmpty() && !p.reporting {
		return repeatInterval
	}
	if rest := p.lastSentAt.Add(p.sendInterval).Sub(now); p.reporting && rest > 0 {
		return rest
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

// startReporting starts to report, and has another owner asked for what it knows. The mutex is held.
func (p *Publisher) startReporting(ctx context.Context) {
	p.reporting = true
	p.logger.Info("reports to other owners begin", zap.Uint64("report", p.number+1),
		zap.Int("owners_known", len(p.table.Owners())))
	go p.fetchSnapshot(ctx)
}

// stopReporting stops reporting. The mutex is held.
func (p *Publisher) stopReporting() {
	p.reporting, p.stoppedAt = false, time.Now()
	p.logger.Info("reports to other owners end", zap.Uint64("report", p.number),
		zap.Uint64("calls", p.stats.Sent), zap.Uint64("failed", p.stats.Failed),
		zap.Uint64("bytes", p.stats.Bytes))
	p.recipients, p.sentEventTimes = map[string]*recipient{}, map[Key]sentEventTime{}
}

// normalizeCounts brings counts in order, those of one key as one.
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

// sameState reports whether two reports say the same but for event times.
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

// currentState returns what this daemon has now, its counts and demands in order.
func (p *Publisher) currentState() Report {
	own := p.source()
	own.Counts = normalizeCounts(own.Counts)
	slices.SortFunc(own.Demands, func(a, b Demand) int { return cmp.Compare(a.Service, b.Service) })
	return own
}

// stamp says in a report who sends it, when, and its number. The mutex is held.
func (p *Publisher) stamp(report *Report) {
	report.Sender, report.Number, report.SentMillis = p.table.self, p.number, p.table.now().UnixMilli()
}

// wantsReports reports whether others should send this daemon their reports: it has requests
// itself, or had a moment ago.
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
