package gossip_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/announce"
	"woodworks/internal/gossip"
	"woodworks/internal/membership"
	"woodworks/internal/peer"
)

// lockedCatalog stands for a catalog that asks the membership from under its
// own lock.
type lockedCatalog struct {
	t       *testing.T
	service *gossip.Service
}

func (catalog *lockedCatalog) Offset() uint64 {
	answered := make(chan struct{})
	go func() {
		catalog.service.Self()
		close(answered)
	}()
	select {
	case <-answered:
	case <-time.After(5 * time.Second):
		catalog.t.Error("the catalog was asked with the membership's lock held")
	}
	return 7
}

func (catalog *lockedCatalog) Behind(string, uint64) {}

func newService(t *testing.T, name string) *gossip.Service {
	t.Helper()
	catalog := &lockedCatalog{t: t}
	self := membership.Member{ID: membership.NewNodeID(name, 1), Name: name, Address: name, Generation: 1}
	catalog.service = gossip.New(self, announce.NewBoard(100), peer.NewPool("", nil), catalog, nil, zap.NewNop())
	return catalog.service
}

func TestCatalogIsAskedOutsideTheLock(t *testing.T) {
	is := is.New(t)
	service := newService(t, "a")
	other := membership.Member{ID: "b#1", Name: "b", Address: "b", Generation: 1}
	reply := gossip.Exchange{}
	is.NoErr(service.Handler().Exchange(gossip.Exchange{From: other, CatalogOffset: 9}, &reply))
	is.Equal(reply.CatalogOffset, uint64(7))
	is.Equal(len(service.Serving()), 2)
}

func TestRunIsProvedGoneByItsSuccessor(t *testing.T) {
	is := is.New(t)
	service := newService(t, "a")
	old := membership.Member{ID: "b#1", Name: "b", Address: "b", Generation: 1}
	next := membership.Member{ID: "b#2", Name: "b", Address: "b", Generation: 2}
	reply := gossip.Exchange{}
	is.NoErr(service.Handler().Exchange(gossip.Exchange{From: old}, &reply))
	is.True(!service.ProvedGone("b#1", "b"))
	is.NoErr(service.Handler().Exchange(gossip.Exchange{From: next}, &reply))
	is.True(service.ProvedGone("b#1", "b"))
	is.True(!service.ProvedGone("b#2", "b"))
	is.True(service.ProvedGone("b#0", "b")) // never heard of, but another run answers there
	is.True(!service.ProvedGone("c#1", "c"))
}

// An order that no partner heard is said not to have spread.
func TestAnnouncementThatNoOneHearsIsSaidSo(t *testing.T) {
	is := is.New(t)
	service := newService(t, "a")
	order := announce.Announcement{Key: announce.Key{Kind: announce.Drain, Subject: "m"}, Version: 1}
	is.NoErr(service.AnnounceWidely(context.Background(), order)) // there is no one else
	reply := gossip.Exchange{}
	unreachable := membership.Member{ID: "b#1", Name: "b", Address: "127.0.0.1:1", Generation: 1}
	is.NoErr(service.Handler().Exchange(gossip.Exchange{From: unreachable}, &reply))
	is.True(errors.Is(service.AnnounceWidely(context.Background(), order), gossip.ErrNotHeard))
}
