//go:build !race

// The race detector's runtime crashes with SIGSEGV in about one of three runs of these tests, which
// have 84 daemons and millions of timers in a synctest bubble.

package results

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/membership/group"
	"woodworks/internal/membership/identity"
)

const (
	// callerTimeout is how long a caller waits beyond the wait of its query, callerRetryDelay when
	// it then asks another daemon.
	callerTimeout    = 1500 * time.Millisecond
	callerRetryDelay = 500 * time.Millisecond
	// chunkBytes is what a link carries of one answer before another has its turn.
	chunkBytes = 256 << 10
	// peerBackoff is how long a peer that did not answer is not called.
	peerBackoff = time.Second
)

// link is a network link of a given rate that its senders share in turns.
type link struct {
	bytesPerSecond float64
	// wholeAnswers links carry an answer to its end before the next, even if its receiver has given
	// up.
	wholeAnswers bool

	mu        sync.Mutex
	busyUntil time.Time
	carried   atomic.Int64
}

// setRate changes the rate of the link.
func (l *link) setRate(bytesPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytesPerSecond = bytesPerSecond
}

// reserve occupies the link for a number of bytes, and returns the time until it has carried them.
func (l *link) reserve(bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	l.carried.Add(int64(bytes))
	return time.Until(l.busyUntil)
}

// transfer sends an answer over a chain of links, chunk by chunk. All links carry a chunk at the
// same time, and the slowest determines the rate.
func transfer(ctx context.Context, bytes int, links ...*link) error {
	chunk := chunkBytes
	if links[0].wholeAnswers {
		chunk = bytes
	}
	for ; bytes > 0; bytes -= chunk {
		var duration time.Duration
		for _, each := range links {
			duration = max(duration, each.reserve(min(chunk, bytes)))
		}
		if err := pause(ctx, duration); err != nil {
			return err
		}
	}
	return nil
}

// remoteJournal is the journal as one machine reaches it: each answer has a latency, and records
// pass the links of the journal and of the machine.
type remoteJournal struct {
	*journaltest.Journal
	fleet *fleet
	links []*link
}

func (d remoteJournal) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	if err := pause(ctx, time.Duration(d.fleet.readLatency.Load())); err != nil {
		return journal.Records{}, errors.Wrap(journal.ErrUnknown, err.Error())
	}
	read, err := d.Journal.Read(ctx, request)
	if err != nil {
		return read, err
	}
	for i, record := range read.Records {
		if err := transfer(ctx, len(record), d.links...); err != nil {
			// Records that arrived whole are returned, as by a client of the platform.
			read.Records = read.Records[:i]
			return read, errors.Wrap(journal.ErrUnknown, err.Error())
		}
	}
	return read, nil
}

func (d remoteJournal) Join(ctx context.Context, request journal.Join) (journal.Assignment, error) {
	if err := pause(ctx, d.fleet.options.journalLatency); err != nil {
		return journal.Assignment{}, errors.Wrap(journal.ErrUnknown, err.Error())
	}
	return d.Journal.Join(ctx, request)
}

func (d remoteJournal) Owners(ctx context.Context, group string) ([]journal.Ownership, error) {
	if err := pause(ctx, d.fleet.options.journalLatency); err != nil {
		return nil, errors.Wrap(journal.ErrUnknown, err.Error())
	}
	return d.Journal.Owners(ctx, group)
}

// fleetOptions are the parameters of a fleet.
type fleetOptions struct {
	daemons, partitions, batches int
	// texts is the number of texts of a batch, of textBytes each; a record lists perRecord of them.
	texts, textBytes, perRecord int
	// slowLinkRate and fastLinkRate are the rates of the machines' links, in bytes per second.
	// Every fastLinkEach-th machine has a fast one.
	slowLinkRate, fastLinkRate float64
	fastLinkEach               int
	// grantedRate and journalRate are the rates that the journal grants and delivers, in bytes per
	// second.
	grantedRate, journalRate float64
	// journalLatency and peerLatency are the times of an answer of the journal and of a peer.
	journalLatency, peerLatency time.Duration
	// peersKnownDelay is how long after its start a daemon knows of the others.
	peersKnownDelay time.Duration
	wholeAnswers    bool
	revive          bool
}

// typicalFleet returns the parameters of a typical fleet: four trainers with steps of about 150
// texts, the batches of a day, and most machines behind slow links.
func typicalFleet() fleetOptions {
	return fleetOptions{daemons: 84, partitions: 24, batches: 52, texts: 148, textBytes: 6500, perRecord: 37,
		slowLinkRate: 60e6 / 8, fastLinkRate: 600e6 / 8, fastLinkEach: 4, grantedRate: 80e6, journalRate: 80e6,
		journalLatency: 4 * time.Millisecond, peerLatency: 4 * time.Millisecond,
		peersKnownDelay: 500 * time.Millisecond, revive: true}
}

// node is one daemon of a fleet.
type node struct {
	incarnation string
	reader      *Reader
	service     *Service
	ledger      *ledger.Ledger
	member      *group.Member
	revived     *journal.LostCallDetector
	down, up    *link

	mu           sync.Mutex
	backoffUntil map[string]time.Time
}

// fleet is a set of daemons that have just started, with a journal that holds listed batches.
type fleet struct {
	options     fleetOptions
	log         *journaltest.Journal
	journalLink *link
	nodes       []*node
	began       time.Time
	// readLatency is the time of an answer to a read, a time.Duration.
	readLatency atomic.Int64
	// sentBytes is the size of the answers to peers, peerCalls the number of calls.
	sentBytes, peerCalls atomic.Int64
}

func newFleet(ctx context.Context, t *testing.T, options fleetOptions, logger *zap.Logger) *fleet {
	f := &fleet{
		options:     options,
		log:         journaltest.New(),
		journalLink: &link{bytesPerSecond: options.journalRate, wholeAnswers: options.wholeAnswers},
		began:       time.Now(),
	}
	f.readLatency.Store(int64(options.journalLatency))
	f.log.Partitions = options.partitions
	f.log.RecordBytes = 256 << 10
	f.log.Rates = journal.RateLimits{ReadBytesPerSecond: options.grantedRate}
	f.fill(t, ledger.New(ctx, f.log, zap.NewNop()))
	f.log.ResetUsage()
	for i := range options.daemons {
		f.nodes = append(f.nodes, f.start(ctx, i, logger))
	}
	return f
}

// fill appends the batches to the journal.
func (f *fleet) fill(t *testing.T, batches *ledger.Ledger) {
	put := func(id string, record []byte) {
		if err := batches.PartitionOf(id).Append(context.Background(), record); err != nil {
			t.Fatal(err)
		}
	}
	for i := range f.options.batches {
		id := fmt.Sprintf("b%d", i)
		submission := &batch.Submission{ID: id}
		for item := range f.options.texts {
			submission.Items = append(submission.Items, batch.Item{
				ID:   fmt.Sprintf("%s-%d", id, item),
				Body: make([]byte, 200),
			})
		}
		put(id, batch.Accepted(submission, "owner"))
		for first := 0; first < f.options.texts; first += f.options.perRecord {
			var listed []batch.Result
			for item := first; item < min(first+f.options.perRecord, f.options.texts); item++ {
				listed = append(listed, batch.Result{
					Item:    item,
					Outcome: batch.Done,
					Text:    make([]byte, f.options.textBytes),
				})
			}
			put(id, batch.ResultsAdded(id, listed))
		}
	}
}

// start starts the daemon of a given number.
func (f *fleet) start(ctx context.Context, number int, logger *zap.Logger) *node {
	rate := f.options.slowLinkRate
	if number%f.options.fastLinkEach == 0 {
		rate = f.options.fastLinkRate
	}
	n := &node{
		incarnation:  identity.New(fmt.Sprintf("m%d", number), time.Now()),
		down:         &link{bytesPerSecond: rate, wholeAnswers: f.options.wholeAnswers},
		up:           &link{bytesPerSecond: rate, wholeAnswers: f.options.wholeAnswers},
		backoffUntil: map[string]time.Time{},
	}
	var log journal.Journal = remoteJournal{Journal: f.log, fleet: f, links: []*link{f.journalLink, n.down}}
	if f.options.revive {
		n.revived = journal.DetectLostCalls(log, zap.NewNop())
		log = n.revived
	}
	n.ledger = ledger.New(ctx, log, zap.NewNop())
	n.member = group.New(log, n.incarnation, append(ledger.TopicNames(), "woodworks.runners"), zap.NewNop())
	n.reader = NewReader(n.ledger, n.member, &fleetPeers{f, n}, log.RateLimits(), n.incarnation, logger)
	n.service = n.reader.Service(ctx)
	go n.member.Run(ctx)
	go n.watch(ctx)
	// The budget accumulates from here on, as if queries had updated it.
	time.AfterFunc(f.options.peersKnownDelay, func() { n.reader.budget.adjust(time.Now()) })
	for i, wait := range []time.Duration{
		1200 * time.Millisecond, 1200 * time.Millisecond, 9 * time.Second, 9 * time.Second,
	} {
		go follow(ctx, log, journal.Partition{Topic: fmt.Sprintf("keyed.%d", i)}, wait)
	}
	return n
}

// follow repeats long polls of a short partition, as followers of configurations do.
func follow(ctx context.Context, log journal.Journal, name journal.Partition, wait time.Duration) {
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, wait+1500*time.Millisecond)
		if _, err := log.Read(bounded, journal.Read{Partition: name, Wait: wait}); err != nil {
			_ = pause(ctx, 200*time.Millisecond)
		}
		cancel()
	}
}

// watch follows the partitions that the group assigns to the daemon, once the group is stable, and
// drops unused folds.
func (n *node) watch(ctx context.Context) {
	type followed struct {
		release func()
		dropped time.Time
	}
	watched := map[journal.Partition]*followed{}
	last := int64(0)
	for pause(ctx, 200*time.Millisecond) == nil {
		assigned, generation := n.member.Partitions(), n.member.Generation()
		settled := generation == last
		last = generation
		for name := range assigned {
			if settled && watched[name] == nil && name.Topic != "woodworks.runners" {
				watched[name] = &followed{release: n.ledger.Partition(name).Follow()}
			}
		}
		for name, each := range watched {
			switch {
			case assigned[name]:
				each.dropped = time.Time{}
			case each.dropped.IsZero():
				each.dropped = time.Now()
			case time.Since(each.dropped) > 1500*time.Millisecond:
				each.release()
				delete(watched, name)
			}
		}
		n.ledger.Sweep(time.Now())
	}
}

// fleetPeers are the other daemons as one daemon reaches them. It implements Peers.
type fleetPeers struct {
	fleet *fleet
	from  *node
}

// Daemons implements Peers. It returns 0 until the others are known.
func (n *fleetPeers) Daemons() int {
	if time.Since(n.fleet.began) < n.fleet.options.peersKnownDelay {
		return 0
	}
	return n.fleet.options.daemons
}

var errBackingOff = errors.New("peer did not answer recently")

// Ask implements Peers.
func (n *fleetPeers) Ask(ctx context.Context, machine, method string, args, reply any) error {
	n.from.mu.Lock()
	backingOff := time.Now().Before(n.from.backoffUntil[machine])
	n.from.mu.Unlock()
	if backingOff {
		return errBackingOff
	}
	n.fleet.peerCalls.Add(1)
	err := n.await(ctx, machine, args.(Query), reply.(*Page))
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		n.from.mu.Lock()
		n.from.backoffUntil[machine] = time.Now().Add(peerBackoff)
		n.from.mu.Unlock()
	}
	return err
}

// await makes a call and waits for its answer until the context ends.
func (n *fleetPeers) await(ctx context.Context, machine string, query Query, page *Page) error {
	var answer Page
	done := make(chan error, 1)
	go func() { done <- n.call(ctx, machine, query, &answer) }()
	select {
	case err := <-done:
		*page = answer
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *fleetPeers) call(ctx context.Context, machine string, query Query, page *Page) error {
	if err := pause(ctx, n.fleet.options.peerLatency); err != nil {
		return err
	}
	for _, each := range n.fleet.nodes {
		if identity.Machine(each.incarnation) != machine {
			continue
		}
		var answer Page
		if err := each.service.Results(query, &answer); err != nil {
			return err
		}
		bytes := answer.bytes()
		n.fleet.sentBytes.Add(int64(bytes))
		if err := transfer(ctx, bytes, each.up, n.from.down); err != nil {
			return err
		}
		*page = answer
		return nil
	}
	return errUnreachable
}

// queryStats counts the outcomes of queries.
type queryStats struct {
	mu sync.Mutex
	// failed queries returned an error, timedOut ones had no answer within callerTimeout.
	// unfinished is the number of readers that did not get all results.
	failed, timedOut, queries, unfinished int
	// maxTries is the largest number of tries for one page.
	maxTries    int
	took        time.Duration
	errorCounts map[string]int
}

// ask reads every batch at once, each by up to the given number of readers, until all are read or
// the context ends. Every third reader uses long polls.
func (f *fleet) ask(ctx context.Context, seed uint64, readers int) *queryStats {
	w := &queryStats{errorCounts: map[string]int{}}
	began := time.Now()
	var asking sync.WaitGroup
	for i := range f.options.batches {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		for each := range 1 + random.IntN(readers) {
			query := Query{BatchID: fmt.Sprintf("b%d", i)}
			if (i+each)%3 == 0 {
				query.Wait = time.Second
			}
			own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
			asking.Go(func() { f.readAll(ctx, w, query, own) })
		}
	}
	asking.Wait()
	w.took = time.Since(began)
	return w
}

// readAll reads a batch page by page, each page at a random daemon.
func (f *fleet) readAll(ctx context.Context, w *queryStats, query Query, random *rand.Rand) {
	for total, tries := 1, 1; query.After < total; tries++ {
		page, err := f.query(ctx, f.nodes[random.IntN(len(f.nodes))], query)
		if ctx.Err() != nil {
			w.mu.Lock()
			w.unfinished++
			w.mu.Unlock()
			return
		}
		w.note(err, tries)
		if err != nil {
			_ = pause(ctx, callerRetryDelay)
			continue
		}
		query.After, total, tries = page.Next, page.Total, 0
	}
}

// query asks a daemon and transfers the answer over the daemon's link.
func (f *fleet) query(ctx context.Context, at *node, query Query) (Page, error) {
	bounded, cancel := context.WithTimeout(ctx, query.Wait+callerTimeout)
	defer cancel()
	page, err := at.reader.Results(bounded, query)
	if err == nil && !page.Found {
		err = errors.New("not found")
	}
	if err == nil {
		err = transfer(bounded, page.bytes(), at.up)
	}
	if bounded.Err() != nil {
		return page, errCallerTimeout
	}
	return page, err
}

var errCallerTimeout = errors.New("the caller timed out")

func (w *queryStats) note(err error, tries int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queries++
	w.maxTries = max(w.maxTries, tries)
	switch {
	case err == errCallerTimeout:
		w.timedOut++
	case err != nil:
		w.failed++
		w.errorCounts[err.Error()]++
	}
}

func (p Page) bytes() (sum int) {
	for _, each := range p.Results {
		sum += len(each.Text)
	}
	return sum
}
