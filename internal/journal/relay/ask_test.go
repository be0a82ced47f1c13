package relay

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/journal"
)

// Echo is a receiver that a peer registers.
type Echo struct{}

// Say answers with the text, or with an error if the text is empty.
func (Echo) Say(text string, answer *string) error {
	if text == "" {
		return errors.New("empty text")
	}
	*answer = text
	return nil
}

// newEchoDaemons returns two daemons and the RPC server of the second, on which Echo is
// registered.
func newEchoDaemons(ctx context.Context, t *testing.T) (*daemons, *rpc.Server) {
	t.Helper()
	d := newDaemons(ctx, t, 2)
	d.relays[1].Register("Echo", Echo{})
	server, err := d.relays[1].server(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return d, server
}

// pipeTo returns a connection to the server.
func pipeTo(server *rpc.Server) net.Conn {
	near, far := net.Pipe()
	go server.ServeConn(far)
	return near
}

// A peer that cannot be reached is suspended. A peer that refuses a call is not.
func TestAskSuspendsOnlyUnreachablePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d, server := newEchoDaemons(ctx, t)
		dials, reachable := 0, true
		d.relays[0].peers.dial = func(context.Context, string) (net.Conn, error) {
			dials++
			if !reachable {
				return nil, errors.New("unreachable")
			}
			return pipeTo(server), nil
		}
		answer := ""
		is.NoErr(d.relays[0].Ask(ctx, "b", "Echo.Say", "hello", &answer))
		is.Equal(answer, "hello")
		is.True(errors.Is(d.relays[0].Ask(ctx, "b", "Echo.Say", "", &answer), ErrRefused))
		is.NoErr(d.relays[0].Ask(ctx, "b", "Echo.Say", "again", &answer))
		is.Equal(dials, 1)
		is.True(errors.Is(d.relays[0].Ask(ctx, "nobody", "Echo.Say", "x", &answer), ErrNotReached))
		reachable = false
		d.relays[0].peers.get("b").disconnect()
		is.True(errors.Is(d.relays[0].Ask(ctx, "b", "Echo.Say", "x", &answer), ErrNotReached))
		reachable = true
		is.True(errors.Is(d.relays[0].Ask(ctx, "b", "Echo.Say", "x", &answer), ErrNotReached))
		is.Equal(dials, 2)
		time.Sleep(unreachableRetryDelay)
		is.NoErr(d.relays[0].Ask(ctx, "b", "Echo.Say", "back", &answer))
	})
}

// restartablePeer is a peer whose process can restart at the same address.
type restartablePeer struct {
	server *rpc.Server
	mu     sync.Mutex
	conns  []net.Conn
	dials  int
}

func (r *restartablePeer) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns, r.dials = append(r.conns, far), r.dials+1
	go r.server.ServeConn(far)
	return near, nil
}

// restart closes all connections, as the end of a process does.
func (r *restartablePeer) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		_ = conn.Close() // the error does not matter
	}
	r.conns = nil
}

// A call that fails because the connection ended with the peer's previous process is sent on a
// new connection. Otherwise, a rolling restart would suspend every peer.
func TestAskReconnectsToARestartedPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d, server := newEchoDaemons(ctx, t)
		peer := &restartablePeer{server: server}
		d.relays[0].peers.dial = peer.dial
		answer := ""
		is.NoErr(d.relays[0].Ask(ctx, "b", "Echo.Say", "hello", &answer))
		peer.restart()
		synctest.Wait()
		is.NoErr(d.relays[0].Ask(ctx, "b", "Echo.Say", "again", &answer))
		is.Equal(answer, "again")
		is.Equal(peer.dials, 2)
	})
}

// When several calls fail on one connection, the later ones must not close the connection that
// replaced it.
func TestDiscardKeepsANewerConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := rpc.NewServer()
		is.NoErr(server.RegisterName("Echo", Echo{}))
		remote := &restartablePeer{server: server}
		asked := &peer{Address: "b"}
		before, err := asked.connect(t.Context(), remote.dial)
		is.NoErr(err)
		asked.discard(before)
		later, err := asked.connect(t.Context(), remote.dial)
		is.NoErr(err)
		asked.discard(before)
		again, err := asked.connect(t.Context(), remote.dial)
		is.NoErr(err)
		is.True(again == later)
		asked.discard(later)
	})
}

// eofConn is a connection whose reads end with io.EOF also if this side closes it, as happens if
// both sides close at the same time.
type eofConn struct{ net.Conn }

func (e eofConn) Read(into []byte) (int, error) {
	n, err := e.Conn.Read(into)
	if err != nil {
		err = io.EOF
	}
	return n, err
}

// Closing a connection while the peer closes it makes net/rpc fail sent calls like unsent ones.
// An append that a peer may have made must not be reported as not made.
func TestASentCallNeverFailsWithErrNotReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		asked, dials := &peer{Address: "b"}, 0
		defer asked.disconnect()
		dial := func(context.Context, string) (net.Conn, error) {
			dials++
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }() // accepts the call, never answers
			return eofConn{near}, nil
		}
		failed := make(chan error, 1)
		answer := ""
		go func() { failed <- asked.ask(ctx, dial, "Echo.Say", "x", &answer) }()
		synctest.Wait()
		asked.disconnect()
		err := <-failed
		is.True(err != nil)
		is.True(!errors.Is(err, ErrNotReached))
		is.Equal(dials, 1) // the call is not repeated
	})
}

// A caller that cancels its call while a connection is being opened must not cause the peers to
// be suspended.
func TestACancelledCallDoesNotSuspendPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPeers(Options{Name: "a"}, zap.NewNop())
		p.byName["b"], p.byName["c"] = &peer{Address: "b"}, &peer{Address: "c"}
		p.dial = func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := p.relay(ctx, operation{Owners: &ownersCall{Group: "g"}})
		is.True(p.getAvailable("b") != nil)
		is.True(p.getAvailable("c") != nil)
		is.True(errors.Is(err, journal.ErrUnknown))
	})
}
