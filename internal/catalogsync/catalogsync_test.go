package catalogsync_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/catalog"
	"woodworks/internal/catalogsync"
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
