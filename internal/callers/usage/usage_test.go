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

var windows = duty.Windows{Length: 5 * time.Second, Due: 10 * time.Second}

// countedRecord has one request of a tenant in a window.
func countedRecord(run string, number, window int64, tenant string) []byte {
	return encode(record{Kind: kindCounted, Sender: run, Number: number, Counts: map[int64]map[string]int64{window: {tenant: 1}}})
}

// In whatever order counts and decisions come, doubled or late: a window is decided once
// and keeps its figures, and these hold each count before it exactly once.
func TestFoldKeepsItsPromises(t *testing.T) {
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
						t.Fatalf("window %d: %v counted, %v wanted", window, requests, want[window])
					}
					decided[window] = requests
				}
			}
			for window, requests := range decided {
				if kept, there := s.decided[window]; there && !maps.Equal(kept, requests) {
					t.Fatalf("window %d was decided as %v and is %v", window, requests, kept)
				}
			}
			s.apply([]byte{0xff, 1})
		}
	})
}

func TestTheFoldForgetsWhatIsLongPast(t *testing.T) {
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

// call is one report that a platform got.
type call struct {
	authority duty.Authority
	usage     duty.Usage
	at        time.Time
}

// cloud is a platform that takes reports, some of them badly.
type cloud struct {
	mu    sync.Mutex
	calls []call
	// befall, if not nil, is the error that a call gets although it was seen.
	befall func() error
}

func (c *cloud) Duties() duty.Duties { return duty.Duties{Usage: true} }

func (c *cloud) OrderFleet(context.Context, duty.Authority, duty.Fleet) error {
	return duty.ErrRefused
}

func (c *cloud) ReportUsage(ctx context.Context, authority duty.Authority, usage duty.Usage) error {
	c.mu.Lock()
	c.calls = append(c.calls, call{authority, usage, time.Now()})
	befall := c.befall
	c.mu.Unlock()
	if befall == nil {
		return nil
	}
	return befall()
}

// check holds the calls against what a platform demands: reports of one window are
// alike, fences never fall, and one fence has one holder.
func check(calls []call) error {
	reports := map[int64]map[string]int64{}
	holders := map[int64]string{}
	fence := int64(0)
	for _, each := range calls {
		window := each.usage.Window
		if before, known := reports[window]; known && !maps.Equal(before, each.usage.Requests) {
			return errors.Errorf("window %d was reported as %v and as %v", window, before, each.usage.Requests)
		}
		reports[window] = each.usage.Requests
		if each.authority.Fence < fence {
			return errors.Errorf("fence %d after %d", each.authority.Fence, fence)
		}
		fence = each.authority.Fence
		if holder, used := holders[fence]; used && holder != each.authority.Holder {
			return errors.Errorf("fence %d of %s and of %s", fence, holder, each.authority.Holder)
		}
		holders[fence] = each.authority.Holder
	}
	return nil
}

// daemon is one daemon that counts, and reports while it holds the lease.
type daemon struct {
	recorder *Recorder
	lease    *lease.Lease
	stop     context.CancelFunc
	done     sync.WaitGroup
}

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
	for _, part := range []func(context.Context){started.lease.Run, started.recorder.Run, reporter.Run} {
		started.done.Add(1)
		go func() {
			defer started.done.Done()
			part(bounded)
		}()
	}
	return started
}

func (d *daemon) kill() {
	d.stop()
	d.done.Wait()
}

// On a calm day each window is reported once, in time, and exactly.
func TestCalmWindowsAreReportedExactlyAndInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		log, platform := journaltest.New(), &cloud{}
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
		is.NoErr(check(platform.calls))
		seen := map[int64]bool{}
		for _, each := range platform.calls {
			is.True(!seen[each.usage.Window]) // once
			seen[each.usage.Window] = true
			is.True(each.at.Before(windowEnd(each.usage.Window, windows).Add(windows.Due)))
			is.Equal(totalRequests(each.usage.Requests), totalRequests(want[each.usage.Window]))
			is.True(maps.Equal(each.usage.Requests, want[each.usage.Window]) || len(want[each.usage.Window]) == 0)
			delete(want, each.usage.Window)
		}
		is.Equal(len(want), 0)
	})
}

// A request that was sent just before the end of a window and is told of after it counts
// in the window in which it was sent.
func TestARequestCountsWhereItBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		recorder := NewRecorder(journaltest.New(), "a/1", windows, func() time.Duration { return 0 }, wallclock.New(time.Now), zap.NewNop())
		sentAt := time.Now()
		window := windowOf(sentAt, windows)
		time.Sleep(windows.Length + time.Second)
		recorder.CountRequest("x", sentAt)
		recorder.CountRequest("", time.Now()) // not a tenant's
		is.Equal(recorder.counts, map[int64]map[string]int64{window: {"x": 1}})
	})
}

// chaos runs daemons that are killed and started while calls to the journal and to the
// platform fail in all ways, and returns what the platform saw. Readers see the journal
// through read.
func chaos(t *testing.T, steps, faults []int, read func(journal.Journal, string) journal.Journal) []call {
	platform := &cloud{}
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
		platform.befall = func() error {
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
				// Some are told of only after their window was decided.
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

func honest(log journal.Journal, _ string) journal.Journal { return log }

// minimumCalls keeps the checks from passing because nothing was ever reported.
const minimumCalls = 300

// Whatever happens to the calls and to the daemons, no two reports of a window differ.
func TestReportsOfAWindowNeverDiffer(t *testing.T) {
	calls := 0
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 30, 60).Draw(rt, "steps")
		faults := rapid.SliceOfN(rapid.IntRange(0, 24), 200, 200).Draw(rt, "faults")
		seen := chaos(t, steps, faults, honest)
		calls += len(seen)
		if err := check(seen); err != nil {
			rt.Fatal(err)
		}
	})
	if calls < minimumCalls {
		t.Fatalf("only %d reports were checked", calls)
	}
}

// forgetful hides what others have decided: who reads through it reports its own figures.
// It is a planted fault.
type forgetful struct {
	journal.Journal
	mu  sync.Mutex
	own map[string]bool
}

func (f *forgetful) Append(ctx context.Context, request journal.Append) (journal.Appended, error) {
	f.mu.Lock()
	for _, each := range request.Records {
		f.own[string(each)] = true
	}
	f.mu.Unlock()
	return f.Journal.Append(ctx, request)
}

func (f *forgetful) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
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

// The check finds a daemon that reports figures that are not the settled ones.
func TestTheCheckFindsReportsThatDiffer(t *testing.T) {
	draw := rand.New(rand.NewPCG(3, 4))
	numbers := func(n, below int) []int {
		drawn := make([]int, n)
		for i := range drawn {
			drawn[i] = draw.IntN(below)
		}
		return drawn
	}
	for range 60 {
		seen := chaos(t, numbers(60, 100), numbers(200, 25), func(log journal.Journal, _ string) journal.Journal {
			return &forgetful{Journal: log, own: map[string]bool{}}
		})
		if check(seen) != nil {
			return
		}
	}
	t.Fatal("the planted fault was not found")
}

// Counts that an outage held up are waited for as long as the report can still be in
// time.
func TestAWindowWaitsForAnOutageToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		log, platform := journaltest.New(), &cloud{}
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
		is.NoErr(check(platform.calls))
		found := false
		for _, each := range platform.calls {
			if each.usage.Window == window {
				found = true
				is.Equal(each.usage.Requests, map[string]int64{"x": 2})
				is.True(each.at.Before(windowEnd(window, windows).Add(windows.Due)))
			}
		}
		is.True(found)
	})
}
