package handoff

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/journal/relay"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/quarantine"
)

// freeAddress returns an address of this machine that nobody listens at.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // it was only opened for its port
	return listener.Addr().String()
}

// newLoopback returns two daemons whose relays reach each other over loopback.
func newLoopback(t *testing.T) (asker, peer *daemon, told <-chan string) {
	t.Helper()
	store, made, outcomes := journaltest.New(), map[string]*daemon{}, make(chan string, 10)
	for _, name := range []string{"a", "b"} {
		relayed := relay.New(store, relay.Options{Name: name, Zone: "z", Address: freeAddress(t)}, zap.NewNop())
		d := &daemon{does: answers, version: 7}
		d.Handoff = New(Options{Name: name, Identity: name + "-1", Peers: relayed, Direct: d, Connected: func(string) bool { return false },
			Configuration: d.configuration, Quarantine: quarantine.New(name, time.Now, zap.NewNop()), Ran: d.ran, Clock: time.Now, Logger: zap.NewNop(),
			Observe: func(outcome string, _ time.Duration) { outcomes <- outcome }})
		d.service = d.Service(t.Context())
		relayed.Register(ServiceName, d.service)
		if err := relayed.Serve(t.Context()); err != nil {
			t.Fatal(err)
		}
		go relayed.Run(t.Context())
		go journal.NewKeyedFollower(relayed, relay.Partition(relayed), relayed.Peers(), 3*time.Second, zap.NewNop()).Run(t.Context())
		made[name] = d
		for len(relayed.ZonePeers()) == 0 && name == "b" {
			time.Sleep(time.Millisecond)
		}
	}
	for len(made["a"].options.Peers.ZonePeers()) == 0 {
		time.Sleep(time.Millisecond)
	}
	handler := handlerOf([]string{"a", "b"}, "a", "s")
	return made[others([]string{"a", "b"}, handler)[0]], made[handler], outcomes
}

// A request, its answer, and its end go over net/rpc as they are.
func TestRequestsGoOverTheRelay(t *testing.T) {
	is := is.New(t)
	asker, peer, told := newLoopback(t)
	asker.comesSeldom()
	ended := make(chan forward.Call, 1)
	peer.does = func(ctx context.Context, call *forward.Call) (*forward.Answer, error) {
		select {
		case <-ctx.Done():
			ended <- forward.Call{Target: call.Target, Body: call.Body, Header: call.Header}
			return nil, &forward.Failure{Certainty: forward.MayHaveRun, Reason: "cut", Attempts: 1}
		case <-time.After(time.Minute):
			return nil, errors.New("not ended")
		}
	}
	asker.does = hangs
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for peer.sent() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel() // the caller leaves
	}()
	_, err := asker.ask(ctx, asItIs)
	is.True(err != nil)
	got := <-ended
	is.Equal([]string{got.Target, string(got.Body), got.Header.Get("Id")}, []string{"/x?y=1", "asked", "r"})
	<-told
	peer.does = answers
	for asker.beliefs.away(time.Now())(peer.options.Name) {
		time.Sleep(time.Millisecond)
	}
	answer, err := asker.ask(t.Context(), asItIs)
	is.NoErr(err)
	is.Equal(string(answer.Body), "whole")
}
