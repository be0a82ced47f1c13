package relay

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/journal/journaltest"
)

// Guards against a daemon that can tell nobody what it knows: the store refused it before it read
// that the others have started. They know it, and introduce themselves.
func TestADaemonLearnsOfPeersWithoutTheJournal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store, network := journaltest.New(), pipeNetwork{}
		var relays []*Journal
		for _, name := range []string{"a", "b", "c"} {
			ownPath := &faultyJournal{Journal: store}
			ownPath.fault.Store(faultRefused)
			relayed := New(ownPath, Options{Name: name, Zone: "z", Address: name}, zap.NewNop())
			relayed.Register("Echo", Echo{})
			network.add(ctx, t, relayed, func(conn net.Conn) net.Conn { return conn })
			relays = append(relays, relayed)
			go relayed.Run(ctx)
		}
		relays[1].peers.add("a", &peer{Address: "a", Zone: "z"})
		relays[2].peers.add("a", &peer{Address: "old", Zone: "z"})
		network["old"] = func(conn net.Conn) { _ = conn.Close() }
		for _, relayed := range relays {
			go waitForLoss(ctx, relayed)
		}
		time.Sleep(3 * time.Second)
		answer := ""
		is.Equal(relays[0].Neighbours(), []string{"b"})
		is.NoErr(relays[0].Ask(ctx, "b", "Echo.Say", "hello", &answer))
		relays[0].peers.add("c", &peer{Address: "c", Zone: "z"})
		time.Sleep(time.Second)
		is.Equal(relays[2].peers.get("a").Address, "a") // a introduces itself with its present address
	})
}

// An introduction must not add the daemon itself, nor a peer without an address, nor replace the
// connection to a known peer.
func TestIntroductionsAreChecked(t *testing.T) {
	is := is.New(t)
	p := newPeersOf(nil)
	introducer, known, before := &Introducer{peers: p}, false, p.get("b")
	is.True(introducer.Introduce(Introduction{Name: "x"}, &known) != nil)
	is.True(introducer.Introduce(Introduction{Address: "x"}, &known) != nil)
	is.NoErr(introducer.Introduce(Introduction{Name: "a", Address: "a"}, &known))
	is.NoErr(introducer.Introduce(Introduction{Name: "b", Address: "b"}, &known))
	is.True(known)
	is.True(p.get("b") == before)
	is.Equal(p.count(), 2)
	p.close()
	is.NoErr(introducer.Introduce(Introduction{Name: "late", Address: "late"}, &known))
	is.Equal(p.count(), 2)
}
