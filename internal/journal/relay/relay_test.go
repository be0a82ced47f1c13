package relay

import (
	"context"
	"net"
	"reflect"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"woodworks/internal/daemon/periodic"
	"woodworks/internal/daemon/testseed"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

func init() { testseed.Fix() }

var records = journal.Partition{Topic: "records"}

// faultyJournal is one daemon's own path to a journal, which may be faultyJournal while it stands for others.
type faultyJournal struct {
	journal.Journal
	fault atomic.Int32
	// appendDelay is how long appends take, in nanoseconds.
	appendDelay atomic.Int64
}

const (
	faultNone int32 = iota
	faultSilent
	faultRefused
	faultThrottled
)

// applyFault lets the way's fault befall a call.
func (c *faultyJournal) applyFault(ctx context.Context) error {
	switch c.fault.Load() {
	case faultSilent:
		<-ctx.Done()
		return errors.Wrap(journal.ErrUnknown, "silent")
	case faultRefused:
		return &journal.UnavailableError{Reason: "refused"}
	case faultThrottled:
		return &journal.ThrottledError{Reason: "throttled"}
	}
	return nil
}

func (c *faultyJournal) Append(ctx context.Context, request journal.Append) (journal.Appended, error) {
	if err := c.applyFault(ctx); err != nil {
		return journal.Appended{}, err
	}
	if periodic.Pause(ctx, time.Duration(c.appendDelay.Load())); ctx.Err() != nil {
		return journal.Appended{}, errors.Wrap(journal.ErrUnknown, ctx.Err().Error())
	}
	appended, err := c.Journal.Append(ctx, request)
	return appended, firstError(err, c.applyFault(ctx))
}

func (c *faultyJournal) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	if err := c.applyFault(ctx); err != nil {
		return journal.Records{}, err
	}
	read, err := c.Journal.Read(ctx, request)
	return read, firstError(err, c.applyFault(ctx))
}

func (c *faultyJournal) Newest(ctx context.Context, partition journal.Partition, afterKey string) (journal.KeyedPage, error) {
	if err := c.applyFault(ctx); err != nil {
		return journal.KeyedPage{}, err
	}
	page, err := c.Journal.Newest(ctx, partition, afterKey)
	return page, firstError(err, c.applyFault(ctx))
}

// firstError returns the first of two errors: a call that was under way when the way was
// cut gets no answer firstError.
func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// daemons are some that reach each other over pipes, each with its own way to one
// journal.
type daemons struct {
	store    *journaltest.Journal
	ownPaths []*faultyJournal
	relays   []*Journal
}

// pipeNetwork are the servers of daemons that reach each other over pipeNetwork, by name.
type pipeNetwork map[string]func(net.Conn)

// add has a daemon reach the others, and they it; wrap gives its own end of a connection to it.
func (p pipeNetwork) add(ctx context.Context, t *testing.T, relayed *Journal, wrap func(net.Conn) net.Conn) {
	t.Helper()
	server, err := relayed.server(ctx)
	if err != nil {
		t.Fatal(err)
	}
	p[relayed.options.Name] = func(conn net.Conn) { go server.ServeConn(wrap(conn)) }
	relayed.peers.dial = func(_ context.Context, address string) (net.Conn, error) {
		near, far := net.Pipe()
		p[address](far)
		return near, nil
	}
}

func newDaemons(ctx context.Context, t *testing.T, count int) *daemons {
	d, reached := &daemons{store: journaltest.New()}, pipeNetwork{}
	for i := range count {
		name := string(rune('a' + i))
		way := &faultyJournal{Journal: d.store}
		relayed := New(way, Options{Name: name, Zone: "z", Address: name}, zap.NewNop())
		reached.add(ctx, t, relayed, func(conn net.Conn) net.Conn { return conn })
		d.ownPaths, d.relays = append(d.ownPaths, way), append(d.relays, relayed)
	}
	for _, relayed := range d.relays {
		go relayed.Run(ctx)
		go journal.NewKeyedFollower(relayed, PeersPartition, relayed.PeersHandler(), 3*time.Second, zap.NewNop()).Run(ctx)
	}
	time.Sleep(2 * time.Second)
	return d
}

func appendOne(ctx context.Context, log journal.Journal, text string, within time.Duration) error {
	bounded, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	_, err := log.Append(bounded, journal.Append{Partition: records, Records: [][]byte{[]byte(text)}})
	return err
}

// lossProbeText is the text of records that are appended until the loss has shown. The last
// of them may go through a peer already.
const lossProbeText = "before the loss shows"

// storedTexts returns the records, but for those appended until a loss had shown.
func storedTexts(ctx context.Context, log journal.Journal) ([]string, error) {
	read, err := log.Read(ctx, journal.Read{Partition: records})
	var stored []string
	for _, record := range read.Records {
		if text := string(record); text != lossProbeText {
			stored = append(stored, text)
		}
	}
	return stored, err
}

// waitForLoss appends until a daemon's own path counts as lost.
func waitForLoss(ctx context.Context, relayed *Journal) {
	for !relayed.PathLost() {
		_ = appendOne(ctx, relayed, lossProbeText, 300*time.Millisecond) // its outcome is not the point
		time.Sleep(50 * time.Millisecond)
	}
}

// A daemon that is cut off from the store, silently or by refusals, goes on through
// another one, and on its own path again once that is back. Submissions at such
// daemons were once answered 504 after 1.57 s, each of the trainer's tries, and batches that
// they owned stood still. A store may throttle a single machine for seconds as well, so that
// results of a batch were not listed; one whose rate is exceeded serves most calls.
func TestADaemonThatLostItsPathCallsThroughAPeer(t *testing.T) {
	for _, fault := range []int32{faultSilent, faultRefused, faultThrottled} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			d := newDaemons(ctx, t, 3)
			is.NoErr(appendOne(ctx, d.relays[0], "before", time.Second))
			d.ownPaths[0].fault.Store(fault)
			// The loss shows within a second, whatever the daemon does meanwhile.
			waitForLoss(ctx, d.relays[0])
			is.NoErr(appendOne(ctx, d.relays[0], "through another", 200*time.Millisecond))
			stored, err := storedTexts(ctx, d.relays[0])
			is.NoErr(err)
			is.Equal(stored, []string{"before", "through another"})
			// Two that are cut off tell each other so, and both go through the third.
			d.ownPaths[1].fault.Store(fault)
			waitForLoss(ctx, d.relays[1])
			is.NoErr(appendOne(ctx, d.relays[0], "a", 200*time.Millisecond))
			is.NoErr(appendOne(ctx, d.relays[1], "b", 200*time.Millisecond))
			d.ownPaths[0].fault.Store(faultNone)
			time.Sleep(2 * probeInterval)
			is.True(!d.relays[0].PathLost())
			is.True(d.relays[1].PathLost())
			done := d.relays[0].RelayedCalls.Load()
			is.NoErr(appendOne(ctx, d.relays[0], "own way", 200*time.Millisecond))
			is.Equal(d.relays[0].RelayedCalls.Load(), done)
		})
	}
}

// In an outage of the whole store nobody helps: calls take the own way, and so go
// through as soon as the store is back.
func TestCallsSucceedWhenAStoreOutageEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d := newDaemons(ctx, t, 3)
		for _, way := range d.ownPaths {
			way.fault.Store(faultRefused)
		}
		for range 20 {
			for _, relayed := range d.relays {
				err := appendOne(ctx, relayed, lossProbeText, 300*time.Millisecond)
				is.True(errors.Is(err, journal.ErrNotDone) || errors.Is(err, journal.ErrUnknown))
			}
			time.Sleep(50 * time.Millisecond)
		}
		for _, way := range d.ownPaths {
			way.fault.Store(faultNone)
		}
		is.NoErr(appendOne(ctx, d.relays[0], "back", 50*time.Millisecond))
		stored, err := storedTexts(ctx, d.relays[1])
		is.NoErr(err)
		is.Equal(stored, []string{"back"})
	})
}

// A conditional append keeps its condition on the way, also one on offset 0, and what
// it meets is told as by the journal itself.
func TestRelayedAnswersEqualDirectOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d := newDaemons(ctx, t, 2)
		d.ownPaths[0].fault.Store(faultRefused)
		waitForLoss(ctx, d.relays[0])
		start := int64(0)
		empty := journal.Partition{Topic: "empty"}
		conditional := journal.Append{Partition: empty, Records: [][]byte{[]byte("x")}, ExpectedEnd: &start}
		appended, err := d.relays[0].Append(ctx, conditional)
		is.NoErr(err)
		is.Equal(appended, journal.Appended{Offset: 0, End: 1})
		_, err = d.relays[0].Append(ctx, conditional)
		is.True(errors.Is(err, journal.ErrPosition))
		assignment, err := d.relays[0].Join(ctx, journal.Join{Group: "g", Member: "m", Topics: []string{"t"}, Lifetime: time.Second})
		is.NoErr(err)
		is.Equal(len(assignment.Partitions), d.store.PartitionsPerTopic())
		rows, err := d.relays[0].Owners(ctx, "g")
		is.NoErr(err)
		is.Equal(len(rows), d.store.PartitionsPerTopic())
		is.NoErr(d.relays[0].Leave(ctx, "g", "m"))
		page, err := d.relays[0].Newest(ctx, PeersPartition, "")
		is.NoErr(err)
		is.Equal(len(page.Records), 2)
	})
}

// Errors come out of a reply as they went in.
func TestErrorsSurviveEncoding(t *testing.T) {
	is := is.New(t)
	for _, cause := range []error{
		&journal.TrimmedError{First: 7}, &journal.UnavailableError{Reason: "x"},
		errors.Wrap(journal.ErrPosition, "x"), errors.Wrap(journal.ErrNotDone, "x"), errors.Wrap(journal.ErrUnknown, "x"),
	} {
		message, err := encode(failedReply(cause))
		is.NoErr(err)
		var answer reply
		is.NoErr(message.decode(&answer))
		for _, kind := range []error{journal.ErrTrimmed, journal.ErrPosition, journal.ErrNotDone, journal.ErrUnknown} {
			is.Equal(errors.Is(answer.err(), kind), errors.Is(cause, kind))
		}
		var before, after *journal.TrimmedError
		is.Equal(errors.As(cause, &before), errors.As(answer.err(), &after))
		is.True(reflect.DeepEqual(before, after))
	}
}

// A path is lost only after overdueAfter without any answer, or refusals in a row, and
// any answer brings it back, in whatever order calls begin and end.
func TestThePathIsLostOnlyAfterSilenceOrRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		p := newPath(now)
		var open []*pendingCall
		answered, refusals := now, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			switch kind := rapid.IntRange(0, 3).Draw(t, "kind"); {
			case kind == 0 || len(open) == 0:
				open = append(open, p.begin(now, time.Duration(rapid.IntRange(0, 1000).Draw(t, "wait"))*time.Millisecond))
			case kind == 1:
				p.finish(open[0], nil, now)
				open, answered, refusals = open[1:], now, 0
			case kind == 2:
				p.finish(open[0], &journal.UnavailableError{}, now)
				open = open[1:]
				refusals++
			default:
				p.finish(open[0], journal.ErrUnknown, now)
				open = open[1:]
			}
			p.detectLoss(now)
			lost, lostCh := p.state()
			select {
			case <-lostCh:
				if !lost {
					t.Fatal("callers are told of a loss that is over")
				}
			default:
				if lost {
					t.Fatal("callers are not told of a loss")
				}
			}
			if lost && now.Sub(answered) <= maxOverdue && refusals < minRefusals {
				t.Fatalf("lost %v after an answer, with %d refusals", now.Sub(answered), refusals)
			}
		}
	})
}
