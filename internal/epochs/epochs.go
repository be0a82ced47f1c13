// Package epochs proposes placement epochs: the agreed sets of daemons from
// which the groups of write-once records are drawn.
//
// Every daemon runs a Coordinator; the one that ranks first among the serving
// members proposes. Two that both believe so race on the log, where the first
// record wins and the other changes nothing.
package epochs

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sort"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/catalog"
	"woodworks/internal/membership"
	"woodworks/internal/peer"
	"woodworks/internal/periodic"
	"woodworks/internal/placement"
	"woodworks/internal/records"
	"woodworks/internal/rendezvous"
)

const (
	checkInterval = 500 * time.Millisecond
	// stableFor is how long a wish for another epoch must stand unchanged
	// before it is proposed, so that a restart of many daemons costs few epochs.
	stableFor   = 2 * time.Second
	callTimeout = time.Second
	// settleLimit bounds the wait for the records of one epoch to be served
	// before the next is proposed. Shards that are late then catch up in order.
	settleLimit = 15 * time.Second
	// smallestEpoch is the number of members below which dead ones are kept:
	// dropping them would not make a majority easier to reach.
	smallestEpoch = 3
)

// Peers is what this package needs of the membership.
type Peers interface {
	Self() membership.Member
	Members() []membership.Member
	Serving() []membership.Member
	ProvedGone(id, address string) bool
}

// Catalog is what this package needs of the configuration.
type Catalog interface {
	State() catalog.State
	ReadLog(ctx context.Context, wait time.Duration) error
	Accept(ctx context.Context, offset uint64, gone func(id, address string) bool) error
}

// Log appends records.
type Log interface {
	Append(ctx context.Context, id string, kind catalog.Kind, payload any) (uint64, error)
}

// Coordinator watches the membership and proposes epochs.
type Coordinator struct {
	peers   Peers
	catalog Catalog
	log     Log
	pool    *peer.Pool
	logger  *zap.Logger

	wish      []catalog.PlacementMember
	wishSince time.Time
	// present is the epoch last seen, presentSince when it first was.
	present      uint64
	presentSince time.Time
}

// New returns a coordinator.
func New(peers Peers, catalog Catalog, log Log, pool *peer.Pool, logger *zap.Logger) *Coordinator {
	return &Coordinator{peers: peers, catalog: catalog, log: log, pool: pool, logger: logger}
}

// Run proposes epochs until the context ends.
func (coordinator *Coordinator) Run(ctx context.Context) {
	periodic.Every(ctx, checkInterval, coordinator.check)
}

func (coordinator *Coordinator) check(ctx context.Context) {
	if !coordinator.ranksFirst() {
		coordinator.wish = nil
		return
	}
	state := coordinator.catalog.State()
	if state.Placement.Number != coordinator.present {
		coordinator.present = state.Placement.Number
		coordinator.presentSince = time.Now()
	}
	wish := Wish(state.Placement, coordinator.peers.Members())
	if SameMembers(wish, state.Placement.Members) {
		coordinator.wish = nil
		return
	}
	now := time.Now()
	if !SameMembers(wish, coordinator.wish) {
		coordinator.wish = wish
		coordinator.wishSince = now
	}
	if now.Sub(coordinator.wishSince) < stableFor {
		return
	}
	coordinator.propose(ctx, state, wish)
}

func (coordinator *Coordinator) ranksFirst() bool {
	var ids []string
	for _, member := range coordinator.peers.Serving() {
		ids = append(ids, string(member.ID))
	}
	return rendezvous.Top("coordinator", ids) == string(coordinator.peers.Self().ID)
}

// Wish returns the members that the next epoch should have: every serving
// daemon, and of the present epoch's those that are down but not proved gone
// where fewer than three would remain.
func Wish(present catalog.Epoch, members []membership.Member) []catalog.PlacementMember {
	var wish []catalog.PlacementMember
	byID := map[string]membership.Member{}
	for _, member := range members {
		byID[string(member.ID)] = member
		if member.Serving() {
			wish = append(wish, catalog.PlacementMember{ID: string(member.ID), Address: member.Address, Zone: member.Zone})
		}
	}
	for _, kept := range present.Members {
		member, known := byID[kept.ID]
		down := known && !member.Serving() && !member.Gone
		if down && len(wish) < smallestEpoch {
			wish = append(wish, kept)
		}
	}
	sort.Slice(wish, func(i, j int) bool { return wish[i].ID < wish[j].ID })
	return wish
}

// SameMembers reports whether two sets, both sorted by ID, are equal.
func SameMembers(left, right []catalog.PlacementMember) bool {
	if len(left) != len(right) {
		return false
	}
	for i := range left {
		if left[i] != right[i] {
			return false
		}
	}
	return true
}

// propose appends the next epoch, once the present one is in force with a
// majority of the witnesses and its records have been carried over. The answer
// of the append does not matter: the next check sees what the log holds.
func (coordinator *Coordinator) propose(ctx context.Context, state catalog.State, wish []catalog.PlacementMember) {
	if state.Placement.Number > 0 {
		if err := coordinator.catalog.Accept(ctx, state.Placement.Offset, coordinator.peers.ProvedGone); err != nil {
			return
		}
		if !coordinator.settled(ctx, state.Placement) && time.Since(coordinator.presentSince) < settleLimit {
			return
		}
	}
	change := catalog.PlacementChange{Epoch: state.Placement.Number + 1, Members: wish}
	_, err := coordinator.log.Append(ctx, newID(), catalog.KindPlacement, change)
	coordinator.logger.Info("placement epoch proposed", zap.Uint64("epoch", change.Epoch),
		zap.Int("members", len(wish)), zap.Bool("answered", err == nil))
	_ = coordinator.catalog.ReadLog(ctx, 0)
}

// settled reports whether each shard is served in the epoch by a majority of
// its group, or cannot be because too many of the group are gone.
func (coordinator *Coordinator) settled(ctx context.Context, epoch catalog.Epoch) bool {
	ready := coordinator.readyMembers(ctx, epoch)
	for shard := range placement.ShardCount {
		group := placement.Group(epoch, shard)
		serving := 0
		gone := 0
		for _, member := range group {
			if ready[member.ID][shard] {
				serving++
			} else if coordinator.peers.ProvedGone(member.ID, member.Address) {
				gone++
			}
		}
		majority := placement.Majority(len(group))
		if serving < majority && len(group)-gone >= majority {
			return false
		}
	}
	return true
}

// readyMembers asks the members of an epoch which shards they serve in it.
func (coordinator *Coordinator) readyMembers(ctx context.Context, epoch catalog.Epoch) map[string]map[int]bool {
	type answer struct {
		id     string
		shards []int
	}
	answers := make(chan answer, len(epoch.Members))
	for _, member := range epoch.Members {
		go func() {
			callContext, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			reply, err := peer.Ask[records.ReadyReply](callContext, coordinator.pool, member.Address, peer.Control, records.RPCName+".Ready", records.ReadyRequest{To: member.ID})
			if err != nil || reply.Refusal != "" || reply.Epoch != epoch.Number {
				answers <- answer{id: member.ID}
				return
			}
			answers <- answer{id: member.ID, shards: reply.Shards}
		}()
	}
	ready := map[string]map[int]bool{}
	for range epoch.Members {
		received := <-answers
		ready[received.id] = map[int]bool{}
		for _, shard := range received.shards {
			ready[received.id][shard] = true
		}
	}
	return ready
}

// newID returns a unique record id.
func newID() string {
	var random [12]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// SafeWithout reports whether each shard's records are served by a majority
// of its group that does not need the given member, so that it may stop.
func (coordinator *Coordinator) SafeWithout(ctx context.Context, id string) bool {
	epoch := coordinator.catalog.State().Placement
	ready := coordinator.readyMembers(ctx, epoch)
	for shard := range placement.ShardCount {
		group := placement.Group(epoch, shard)
		serving := 0
		for _, member := range group {
			if member.ID != id && ready[member.ID][shard] {
				serving++
			}
		}
		if serving < placement.Majority(len(group)) {
			return false
		}
	}
	return true
}
