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

	"woodworks/internal/journal/relay"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/route"
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
	if call.Offered != nil {
		call.Offered("silent one")
	}
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
	if method != methodRun {
		return w.tell(ctx, service, method, asked, answer)
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

// tell makes the calls that are about a request.
func (w ways) tell(ctx context.Context, service *Service, method string, asked, answer any) error {
	done, offers := &Done{}, &Offers{}
	if method == methodCancel {
		_ = service.Cancel(asked.(Cancellation), done) // it returns none
	} else {
		_ = service.Offers(asked.(Inquiry), offers) // it returns none
	}
	if w.zone.fault == unheard {
		<-ctx.Done()
		return ctx.Err()
	}
	switch into := answer.(type) {
	case *Done:
		*into = *done
	case *Offers:
		*into = *offers
	}
	return nil
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
