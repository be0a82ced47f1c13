package usage

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"woodworks/internal/daemon/testseed"
	"woodworks/internal/daemon/wallclock"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/membership/duty"
	"woodworks/internal/membership/lease"
)

func init() { testseed.Fix() }

var windows = duty.UsageSchedule{WindowLength: 5 * time.Second, DueAfter: 10 * time.Second}

// countedRecord returns an encoded record with one request of a tenant in a window.
func countedRecord(run string, number, window int64, tenant string) []byte {
	return encode(record{Kind: kindCounted, Sender: run, Number: number, Counts: map[int64]map[string]int64{window: {tenant: 1}}})
}

// Guards against a window whose decided counts change or don't contain each earlier count exactly
// once, with counts and decisions in any order, repeated or late.
func TestFoldDecidesEachWindowOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState()
		numbers := map[string]int64{}
		var sent [][]byte
		want := map[int64]map[string]int64{}
		decided := map[int64]map[string]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			window := rapid.Int64Range(100, 110).Draw(t, "window")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0, 1:
				run, tenant := rapid.SampledFrom([]string{"a/1", "b/1", "b/2"}).Draw(t, "run"), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "tenant")
				numbers[run]++
				encoded := countedRecord(run, numbers[run], window, tenant)
				sent = append(sent, encoded)
				if !s.isDecided(window) {
					addTo(want, window, map[string]int64{tenant: 1})
				}
				s.apply(encoded)
			case 2:
				if len(sent) > 0 {
					s.apply(rapid.SampledFrom(sent).Draw(t, "again"))
				}
			default:
				requests := maps.Clone(s.counts[window])
				fresh := !s.isDecided(window)
				s.apply(encode(record{Kind: kindDecided, Window: window, Requests: requests}))
				if fresh {
					if !maps.Equal(requests, want[window]) {
						t.Fatalf("window %d: got counts %v, want %v", window, requests, want[window])
					}
					decided[window] = requests
				}
			}
			for window, requests := range decided {
				if kept, there := s.decided[window]; there && !maps.Equal(kept, requests) {
					t.Fatalf("window %d: decided counts changed from %v to %v", window, requests, kept)
				}
			}
			s.apply([]byte{0xff, 1})
		}
	})
}

func TestFoldRetainsBoundedState(t *testing.T) {
	is := is.New(t)
	s := newState()
	for window := int64(1000); window < 1000+3*retainedWindows; window++ {
		s.apply(countedRecord(fmt.Sprint("run/", window), 1, window, "x"))
		s.apply(encode(record{Kind: kindDecided, Window: window, Requests: s.counts[window]}))
		s.apply(encode(record{Kind: kindReported, Window: window}))
		is.True(len(s.senders) <= retainedWindows)
		is.True(len(s.decided) <= retainedWindows)
		is.True(len(s.reported) <= retainedWindows)
		is.Equal(len(s.counts), 0)
	}
}

// reportCall is a call of ReportUsage that the platform received.
type reportCall struct {
	authority duty.Authority
	usage     duty.Usage
	at        time.Time
}

// fakePlatform records reports and can answer them with errors.
type fakePlatform struct {
	mu    sync.Mutex
	calls []reportCall
	// reportError, if not nil, returns the result of a call, which is recorded in any case.
	reportError func() error
}

func (c *fakePlatform) Duties() duty.Duties { return duty.Duties{Usage: true} }

func (c *fakePlatform) OrderFleet(context.Context, duty.Authority, duty.FleetOrder) error {
	return duty.ErrRefused
}

func (c *fakePlatform) ReportUsage(ctx context.Context, authority duty.Authority, usage duty.Usage) error {
	c.mu.Lock()
	c.calls = append(c.calls, reportCall{authority, usage, time.Now()})
	reportError := c.reportError
	c.mu.Unlock()
	if reportError == nil {
		return nil
	}
	return reportError()
}

// checkReports returns an error unless all reports of a window are equal, fences never decrease and
// each fence has one holder.
func checkReports(calls []reportCall) error {
	reports := map[int64]map[string]int64{}
	holders := map[int64]string{}
	fence := int64(0)
	for _, each := range calls {
		window := each.usage.Window
		if before, known := reports[window]; known && !maps.Equal(before, each.usage.Requests) {
			return errors.Errorf("window %d was reported with counts %v and %v", window, before, each.usage.Requests)
		}
		reports[window] = each.usage.Requests
		if each.authority.Fence < fence {
			return errors.Errorf("fence decreased to %d from %d", each.authority.Fence, fence)
		}
		fence = each.authority.Fence
		if holder, used := holders[fence]; used && holder != each.authority.Holder {
			return errors.Errorf("fence %d has holders %s and %s", fence, holder, each.authority.Holder)
		}
		holders[fence] = each.authority.Holder
	}
	return nil
}

// daemon is a daemon with a recorder and, while it holds the lease, an active reporter.
type daemon struct {
	recorder *Recorder
	lease    *lease.Lease
	stop     context.CancelFunc
	done     sync.WaitGroup
}

// startDaemon starts a daemon whose recorder and lease use log and whose reporter uses read.
func startDaemon(ctx context.Context, log, read journal.Journal, driver duty.Driver, machine string, start int) *daemon {
	bounded, cancel := context.WithCancel(ctx)
	run := fmt.Sprintf("%s/%d", machine, start)
	started := &daemon{stop: cancel}
	clock := wallclock.New(time.Now)
	started.lease = lease.New(log, journal.Partition{Topic: "duty"}, run, 3*time.Second, zap.NewNop())
	started.lease.SetClock(time.Now)
	started.lease.SetCandidate(true)
	started.recorder = NewRecorder(log, run, windows, func() time.Duration { return 0 }, clock, zap.NewNop())
	reporter := NewReporter(read, started.lease, driver, machine, windows, clock, zap.NewNop())
	for _, loop := range []func(context.Context){started.lease.Run, started.recorder.Run, reporter.Run} {
		started.done.Add(1)
		go func() {
			defer started.done.Done()
			loop(bounded)
		}()
	}
	return started
}

// kill stops the daemon without a flush.
func (d *daemon) kill() {
	d.stop()
	d.done.Wait()
}

// Guards against a window that is reported late, twice or with wrong counts although nothing fails.
func TestWindowsAreReportedExactlyOnceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		log, platform := journaltest.New(), &fakePlatform{}
		var daemons []*daemon
		for _, machine := range []string{"a", "b", "c"} {
			daemons = append(daemons, startDaemon(ctx, log, log, platform, machine, 1))
		}
		want := map[int64]map[string]int64{}
		draw := rand.New(rand.NewPCG(1, 2))
		for range 400 {
			time.Sleep(time.Duration(draw.IntN(200)) * time.Millisecond)
			tenant := fmt.Sprint("t", draw.IntN(20))
			addTo(want, windowOf(time.Now(), windows), map[string]int64{tenant: 1})
			daemons[draw.IntN(3)].recorder.CountRequest(tenant, time.Now())
		}
		time.Sleep(20 * time.Second)
		cancel()
		for _, each := range daemons {
			each.kill()
		}
		is.NoErr(checkReports(platform.calls))
		seen := map[int64]bool{}
		for _, each := range platform.calls {
			is.True(!seen[each.usage.Window]) // once
			seen[each.usage.Window] = true
			is.True(each.at.Before(windowEnd(each.usage.Window, windows).Add(windows.DueAfter)))
			is.Equal(totalRequests(each.usage.Requests), totalRequests(want[each.usage.Window]))
			is.True(maps.Equal(each.usage.Requests, want[each.usage.Window]) || len(want[each.usage.Window]) == 0)
			delete(want, each.usage.Window)
		}
		is.Equal(len(want), 0)
	})
}

// Guards against counting a request in the window in which it ends instead of the one in which it
// was sent.
func TestRequestCountsInWindowOfItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		recorder := NewRecorder(journaltest.New(), "a/1", windows, func() time.Duration { return 0 }, wallclock.New(time.Now), zap.NewNop())
		sentAt := time.Now()
		window := windowOf(sentAt, windows)
		time.Sleep(windows.WindowLength + time.Second)
		recorder.CountRequest("x", sentAt)
		recorder.CountRequest("", time.Now()) // without a tenant, not counted
		is.Equal(recorder.counts, map[int64]map[string]int64{window: {"x": 1}})
	})
}

// runWithFaults starts and kills daemons while calls to the journal and to the platform fail in
// different ways, and returns the calls that the platform received. Reporters use the journal
// that read returns.
func runWithFaults(t *testing.T, steps, faults []int, read func(journal.Journal, string) journal.Journal) []reportCall {
	platform := &fakePlatform{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := journaltest.New()
		var mu sync.Mutex
		calls := 0
		draw := func() int {
			mu.Lock()
			defer mu.Unlock()
			calls++
			return faults[calls%len(faults)]
		}
		log.FaultFunc = func(journaltest.Call) journaltest.Fault {
			return map[int]journaltest.Fault{0: journaltest.Refuse, 1: journaltest.Hang, 2: journaltest.LoseAnswer, 3: journaltest.Delay}[draw()]
		}
		platform.reportError = func() error {
			return map[int]error{0: duty.ErrUnknown, 1: duty.ErrThrottled, 2: duty.ErrUnknown}[draw()]
		}
		daemons := map[string]*daemon{}
		for i, step := range steps {
			machine := string(rune('a' + step%3))
			switch {
			case daemons[machine] == nil:
				daemons[machine] = startDaemon(ctx, log, read(log, machine), platform, machine, i)
			case step < 25:
				daemons[machine].kill()
				delete(daemons, machine)
			default:
				// Some requests are counted only after their window was decided.
				late := time.Duration(step%4) * 3 * time.Second
				daemons[machine].recorder.CountRequest(fmt.Sprint("t", step%5), time.Now().Add(-late))
			}
			time.Sleep(time.Duration(step) * 40 * time.Millisecond)
			log.ApplyDelayed()
		}
		cancel()
		for _, each := range daemons {
			each.done.Wait()
		}
	})
	return platform.calls
}

// sameJournal is the read function of reporters without a planted fault.
func sameJournal(log journal.Journal, _ string) journal.Journal { return log }

// minCalls is the number of reports below which the test would checkReports too little.
const minCalls = 300

// Guards against different reports of a window after faults of calls and restarts of daemons.
func TestReportsOfAWindowNeverDiffer(t *testing.T) {
	calls := 0
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 30, 60).Draw(rt, "steps")
		faults := rapid.SliceOfN(rapid.IntRange(0, 24), 200, 200).Draw(rt, "faults")
		seen := runWithFaults(t, steps, faults, sameJournal)
		calls += len(seen)
		if err := checkReports(seen); err != nil {
			rt.Fatal(err)
		}
	})
	if calls < minCalls {
		t.Fatalf("only %d reports were checked", calls)
	}
}

// ownDecisionsJournal is a planted fault: its reader doesn't see the decisions of other daemons and
// so reports its own.
type ownDecisionsJournal struct {
	journal.Journal
	mu  sync.Mutex
	own map[string]bool
}

func (f *ownDecisionsJournal) Append(ctx context.Context, request journal.Append) (journal.Appended, error) {
	f.mu.Lock()
	for _, each := range request.Records {
		f.own[string(each)] = true
	}
	f.mu.Unlock()
	return f.Journal.Append(ctx, request)
}

func (f *ownDecisionsJournal) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	read, err := f.Journal.Read(ctx, request)
	kept := read
	kept.Records = nil
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, each := range read.Records {
		var rec record
		if cbor.Unmarshal(each, &rec) == nil && rec.Kind != kindCounted && !f.own[string(each)] {
			each = encode(record{})
		}
		kept.Records = append(kept.Records, each)
	}
	return kept, err
}

// Guards against a checkReports that misses a daemon that reports other counts than the decided ones.
func TestCheckReportsDetectsDifferentReports(t *testing.T) {
	draw := rand.New(rand.NewPCG(3, 4))
	numbers := func(n, below int) []int {
		drawn := make([]int, n)
		for i := range drawn {
			drawn[i] = draw.IntN(below)
		}
		return drawn
	}
	for range 60 {
		seen := runWithFaults(t, numbers(60, 100), numbers(200, 25), func(log journal.Journal, _ string) journal.Journal {
			return &ownDecisionsJournal{Journal: log, own: map[string]bool{}}
		})
		if checkReports(seen) != nil {
			return
		}
	}
	t.Fatal("checkReports missed the planted fault")
}

// Guards against deciding a window without the counts that an outage of the journal delayed, while
// there is still time until the report is due.
func TestDecisionWaitsForCountsAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		log, platform := journaltest.New(), &fakePlatform{}
		var mu sync.Mutex
		down := false
		log.FaultFunc = func(journaltest.Call) journaltest.Fault {
			mu.Lock()
			defer mu.Unlock()
			if down {
				return journaltest.Refuse
			}
			return journaltest.None
		}
		set := func(value bool) {
			mu.Lock()
			defer mu.Unlock()
			down = value
		}
		a, b := startDaemon(ctx, log, log, platform, "a", 1), startDaemon(ctx, log, log, platform, "b", 1)
		time.Sleep(12 * time.Second)
		window := windowOf(time.Now(), windows)
		set(true)
		a.recorder.CountRequest("x", time.Now())
		b.recorder.CountRequest("x", time.Now())
		time.Sleep(time.Until(windowEnd(window, windows)) + 4*time.Second)
		set(false)
		time.Sleep(20 * time.Second)
		cancel()
		a.kill()
		b.kill()
		is.NoErr(checkReports(platform.calls))
		found := false
		for _, each := range platform.calls {
			if each.usage.Window == window {
				found = true
				is.Equal(each.usage.Requests, map[string]int64{"x": 2})
				is.True(each.at.Before(windowEnd(window, windows).Add(windows.DueAfter)))
			}
		}
		is.True(found)
	})
}
