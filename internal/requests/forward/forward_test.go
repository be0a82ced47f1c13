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

var names = headers.Names{RequestID: "Id", DeadlineMs: "Deadline", ExpectReplica: "Expect-Replica", NotExecuted: "Not-Executed", Stamp: "Signature"}

// behaviour is what a replica does with a request.
type behaviour func(w http.ResponseWriter, r *http.Request)

func answers(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Signature", "s")
	_, _ = io.WriteString(w, "whole")
}

func declines(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func cuts(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func fails(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Signature", "s")
	w.WriteHeader(http.StatusInternalServerError)
}

func unsigned(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "of somebody") }

// hangs holds a request until its sender gives it up.
func hangs(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// floor is some replicas of one service that behave as told, first offers first.
type floor struct {
	forwarder *Forwarder
	mu        sync.Mutex
	plan      []behaviour
	offers    int
}

func newFloor(t *testing.T, replicas int, plan ...behaviour) *floor {
	t.Helper()
	f := &floor{plan: plan}
	table := replica.NewTable(time.Second, zap.NewNop())
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

func (f *floor) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	f.mu.Lock()
	does := f.plan[min(f.offers, len(f.plan)-1)]
	f.offers++
	f.mu.Unlock()
	does(w, r)
}

func (f *floor) offered() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.offers
}

func (f *floor) call(t *testing.T, change func(*Call)) (*Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	call := &Call{Request: Request{RequestID: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"r"}}}, Services: []string{"s"}, MaxAttempts: 3}
	change(call)
	return f.forwarder.Do(ctx, call)
}

func repeatable(call *Call) { call.Repeatable = true }
func once(*Call)            {}

// What is told of a request without an answer follows from what its replicas did.
func TestCertainty(t *testing.T) {
	cases := map[string]struct {
		plan      []behaviour
		change    func(*Call)
		offers    int
		certainty Certainty // 0 where an answer is passed on
	}{
		"answered":                         {[]behaviour{answers}, once, 1, 0},
		"declined, then answered":          {[]behaviour{declines, answers}, once, 2, 0},
		"declined by all":                  {[]behaviour{declines}, once, 3, NotRun},
		"cut, once only":                   {[]behaviour{cuts, answers}, once, 1, MayHaveRun},
		"cut, repeatable":                  {[]behaviour{cuts, answers}, repeatable, 2, 0},
		"not signed, once only":            {[]behaviour{unsigned, answers}, once, 1, MayHaveRun},
		"its own failure, once only":       {[]behaviour{fails, answers}, once, 1, 0},
		"its own failure, repeatable":      {[]behaviour{fails, answers}, repeatable, 2, 0},
		"declined, then cut, once only":    {[]behaviour{declines, cuts, answers}, once, 2, MayHaveRun},
		"cut at every attempt, repeatable": {[]behaviour{cuts}, repeatable, 3, MayHaveRun},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFloor(t, 3, one.plan...)
			answer, err := f.call(t, one.change)
			is.Equal(f.offered(), one.offers)
			if one.certainty == 0 {
				is.NoErr(err)
				answer.Close()
				return
			}
			var failure *Failure
			is.True(errors.As(err, &failure))
			is.Equal(failure.Certainty, one.certainty)
		})
	}
}

func TestAServiceWithoutReplicasHasRunNothing(t *testing.T) {
	is := is.New(t)
	_, err := newFloor(t, 0, answers).call(t, once)
	var failure *Failure
	is.True(errors.As(err, &failure))
	is.Equal(failure.Certainty, NotRun)
}

// The retry budget and the policy are asked before each further offer, with the
// number of offers so far, and not before the first.
func TestFurtherOffersNeedLeave(t *testing.T) {
	is := is.New(t)
	f := newFloor(t, 3, cuts)
	var asked []int
	_, err := f.call(t, func(call *Call) {
		call.Repeatable = true
		call.MayRetry = func(offers int) bool {
			asked = append(asked, offers)
			return offers < 2
		}
	})
	is.True(err != nil)
	is.Equal(f.offered(), 2)
	is.Equal(asked, []int{1, 2})
}

// A silent replica gets company after the operation's own time.
func TestASilentReplicaGetsCompany(t *testing.T) {
	is := is.New(t)
	f := newFloor(t, 3, hangs, answers)
	answer, err := f.call(t, func(call *Call) {
		call.Repeatable, call.Hedge, call.HedgeAfter = true, true, time.Millisecond
	})
	is.NoErr(err)
	answer.Close()
	is.True(f.offered() >= 2)
}

// What may run once only never gets company.
func TestARequestThatMayRunOnceGetsNoCompany(t *testing.T) {
	is := is.New(t)
	f := newFloor(t, 3, hangs, answers)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := f.forwarder.Do(ctx, &Call{Request: Request{RequestID: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"r"}}},
		Services: []string{"s"}, MaxAttempts: 3, Hedge: true, HedgeAfter: time.Millisecond})
	var failure *Failure
	is.True(errors.As(err, &failure))
	is.Equal(failure.Certainty, MayHaveRun)
	is.Equal(f.offered(), 1)
}

// A request whose caller has left reaches no replica, whichever moment that is: before its
// first offer, or together with the outcome of one, which both wake the loop.
func TestNobodysRequestReachesNoReplica(t *testing.T) {
	is := is.New(t)
	f := newFloor(t, 3, answers)
	for range 3 {
		answer, err := f.call(t, repeatable) // connections rest at the replicas
		is.NoErr(err)
		answer.Close()
	}
	before := f.offered()
	ctx, leave := context.WithCancel(t.Context())
	leave()
	for range 50 {
		_, err := f.forwarder.Do(ctx, &Call{Request: Request{RequestID: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"r"}}},
			Services: []string{"s"}, Repeatable: true, MaxAttempts: 3})
		var failure *Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.Certainty, NotRun)
	}
	is.Equal(f.offered(), before)
}

// The end of a caller that comes together with a failure of its replica starts no retry.
func TestARetryIsNotBegunForNobody(t *testing.T) {
	is := is.New(t)
	ctx, leave := context.WithCancel(t.Context())
	a := newAttempts(newFloor(t, 0).forwarder, &Call{Repeatable: true, MaxAttempts: 3})
	is.True(a.mayRetry(ctx))
	leave()
	is.True(!a.mayRetry(ctx))
}

// A request whose time ends while the connection to its replica is still being made was
// told as one that may have run. The offer that is cut says that it was not sent.
func TestAnOfferCutWhileConnectingWasNotSent(t *testing.T) {
	is := is.New(t)
	f := newFloor(t, 0, answers)
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

// What is told at the end of a call's time follows from what its cut offers say in time. The
// clock is virtual: how soon they say it is up to the machine.
func TestTheEndOfACallsTime(t *testing.T) {
	notSent := result{err: errors.Wrap(upstream.ErrNotSent, "cut")}
	broken := result{err: errors.New("cut"), mayHaveRun: true}
	whole := result{answer: &Answer{Status: http.StatusOK, Replica: "c", endAttempt: func() {}}, mayHaveRun: true}
	cases := map[string]struct {
		open      int
		said      []result
		after     time.Duration
		certainty Certainty // 0 where an answer is passed on
	}{
		"not sent":                     {1, []result{notSent}, 0, NotRun},
		"not sent, said in time":       {1, []result{notSent}, cancelledAttemptTimeout / 2, NotRun},
		"not sent, said late":          {1, []result{notSent}, 2 * cancelledAttemptTimeout, MayHaveRun},
		"sent":                         {1, []result{broken}, 0, MayHaveRun},
		"one of two sent":              {2, []result{notSent, broken}, 0, MayHaveRun},
		"one of two says nothing":      {2, []result{notSent}, 0, MayHaveRun},
		"a whole answer with the end":  {1, []result{whole}, 0, 0},
		"a whole answer beside a hang": {2, []result{whole}, cancelledAttemptTimeout / 2, 0},
		"a whole answer, but late":     {1, []result{whole}, 2 * cancelledAttemptTimeout, MayHaveRun},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a := &attempts{call: &Call{Repeatable: true, MaxAttempts: 3}, cancelByReplica: map[string]context.CancelFunc{}, outcomes: make(chan result, 4), open: one.open}
				silent := one.open - len(one.said)
				say := func() {
					for _, rep := range one.said {
						a.outcomes <- rep
					}
				}
				if one.after == 0 {
					say()
				} else {
					time.AfterFunc(one.after, say)
				}
				time.AfterFunc(4*cancelledAttemptTimeout, func() { // those that say nothing end some time
					for range silent {
						a.outcomes <- broken
					}
				})
				defer time.Sleep(8 * cancelledAttemptTimeout)
				began := time.Now()
				answer, err := a.awaitCancelled()
				is.True(time.Since(began) <= cancelledAttemptTimeout)
				if one.certainty == 0 {
					is.NoErr(err)
					is.Equal(answer.Replica, "c")
					return
				}
				var failure *Failure
				is.True(errors.As(err, &failure))
				is.Equal(failure.Certainty, one.certainty)
			})
		})
	}
}

// silentAddress is an address at which no connection comes up: its queue is full.
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

// A replica whose offers fail is passed over for a while, and that is logged. The end of
// an offer cancels its context, and was taken for the caller's leaving: in 28 logs of
// runs with thousands of failed offers stood not one line of a replica that failed, and
// it stayed the first choice.
func TestAReplicaThatFailsIsPassedOver(t *testing.T) {
	is := is.New(t)
	f := newFloor(t, 1, cuts)
	_, err := f.call(t, once)
	is.True(err != nil)
	seen, listed := f.forwarder.Table.Get("a")
	is.True(listed)
	is.True(seen.AvoidUntil.After(time.Now()))
}

// What the caller cut says nothing of the replica.
func TestACutOfferIsNotHeldAgainstItsReplica(t *testing.T) {
	is := is.New(t)
	f := newFloor(t, 1, hangs)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := f.forwarder.Do(ctx, &Call{Request: Request{RequestID: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"r"}}}, Services: []string{"s"}, MaxAttempts: 1})
	is.True(err != nil)
	seen, _ := f.forwarder.Table.Get("a")
	is.True(seen.AvoidUntil.IsZero())
}

// A daemon that has as many connections to a replica as it may sends the request to another
// one, and says that it has not run if there is none.
func TestAtItsPartOfTheConnectionsACallGoesElsewhere(t *testing.T) {
	for replicas, answered := range map[int]bool{1: false, 2: true} {
		is := is.New(t)
		f := newFloor(t, replicas, hangs, answers)
		f.forwarder.MaxConnections = func(replica.Replica) int { return 1 }
		ctx, cancel := context.WithCancel(t.Context())
		first := make(chan error, 1)
		go func() {
			_, err := f.forwarder.Do(ctx, &Call{Request: Request{RequestID: "r", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}, Services: []string{"s"}, MaxAttempts: 1})
			first <- err
		}()
		for f.offered() == 0 {
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
