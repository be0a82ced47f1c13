package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/headers"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/upstream"
)

var names = headers.Names{RequestID: "Id", DeadlineMs: "Deadline", ExpectReplica: "Expect-Replica", NotExecuted: "Not-Executed", Signature: "Signature"}

// behaviour is a replica's reaction to a request.
type behaviour func(w http.ResponseWriter, r *http.Request)

func answers(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Signature", "s")
	_, _ = io.WriteString(w, "whole")
}

func declines(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func breaks(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func fails(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Signature", "s")
	w.WriteHeader(http.StatusInternalServerError)
}

func unsigned(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "of somebody") }

// hangs holds a request until its sender cancels it.
func hangs(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// testService is a service whose replicas follow a plan. The plan holds one behaviour for each
// attempt in order; the last one also applies to all further attempts.
type testService struct {
	forwarder  *Forwarder
	mu         sync.Mutex
	behaviours []behaviour
	attempts   int
}

// removedGrace is how long replicas of a testService may get work after their removal.
const removedGrace = 500 * time.Millisecond

func newTestService(t *testing.T, replicas int, behaviours ...behaviour) *testService {
	t.Helper()
	f := &testService{behaviours: behaviours}
	table := replica.NewTable(2*removedGrace, zap.NewNop())
	for i := range replicas {
		server := httptest.NewServer(http.HandlerFunc(f.serve))
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		table.Set(replica.Entry{ID: string(rune('a' + i)), Service: "s", Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Slots: 4})
	}
	pool := upstream.NewPool(upstream.Options{ConnectTimeout: time.Second, UnackedTimeout: time.Second})
	f.forwarder = &Forwarder{MaxConnections: UnboundedConnections, Pool: pool, Table: table, Quarantine: quarantine.New("m", time.Now, zap.NewNop()), Names: names, Logger: zap.NewNop(), Observe: func(string, string, time.Duration) {}}
	return f
}

func (f *testService) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	f.mu.Lock()
	does := f.behaviours[min(f.attempts, len(f.behaviours)-1)]
	f.attempts++
	f.mu.Unlock()
	does(w, r)
}

func (f *testService) attemptCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attempts
}

func (f *testService) call(t *testing.T, change func(*Call)) (*Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	call := &Call{Request: Request{RequestID: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"r"}}}, Services: []string{"s"}, MaxAttempts: 3}
	change(call)
	return f.forwarder.Do(ctx, call)
}

func repeatable(call *Call) { call.Repeatable = true }
func once(*Call)            {}

// The reported certainty must match what the replicas did with the request.
func TestCertainty(t *testing.T) {
	cases := map[string]struct {
		behaviours []behaviour
		change     func(*Call)
		attempts   int
		certainty  Certainty // 0 if an answer is passed on
	}{
		"answered":                              {[]behaviour{answers}, once, 1, 0},
		"declined, then answered":               {[]behaviour{declines, answers}, once, 2, 0},
		"declined by all":                       {[]behaviour{declines}, once, 3, NotRun},
		"broken, not repeatable":                {[]behaviour{breaks, answers}, once, 1, MayHaveRun},
		"broken, repeatable":                    {[]behaviour{breaks, answers}, repeatable, 2, 0},
		"not signed, not repeatable":            {[]behaviour{unsigned, answers}, once, 1, MayHaveRun},
		"error status, not repeatable":          {[]behaviour{fails, answers}, once, 1, 0},
		"error status, repeatable":              {[]behaviour{fails, answers}, repeatable, 2, 0},
		"declined, then broken, not repeatable": {[]behaviour{declines, breaks, answers}, once, 2, MayHaveRun},
		"broken at every attempt, repeatable":   {[]behaviour{breaks}, repeatable, 3, MayHaveRun},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestService(t, 3, tc.behaviours...)
			answer, err := f.call(t, tc.change)
			is.Equal(f.attemptCount(), tc.attempts)
			if tc.certainty == 0 {
				is.NoErr(err)
				answer.Close()
				return
			}
			var failure *Failure
			is.True(errors.As(err, &failure))
			is.Equal(failure.Certainty, tc.certainty)
		})
	}
}

func TestServiceWithoutReplicas(t *testing.T) {
	is := is.New(t)
	_, err := newTestService(t, 0, answers).call(t, once)
	var failure *Failure
	is.True(errors.As(err, &failure))
	is.Equal(failure.Certainty, NotRun)
}

// MayRetry must be asked before each further attempt with the number of attempts so far, and not
// before the first.
func TestFurtherAttemptsAskMayRetry(t *testing.T) {
	is := is.New(t)
	f := newTestService(t, 3, breaks)
	var asked []int
	_, err := f.call(t, func(call *Call) {
		call.Repeatable = true
		call.MayRetry = func(attempts int) bool {
			asked = append(asked, attempts)
			return attempts < 2
		}
	})
	is.True(err != nil)
	is.Equal(f.attemptCount(), 2)
	is.Equal(asked, []int{1, 2})
}

// A second replica is asked after the route's HedgeAfter.
func TestHedgeOfUnansweredAttempt(t *testing.T) {
	is := is.New(t)
	f := newTestService(t, 3, hangs, answers)
	answer, err := f.call(t, func(call *Call) {
		call.Repeatable, call.Hedge, call.HedgeAfter = true, true, time.Millisecond
	})
	is.NoErr(err)
	answer.Close()
	is.True(f.attemptCount() >= 2)
}

// A request that is not repeatable must never be hedged.
func TestUnrepeatableRequestIsNotHedged(t *testing.T) {
	is := is.New(t)
	f := newTestService(t, 3, hangs, answers)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := f.forwarder.Do(ctx, &Call{Request: Request{RequestID: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"r"}}},
		Services: []string{"s"}, MaxAttempts: 3, Hedge: true, HedgeAfter: time.Millisecond})
	var failure *Failure
	is.True(errors.As(err, &failure))
	is.Equal(failure.Certainty, MayHaveRun)
	is.Equal(f.attemptCount(), 1)
}

// A request whose context has ended must not be sent, even if an attempt's outcome arrives at the
// same moment.
func TestCancelledCallIsNotSent(t *testing.T) {
	is := is.New(t)
	f := newTestService(t, 3, answers)
	for range 3 {
		answer, err := f.call(t, repeatable) // leaves idle connections in the pool
		is.NoErr(err)
		answer.Close()
	}
	before := f.attemptCount()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 50 {
		_, err := f.forwarder.Do(ctx, &Call{Request: Request{RequestID: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"r"}}},
			Services: []string{"s"}, Repeatable: true, MaxAttempts: 3})
		var failure *Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.Certainty, NotRun)
	}
	is.Equal(f.attemptCount(), before)
}

// No retry may start if the caller leaves at the moment an attempt fails.
func TestNoRetryAfterCallerLeft(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	a := newAttempts(newTestService(t, 0).forwarder, &Call{Repeatable: true, MaxAttempts: 3})
	is.True(a.mayRetry(ctx))
	cancel()
	is.True(!a.mayRetry(ctx))
}

// An attempt that is cancelled while its connection is being made has not run, and must be reported
// so.
func TestAttemptCancelledWhileConnectingWasNotSent(t *testing.T) {
	is := is.New(t)
	f := newTestService(t, 0, answers)
	f.forwarder.Pool = upstream.NewPool(upstream.Options{ConnectTimeout: time.Minute, UnackedTimeout: time.Second})
	rep := replica.Replica{Entry: replica.Entry{ID: "a", Service: "s", Address: silentAddress(t), Slots: 4}}
	for range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		call := &Call{Request: Request{RequestID: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"r"}}}}
		call.setDefaults()
		res := f.forwarder.attempt(ctx, cancel, call, rep)
		is.True(errors.Is(res.err, upstream.ErrNotSent))
		is.True(!res.mayHaveRun)
	}
}

// The certainty of a call whose context has ended follows from the outcomes that its cancelled
// attempts report within cancelledAttemptTimeout. The clock is virtual, so that the test does
// not depend on the machine's speed.
func TestOutcomesAfterContextEnd(t *testing.T) {
	notSent := result{err: errors.Wrap(upstream.ErrNotSent, "cut")}
	broken := result{err: errors.New("cut"), mayHaveRun: true}
	whole := result{answer: &Answer{Status: http.StatusOK, Replica: "c", endAttempt: func() {}}, mayHaveRun: true}
	cases := map[string]struct {
		open      int
		results   []result
		after     time.Duration
		certainty Certainty // 0 if an answer is passed on
	}{
		"not sent":                             {1, []result{notSent}, 0, NotRun},
		"not sent, reported in time":           {1, []result{notSent}, cancelledAttemptTimeout / 2, NotRun},
		"not sent, reported late":              {1, []result{notSent}, 2 * cancelledAttemptTimeout, MayHaveRun},
		"sent":                                 {1, []result{broken}, 0, MayHaveRun},
		"one of two sent":                      {2, []result{notSent, broken}, 0, MayHaveRun},
		"one of two not reported":              {2, []result{notSent}, 0, MayHaveRun},
		"complete answer at the end":           {1, []result{whole}, 0, 0},
		"complete answer, other attempt hangs": {2, []result{whole}, cancelledAttemptTimeout / 2, 0},
		"complete answer, too late":            {1, []result{whole}, 2 * cancelledAttemptTimeout, MayHaveRun},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a := &attempts{call: &Call{Repeatable: true, MaxAttempts: 3}, cancelByReplica: map[string]context.CancelFunc{}, outcomes: make(chan result, 4), open: tc.open}
				unreported := tc.open - len(tc.results)
				report := func() {
					for _, rep := range tc.results {
						a.outcomes <- rep
					}
				}
				if tc.after == 0 {
					report()
				} else {
					time.AfterFunc(tc.after, report)
				}
				time.AfterFunc(4*cancelledAttemptTimeout, func() { // the others end eventually
					for range unreported {
						a.outcomes <- broken
					}
				})
				defer time.Sleep(8 * cancelledAttemptTimeout)
				startedAt := time.Now()
				answer, err := a.awaitCancelled()
				is.True(time.Since(startedAt) <= cancelledAttemptTimeout)
				if tc.certainty == 0 {
					is.NoErr(err)
					is.Equal(answer.Replica, "c")
					return
				}
				var failure *Failure
				is.True(errors.As(err, &failure))
				is.Equal(failure.Certainty, tc.certainty)
			})
		})
	}
}

// silentAddress returns an address whose backlog is full, so that connecting to it hangs.
func silentAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*syscall.SockaddrInet4).Port))
	for {
		conn, err := net.DialTimeout("tcp4", address, 50*time.Millisecond)
		if err != nil {
			return netip.MustParseAddrPort(address)
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// A replica whose attempts fail must be avoided. At its end an attempt cancels its own context,
// which must not be taken for a cancellation by the caller.
func TestAReplicaThatFailsIsPassedOver(t *testing.T) {
	is := is.New(t)
	f := newTestService(t, 1, breaks)
	_, err := f.call(t, once)
	is.True(err != nil)
	seen, listed := f.forwarder.Table.Get("a")
	is.True(listed)
	is.True(seen.AvoidUntil.After(time.Now()))
}

// An attempt cancelled by the caller must not count against its replica.
func TestCancelledAttemptDoesNotCountAgainstReplica(t *testing.T) {
	is := is.New(t)
	f := newTestService(t, 1, hangs)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := f.forwarder.Do(ctx, &Call{Request: Request{RequestID: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"r"}}}, Services: []string{"s"}, MaxAttempts: 1})
	is.True(err != nil)
	seen, _ := f.forwarder.Table.Get("a")
	is.True(seen.AvoidUntil.IsZero())
}

// At its limit of connections to one replica, a daemon must use another replica, and report
// NotRun if there is none.
func TestConnectionLimitUsesOtherReplica(t *testing.T) {
	for replicas, answered := range map[int]bool{1: false, 2: true} {
		is := is.New(t)
		f := newTestService(t, replicas, hangs, answers)
		f.forwarder.MaxConnections = func(replica.Replica) int { return 1 }
		ctx, cancel := context.WithCancel(t.Context())
		first := make(chan error, 1)
		go func() {
			_, err := f.forwarder.Do(ctx, &Call{Request: Request{RequestID: "r", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}, Services: []string{"s"}, MaxAttempts: 1})
			first <- err
		}()
		for f.attemptCount() == 0 {
			time.Sleep(time.Millisecond)
		}
		_, err := f.call(t, func(*Call) {})
		if answered {
			is.NoErr(err)
		} else {
			var failure *Failure
			is.True(errors.As(err, &failure))
			is.Equal(failure.Certainty, NotRun)
			is.Equal(failure.Attempts, 0)
		}
		cancel()
		is.True(<-first != nil)
	}
}

// Guards against a request that has waited for a connection and is then sent to a replica that is leaving.
func TestRequestThatWaitedIsNotSentToALeavingReplica(t *testing.T) {
	for name, leave := range map[string]func(table *replica.Table, entry replica.Entry){
		"draining": func(table *replica.Table, entry replica.Entry) {
			entry.Draining = true
			table.Set(entry)
		},
		"removed": func(table *replica.Table, entry replica.Entry) { table.Remove(entry.ID) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			busy := make(chan struct{})
			f := newTestService(t, 1, func(w http.ResponseWriter, r *http.Request) {
				<-busy
				answers(w, r)
			}, answers)
			f.forwarder.MaxConnections = func(replica.Replica) int { return 1 }
			other := newTestService(t, 1, answers).forwarder.Table.All()[0].Entry
			other.ID = "other"
			waits := func(call *Call) { call.ConnectionDeadline = time.Now().Add(5 * time.Second) }
			var calls sync.WaitGroup
			calls.Go(func() { _, _ = f.call(t, waits) }) // holds the connection
			for f.attemptCount() == 0 {
				time.Sleep(time.Millisecond)
			}
			calls.Go(func() {
				answer, err := f.call(t, func(call *Call) {
					waits(call)
					call.RequestID = "waited"
				})
				is.NoErr(err)
				is.Equal(answer.Replica, "other")
			})
			leaving := f.forwarder.Table.All()[0].Entry
			for {
				if seen, _ := f.forwarder.Table.Get(leaving.ID); seen.InFlight == 2 {
					break
				}
				time.Sleep(time.Millisecond)
			}
			f.forwarder.Table.Set(other)
			leave(f.forwarder.Table, leaving)
			time.Sleep(removedGrace)
			close(busy)
			calls.Wait()
			is.Equal(f.attemptCount(), 1)
		})
	}
}
