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

// faultyJournal is one daemon's own path to a journal, with faults that other daemons don't have.
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

// applyFault makes a call fail as the current fault requires: at the end of ctx or at once.
func (f *faultyJournal) applyFault(ctx context.Context) error {
	switch f.fault.Load() {
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

func (f *faultyJournal) Append(ctx context.Context, request journal.Append) (journal.Appended, error) {
	if err := f.applyFault(ctx); err != nil {
		return journal.Appended{}, err
	}
	if delay := time.Duration(f.appendDelay.Load()); delay > 0 {
		periodic.Pause(ctx, delay)
	}
	if ctx.Err() != nil {
		return journal.Appended{}, errors.Wrap(journal.ErrUnknown, ctx.Err().Error())
	}
	appended, err := f.Journal.Append(ctx, request)
	return appended, firstError(err, f.applyFault(ctx))
}

func (f *faultyJournal) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	if err := f.applyFault(ctx); err != nil {
		return journal.Records{}, err
	}
	read, err := f.Journal.Read(ctx, request)
	return read, firstError(err, f.applyFault(ctx))
}

func (f *faultyJournal) Newest(ctx context.Context, partition journal.Partition, afterKey string) (journal.KeyedPage, error) {
	if err := f.applyFault(ctx); err != nil {
		return journal.KeyedPage{}, err
	}
	page, err := f.Journal.Newest(ctx, partition, afterKey)
	return page, firstError(err, f.applyFault(ctx))
}

// firstError returns the first error that is not nil. Faults are applied before and after a call,
// so that a call in progress when a fault begins gets no answer either.
func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// daemons is a group of daemons that are connected by pipes. Each has its own path to the store.
type daemons struct {
	store    *journaltest.Journal
	ownPaths []*faultyJournal
	relays   []*Journal
}

// pipeNetwork connects daemons by pipes: it has a function for each daemon's name that serves a
// connection.
type pipeNetwork map[string]func(net.Conn)

// add connects a daemon to the others in both directions. wrap is applied to its end of the
// connections that others open.
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

// newDaemons starts daemons of one zone and waits until they know each other.
func newDaemons(ctx context.Context, t *testing.T, count int) *daemons {
	d, network := &daemons{store: journaltest.New()}, pipeNetwork{}
	for i := range count {
		name := string(rune('a' + i))
		ownPath := &faultyJournal{Journal: d.store}
		relayed := New(ownPath, Options{Name: name, Zone: "z", Address: name}, zap.NewNop())
		network.add(ctx, t, relayed, func(conn net.Conn) net.Conn { return conn })
		d.ownPaths, d.relays = append(d.ownPaths, ownPath), append(d.relays, relayed)
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

// lossProbeText is the text of the records that waitForLoss appends. The last of them may be
// appended through a peer.
const lossProbeText = "before the loss shows"

// storedTexts returns the texts of the stored records except lossProbeText.
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

// waitForLoss appends records until the daemon's own path counts as lost.
func waitForLoss(ctx context.Context, relayed *Journal) {
	for !relayed.PathLost() {
		_ = appendOne(ctx, relayed, lossProbeText, 300*time.Millisecond) // the outcome does not matter
		time.Sleep(50 * time.Millisecond)
	}
}

// A daemon that cannot reach the store, or whose calls are refused or throttled, must make its
// calls through a peer, and on its own path again once that is restored.
func TestADaemonThatLostItsPathCallsThroughAPeer(t *testing.T) {
	for _, fault := range []int32{faultSilent, faultRefused, faultThrottled} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			d := newDaemons(ctx, t, 3)
			is.NoErr(appendOne(ctx, d.relays[0], "before", time.Second))
			d.ownPaths[0].fault.Store(fault)
			// The loss must be detected whatever the fault is.
			waitForLoss(ctx, d.relays[0])
			is.NoErr(appendOne(ctx, d.relays[0], "through another", 200*time.Millisecond))
			stored, err := storedTexts(ctx, d.relays[0])
			is.NoErr(err)
			is.Equal(stored, []string{"before", "through another"})
			// Two daemons without a path refuse each other's calls, and both use the third.
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

// In an outage of the whole store no peer can help. Calls use the own path, so that they succeed
// as soon as the store is available again.
func TestCallsSucceedWhenAStoreOutageEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d := newDaemons(ctx, t, 3)
		for _, ownPath := range d.ownPaths {
			ownPath.fault.Store(faultRefused)
		}
		for range 20 {
			for _, relayed := range d.relays {
				err := appendOne(ctx, relayed, lossProbeText, 300*time.Millisecond)
				is.True(errors.Is(err, journal.ErrNotDone) || errors.Is(err, journal.ErrUnknown))
			}
			time.Sleep(50 * time.Millisecond)
		}
		for _, ownPath := range d.ownPaths {
			ownPath.fault.Store(faultNone)
		}
		is.NoErr(appendOne(ctx, d.relays[0], "back", 50*time.Millisecond))
		stored, err := storedTexts(ctx, d.relays[1])
		is.NoErr(err)
		is.Equal(stored, []string{"back"})
	})
}

// Relaying must keep an append's condition, also one on offset 0, and return the journal's own
// results and errors.
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

// An error must have the same kind after it was sent in a reply.
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

// The path is lost only after more than maxOverdue without an answer or after refusals in a row,
// and any answer restores it, in whichever order calls begin and end.
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
					t.Fatal("lostCh is closed, but the path is not lost")
				}
			default:
				if lost {
					t.Fatal("the path is lost, but lostCh is not closed")
				}
			}
			if lost && now.Sub(answered) <= maxOverdue && refusals < minRefusals {
				t.Fatalf("path lost %v after an answer and after %d refusals", now.Sub(answered), refusals)
			}
		}
	})
}
