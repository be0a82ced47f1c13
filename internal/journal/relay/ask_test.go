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

// Echo is a service of a peer.
type Echo struct{}

// Say answers with the text, or refuses an empty one.
func (Echo) Say(text string, answer *string) error {
	if text == "" {
		return errors.New("nothing to say")
	}
	*answer = text
	return nil
}

// newEchoDaemons returns two daemons, and a server of the second that has Echo.
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

// pipeTo returns a connection to a server.
func pipeTo(server *rpc.Server) net.Conn {
	near, far := net.Pipe()
	go server.ServeConn(far)
	return near
}

// One daemon is asked by name; one that can't be reached is left alone for a while, one
// that refuses is not.
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

// restartablePeer is a peer whose process ends and starts again at the same address.
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

// restart ends the connections, as the end of a process does.
func (r *restartablePeer) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		_ = conn.Close() // nobody reads what it says
	}
	r.conns = nil
}

// A peer that had been restarted as planned was there again, yet the first call to it met
// the connection to the run before, counted as not reached, and the peer was left alone
// for 3 s. In a restart of all daemons in turn each of them did so with each other one,
// and questions about batches went to the journal, two at a time. A call that was not
// sent as its connection had ended is sent on a new one.
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

// Two calls were under way when their connection broke. The first one to notice gave it
// up and made another; the second one then gave up that one, with the calls on it. A call
// gives up the connection that it was made on.
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

// eofConn is a connection whose reads end with io.EOF also where this side closes it, as
// they do where the other side does so at the same moment.
type eofConn struct{ net.Conn }

func (e eofConn) Read(into []byte) (int, error) {
	n, err := e.Conn.Read(into)
	if err != nil {
		err = io.EOF
	}
	return n, err
}

// A daemon that ended gave up its connection to a peer at the moment at which the peer
// closed it as well. net/rpc then tells the calls under way the same as one that was never
// sent: an append that a peer was making counted as not made, which callers hear as a
// promise that their batch will not run. A call that was sent is of unknown outcome.
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
			go func() { _, _ = io.Copy(io.Discard, far) }() // it takes the call and says nothing
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
		is.Equal(dials, 1) // and it is not sent again
	})
}

// A caller gave a call up while a connection to a peer was being made. Each peer that was due then
// counted as not reached and was left alone for 3 s, although nothing was known against it.
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
