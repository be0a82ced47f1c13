package catalogsync_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/zeromicro/go-zero/rest/router"
	"go.uber.org/zap"

	"woodworks/internal/catalog"
	"woodworks/internal/catalogsync"
	"woodworks/internal/lab/logstand"
	"woodworks/internal/membership"
	"woodworks/internal/peer"
	"woodworks/internal/platform/logservice"
)

// lockedPeers stands for a membership that asks the syncer from under its own
// lock: whoever calls it with the syncer's lock held never gets an answer.
type lockedPeers struct {
	t      *testing.T
	syncer *catalogsync.Syncer
}

func (peers *lockedPeers) Self() membership.Member {
	answered := make(chan struct{})
	go func() {
		peers.syncer.Offset()
		close(answered)
	}()
	select {
	case <-answered:
	case <-time.After(5 * time.Second):
		peers.t.Error("the membership was asked with the syncer's lock held")
	}
	return membership.Member{ID: "self#1"}
}

func (peers *lockedPeers) Serving() []membership.Member { return []membership.Member{peers.Self()} }
func (peers *lockedPeers) Spread()                      {}

func TestPeersAreAskedOutsideTheLock(t *testing.T) {
	is := is.New(t)
	syncer := catalogsync.New(logservice.New("http://127.0.0.1:1", ""), peer.NewPool("", nil), zap.NewNop())
	syncer.Attach(&lockedPeers{t: t, syncer: syncer})
	reply := catalogsync.SyncReply{}
	is.NoErr(syncer.Handler().Sync(catalogsync.SyncRequest{}, &reply))
	is.Equal(reply.From, "self#1")
	held := catalogsync.HoldReply{}
	is.NoErr(syncer.Handler().Hold(catalogsync.HoldRequest{}, &held))
	is.Equal(held.Offset, catalog.Empty().Offset)
}

// A daemon that reaches only the log hears of operators' orders.
func TestOrdersAreReadFromTheLog(t *testing.T) {
	is := is.New(t)
	routing := router.NewRouter()
	for _, route := range logstand.New(1).Routes() {
		is.NoErr(routing.Handle(route.Method, route.Path, route.Handler))
	}
	server := httptest.NewServer(routing)
	defer server.Close()
	log := logservice.New(server.URL, "")
	order := catalog.OrderChange{Machine: "desk-1", Version: 3}
	_, err := log.Append(context.Background(), "x", catalog.KindOrder, order)
	is.NoErr(err)
	syncer := catalogsync.New(log, peer.NewPool("", nil), zap.NewNop())
	syncer.Attach(&lockedPeers{t: t, syncer: syncer})
	var heard []catalog.OrderChange
	syncer.OnOrder(func(order catalog.OrderChange) {
		syncer.Offset() // called without the lock
		heard = append(heard, order)
	})
	is.NoErr(syncer.ReadLog(context.Background(), 0))
	is.Equal(heard, []catalog.OrderChange{order})
	is.Equal(syncer.Offset(), uint64(1))
}
