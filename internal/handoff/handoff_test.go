package handoff

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/forward"
	"woodworks/internal/quarantine"
	"woodworks/internal/relay"
	"woodworks/internal/route"
)

// work is how long a request takes at a replica.
const work = 20 * time.Millisecond

// behaviour is what the replicas before a daemon do with a call.
type behaviour func(ctx context.Context, call *forward.Call) (*forward.Answer, error)

func answers(ctx context.Context, call *forward.Call) (*forward.Answer, error) {
	return answersWith(http.StatusOK, "whole")(ctx, call)
}

func answersWith(status int, body string) behaviour {
	return func(ctx context.Context, call *forward.Call) (*forward.Answer, error) {
		call.Ran(time.Now())
		select {
		case <-time.After(work):
			return &forward.Answer{Status: status, Header: http.Header{"Keep-Alive": {"timeout=1"}}, Body: []byte(body), Replica: "replica", Attempts: 1}, nil
		case <-ctx.Done():
			return nil, &forward.Failure{Certainty: forward.MayHaveRun, Reason: "cut", Attempts: 1}
		}
	}
}

// fails uses all attempts.
func fails(_ context.Context, call *forward.Call) (*forward.Answer, error) {
	for range call.MaxAttempts {
		call.Ran(time.Now())
	}
	return nil, &forward.Failure{Certainty: forward.MayHaveRun, Reason: "failed", Attempts: call.MaxAttempts, Tried: []string{"replica"}}
}

func hangs(ctx context.Context, call *forward.Call) (*forward.Answer, error) {
	call.Ran(time.Now())
	<-ctx.Done()
	return nil, &forward.Failure{Certainty: forward.MayHaveRun, Reason: "cut", Attempts: 1}
}

func noReplica(context.Context, *forward.Call) (*forward.Answer, error) {
	return nil, &forward.Failure{Certainty: forward.NotRun, Reason: "no replica"}
}

// daemon is one with its replicas.
type daemon struct {
	*Handoff
	service *Service
	does    behaviour
	version int64

	mu sync.Mutex
	// calls are those that it sent to replicas, with when the last one ended; runs are
	// the requests counted for tenants.
	calls []forward.Call
	ended time.Time
	runs  int
}

// Do implements Sender.
func (d *daemon) Do(ctx context.Context, call *forward.Call) (*forward.Answer, error) {
	d.mu.Lock()
	d.calls = append(d.calls, forward.Call{RequestID: call.RequestID, Method: call.Method, Target: call.Target, Host: call.Host, Header: call.Header, Body: call.Body,
		Caller: call.Caller, MaxAttempts: call.MaxAttempts, Avoid: call.Avoid})
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.ended = time.Now()
	}()
	return d.does(ctx, call)
}

func (d *daemon) sent() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls)
}

func (d *daemon) counted() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs
}

func (d *daemon) ran(string, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs++
}

func (d *daemon) configuration() *route.Configuration {
	made, err := route.New(route.Declared{Version: d.version, Routes: []route.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: route.Safe,
		MaxAttempts: 3, Timeout: time.Minute, Shares: []route.Share{{Service: "s", Weight: 1}}}}})
	if err != nil {
		panic(err)
	}
	return made
}

// fault is what befalls calls to peers.
type fault int

const (
	sound fault = iota
	silent
	notReached
	unknownCall
	// killed answers nothing more from the middle of a request on.
	killed
	// unheard takes calls, and its answers are lost.
	unheard
)

// zone is some daemons, which reach each other but for the fault.
type zone struct {
	daemons map[string]*daemon
	names   []string
	fault   fault
}

// ways is a daemon's way to the others.
type ways struct {
	zone *zone
	own  string
}

func (w ways) ZonePeers() []string { return others(w.zone.names, w.own) }

func (w ways) Ask(ctx context.Context, peer, method string, asked, answer any) error {
	service := w.zone.daemons[peer].service
	switch w.zone.fault {
	case silent:
		<-ctx.Done()
		return ctx.Err()
	case notReached:
		return relay.ErrNotReached
	case unknownCall:
		return relay.ErrRefused
	}
	if method == methodCancel {
		return service.Cancel(asked.(Cancellation), answer.(*Done))
	}
	done, reply := make(chan struct{}), &Reply{}
	go func() {
		defer close(done)
		_ = service.Run(asked.(Request), reply) // it returns none
	}()
	switch w.zone.fault {
	case killed:
		time.Sleep(work / 2)
		return errors.New("connection reset")
	case unheard:
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-done:
		*answer.(*Reply) = *reply
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newZone returns a zone of two daemons: one that has a request, and the one that handles
// its service.
func newZone(t *testing.T) (z *zone, asker, peer *daemon) {
	z = &zone{daemons: map[string]*daemon{}, names: []string{"a", "b"}}
	for _, name := range z.names {
		d := &daemon{does: answers, version: 7}
		d.Handoff = New(Options{Name: name, Identity: name + "-1", Peers: ways{z, name}, Direct: d, Connected: func(string) bool { return false },
			Configuration: d.configuration, Quarantine: quarantine.New(name, time.Now, zap.NewNop()), Ran: d.ran, Clock: time.Now, Logger: zap.NewNop(),
			Observe: func(string, time.Duration) {}})
		d.service = d.Service(t.Context())
		z.daemons[name] = d
	}
	handler := handlerOf(z.names, "a", "s")
	return z, z.daemons[others(z.names, handler)[0]], z.daemons[handler]
}

// comesSeldom lets the daemon know that callers ask every five seconds, and that replicas
// let connections rest for a second.
func (d *daemon) comesSeldom() {
	now := time.Now()
	d.beliefs.asked("s", now.Add(-5*time.Second))
	d.beliefs.asked("s", now)
	d.beliefs.rests("s", time.Second)
}

// ask sends a request of a tenant at a daemon.
func (d *daemon) ask(ctx context.Context, change func(call *forward.Call)) (*forward.Answer, error) {
	call := &forward.Call{RequestID: "r", Method: http.MethodPost, Target: "/x?y=1", Host: "h", Header: http.Header{"Id": {"r"}}, Body: []byte("asked"),
		Caller: "t", Services: []string{"s"}, Repeatable: true, MaxAttempts: 3, Hedge: true}
	call.Ran = func(sentAt time.Time) { d.ran(call.Caller, sentAt) }
	change(call)
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return d.Handoff.Do(ctx, call)
}

func asItIs(*forward.Call) {}

// longestWait is the longest time of a request and of its cancellation.
const longestWait = 3 * time.Second

// virtually runs a test in virtual time.
func virtually(t *testing.T, test func(is *is.I, z *zone, asker, peer *daemon)) {
	synctest.Test(t, func(t *testing.T) {
		z, asker, peer := newZone(t)
		asker.comesSeldom()
		test(is.New(t), z, asker, peer)
		time.Sleep(longestWait) // calls to peers may be under way
	})
}

// The replica sees the caller's request, whichever daemon sends it, and its run is counted
// once, where it was sent.
func TestAPeerSendsTheCallersRequest(t *testing.T) {
	virtually(t, func(is *is.I, _ *zone, asker, peer *daemon) {
		answer, err := asker.ask(context.Background(), asItIs)
		is.NoErr(err)
		is.Equal(string(answer.Body), "whole")
		is.Equal(answer.Replica, "replica")
		answer.Close()
		is.Equal(asker.sent(), 0)
		is.Equal(len(peer.calls), 1)
		got := peer.calls[0]
		is.Equal([]string{got.RequestID, got.Method, got.Target, got.Host, got.Caller, string(got.Body), got.Header.Get("Id")},
			[]string{"r", http.MethodPost, "/x?y=1", "h", "t", "asked", "r"})
		is.Equal(asker.counted()+peer.counted(), 1)
	})
}

// A request goes direct, once, when the peer doesn't help, whatever keeps it from that. One
// that was silent is left alone: the next request goes direct at once.
func TestARequestGoesRoundAPeer(t *testing.T) {
	for name, c := range map[string]struct {
		before func(z *zone, peer *daemon)
		// most is how long the request may take.
		most time.Duration
		// peerRuns is how often the peer sends it.
		peerRuns int
	}{
		"silent":       {func(z *zone, _ *daemon) { z.fault = silent }, firstPatience + work, 0},
		"not reached":  {func(z *zone, _ *daemon) { z.fault = notReached }, work, 0},
		"no such call": {func(z *zone, _ *daemon) { z.fault = unknownCall }, work, 0},
		"killed":       {func(z *zone, _ *daemon) { z.fault = killed }, work/2 + work, 1},
		"cut off":      {func(z *zone, _ *daemon) { z.fault = unheard }, firstPatience + work, 1},
		"older":        {func(_ *zone, peer *daemon) { peer.version = 6 }, work, 0},
		"stopping":     {func(_ *zone, peer *daemon) { peer.service.Drain(context.Background()) }, work, 0},
		"no replica":   {func(_ *zone, peer *daemon) { peer.does = noReplica }, work, 1},
		"replica's failure": {func(_ *zone, peer *daemon) { peer.does = answersWith(http.StatusInternalServerError, "") },
			2 * work, 1},
		"long answer": {func(_ *zone, peer *daemon) {
			peer.does = answersWith(http.StatusOK, string(make([]byte, maxAnswerBytes+1)))
		}, 2 * work, 1},
	} {
		t.Run(name, func(t *testing.T) {
			virtually(t, func(is *is.I, z *zone, asker, peer *daemon) {
				c.before(z, peer)
				began := time.Now()
				answer, err := asker.ask(context.Background(), asItIs)
				is.NoErr(err)
				is.Equal(string(answer.Body), "whole")
				is.True(time.Since(began) <= c.most)
				is.Equal(asker.sent(), 1)
				is.Equal(peer.sent(), c.peerRuns)
				if name == "no replica" || name == "replica's failure" {
					return // they say nothing of the peer
				}
				began = time.Now()
				_, err = asker.ask(context.Background(), asItIs)
				is.NoErr(err)
				is.Equal(time.Since(began), work)
			})
		})
	}
}

// A peer that is slow, yet there, may still be the first to answer. The run from here is
// then ended.
func TestTheFirstAnswerOfARaceCounts(t *testing.T) {
	virtually(t, func(is *is.I, _ *zone, asker, peer *daemon) {
		peer.does = func(ctx context.Context, call *forward.Call) (*forward.Answer, error) {
			time.Sleep(firstPatience)
			return answers(ctx, call)
		}
		asker.does = hangs
		answer, err := asker.ask(context.Background(), asItIs)
		is.NoErr(err)
		is.Equal(string(answer.Body), "whole")
		synctest.Wait()
		is.Equal(time.Since(asker.ended), time.Duration(0))
	})
}

// The end of the caller's wait, by leaving or by its deadline, ends the replica's work, and
// the caller hears what is certain.
func TestTheEndOfACallerReachesTheReplica(t *testing.T) {
	for name, left := range map[string]time.Duration{"leaves": 60 * time.Millisecond, "deadline": time.Hour} {
		t.Run(name, func(t *testing.T) {
			virtually(t, func(is *is.I, _ *zone, asker, peer *daemon) {
				asker.does, peer.does = hangs, hangs
				ctx, cancel := context.WithTimeout(context.Background(), min(left, 2*time.Second))
				defer cancel()
				began := time.Now()
				_, err := asker.ask(ctx, asItIs)
				var failure *forward.Failure
				is.True(errors.As(err, &failure))
				is.Equal(failure.Certainty, forward.MayHaveRun)
				is.True(time.Since(began) <= min(left, 2*time.Second)+2*lastWord)
				time.Sleep(10 * time.Millisecond)
				is.True(peer.ended.Sub(began) >= min(left, 2*time.Second))
				is.Equal(len(peer.service.running), 0)
			})
		})
	}
}

// A cancellation may come before the request: that doesn't run then.
func TestACancellationThatOvertakesItsRequest(t *testing.T) {
	virtually(t, func(is *is.I, _ *zone, _, peer *daemon) {
		is.NoErr(peer.service.Cancel(Cancellation{ID: "x"}, &Done{}))
		reply := &Reply{}
		is.NoErr(peer.service.Run(Request{ID: "x", Version: 7, Left: time.Second, MaxAttempts: 1, Target: "/", Host: "h"}, reply))
		is.Equal(reply.Outcome, Busy)
		is.Equal(peer.sent(), 0)
	})
}

// What may not run twice, what is long and what is suspected goes direct, as does all where
// the route allows one attempt.
func TestWhatIsNotHandedOn(t *testing.T) {
	for name, change := range map[string]func(asker *daemon, call *forward.Call){
		"not repeatable": func(_ *daemon, call *forward.Call) { call.Repeatable = false },
		"one attempt":    func(_ *daemon, call *forward.Call) { call.MaxAttempts = 1 },
		"long body":      func(_ *daemon, call *forward.Call) { call.Body = make([]byte, maxBodyBytes+1) },
		"suspected":      func(asker *daemon, call *forward.Call) { asker.options.Quarantine.Ended(call.Content(), "x", "s") },
	} {
		t.Run(name, func(t *testing.T) {
			virtually(t, func(is *is.I, _ *zone, asker, peer *daemon) {
				_, err := asker.ask(context.Background(), func(call *forward.Call) { change(asker, call) })
				is.NoErr(err)
				is.Equal(asker.sent(), 1)
				is.Equal(peer.sent(), 0)
			})
		})
	}
}

// A content that replicas have ended under as far as the peer knows is not run there.
func TestAPeerRefusesWhatItSuspects(t *testing.T) {
	virtually(t, func(is *is.I, _ *zone, asker, peer *daemon) {
		_, err := asker.ask(context.Background(), func(call *forward.Call) {
			peer.options.Quarantine.Ended(&quarantine.Content{Caller: call.Caller, Method: call.Method, Host: call.Host, Target: call.Target, Body: call.Body}, "x", "s")
		})
		is.NoErr(err)
		is.Equal(peer.sent(), 0)
		is.Equal(asker.sent(), 1)
	})
}

// Both daemons together keep to the attempts of the route, and a failure says all that may
// have run.
func TestAttemptsOfBothDaemonsAreBounded(t *testing.T) {
	for _, lost := range []fault{sound, killed, unheard} {
		virtually(t, func(is *is.I, z *zone, asker, peer *daemon) {
			z.fault = lost
			asker.does, peer.does = fails, fails
			_, err := asker.ask(context.Background(), asItIs)
			var failure *forward.Failure
			is.True(errors.As(err, &failure))
			is.Equal(failure.Certainty, forward.MayHaveRun)
			is.Equal(failure.Attempts, 3)
			is.Equal(asker.counted(), 1)
			is.Equal(peer.counted(), 2)
		})
	}
}

// "Not run" is said only if it is certain of both daemons.
func TestNotRunIsTrueOfBothDaemons(t *testing.T) {
	for name, c := range map[string]struct {
		does  behaviour
		fault fault
		want  forward.Certainty
	}{
		"neither":  {noReplica, sound, forward.NotRun},
		"the peer": {fails, sound, forward.MayHaveRun},
		"unknown":  {noReplica, killed, forward.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			virtually(t, func(is *is.I, z *zone, asker, peer *daemon) {
				z.fault = c.fault
				asker.does, peer.does = noReplica, c.does
				_, err := asker.ask(context.Background(), asItIs)
				var failure *forward.Failure
				is.True(errors.As(err, &failure))
				is.Equal(failure.Certainty, c.want)
			})
		})
	}
}

// A peer never hands on, also if it would choose another daemon for a request of its own.
func TestAHopIsFollowedByNoOther(t *testing.T) {
	virtually(t, func(is *is.I, _ *zone, asker, peer *daemon) {
		reply := &Reply{}
		is.NoErr(asker.service.Run(Request{ID: "x", Version: 7, Left: time.Second, MaxAttempts: 2, Target: "/", Host: "h"}, reply))
		is.Equal(reply.Outcome, Answered)
		is.Equal(asker.sent(), 1)
		is.Equal(peer.sent(), 0)
	})
}

// A planned stop finishes the requests of peers that it has begun, and takes no more.
func TestAPlannedStopFinishesTheRequestsOfPeers(t *testing.T) {
	virtually(t, func(is *is.I, _ *zone, asker, peer *daemon) {
		drained := make(chan time.Time, 1)
		go func() {
			time.Sleep(work / 2)
			peer.service.Drain(context.Background())
			drained <- time.Now()
		}()
		began := time.Now()
		answer, err := asker.ask(context.Background(), asItIs)
		is.NoErr(err)
		is.Equal(string(answer.Body), "whole")
		is.Equal((<-drained).Sub(began), work)
		is.Equal(asker.sent(), 0)
	})
}
