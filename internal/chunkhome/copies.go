package chunkhome

import (
	"context"
	"time"

	"woodworks/internal/membership"
	"woodworks/internal/peer"
	"woodworks/internal/rollout"
)

// targets returns the daemons other than this one that should hold a chunk.
func (home *Home) targets(id rollout.ChunkID) []membership.Member {
	self := home.peers.Self().ID
	holders := Holders(id, home.peers.Serving())
	var targets []membership.Member
	for _, holder := range holders[:min(2, len(holders))] {
		if holder.ID != self {
			targets = append(targets, holder)
		}
	}
	return targets
}

// syncCopies brings the other holders up to date.
func (home *Home) syncCopies(ctx context.Context, id rollout.ChunkID) {
	for _, target := range home.targets(id) {
		home.syncCopy(ctx, id, target)
	}
}

func (home *Home) syncCopy(ctx context.Context, id rollout.ChunkID, target membership.Member) {
	home.mutex.Lock()
	one, known := home.chunks[id]
	if !known {
		home.mutex.Unlock()
		return
	}
	edition := one.edition
	state, synced := one.copies[target.ID]
	home.mutex.Unlock()
	if synced && state.edition == edition && time.Since(state.verifiedAt) < verifyInterval {
		return
	}
	if home.push(ctx, id, one, target) {
		home.mutex.Lock()
		one.copies[target.ID] = copyState{edition: edition, verifiedAt: time.Now()}
		home.mutex.Unlock()
	}
}

// push asks what the target has and sends what it lacks. Partials go only to a
// new home, since they are large and change all the time.
func (home *Home) push(ctx context.Context, id rollout.ChunkID, one *held, target membership.Member) bool {
	offered, err := ask[rollout.Held](ctx, home, target, "Offer", OfferRequest{ID: id})
	if err != nil {
		return false
	}
	home.mutex.Lock()
	snapshot := one.chunk.SnapshotFor(offered, !one.active)
	home.mutex.Unlock()
	if !snapshot.IsNews(offered) {
		return true
	}
	reply, err := ask[MergeReply](ctx, home, target, "Merge", snapshot)
	return err == nil && reply.Refusal == ""
}

func ask[Reply any](ctx context.Context, home *Home, target membership.Member, method string, request any) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return peer.Ask[Reply](ctx, home.pool, target.Address, peer.Bulk, RPCName+"."+method, request)
}

// dropIfHandedOver forgets a chunk that others should hold and have whole.
func (home *Home) dropIfHandedOver(id rollout.ChunkID) {
	targets := home.targets(id)
	home.mutex.Lock()
	defer home.mutex.Unlock()
	one, known := home.chunks[id]
	if !known || one.active || len(targets) < 2 || len(one.cancels) > 0 {
		return
	}
	for _, target := range targets {
		if state, synced := one.copies[target.ID]; !synced || state.edition != one.edition {
			return
		}
	}
	home.drop(id, one)
}

// HandOver pushes every chunk to the daemons that should hold it, for a
// planned stop. It returns how many are not yet held by another daemon.
func (home *Home) HandOver(ctx context.Context) int {
	remaining := 0
	for _, id := range home.ids() {
		home.decideRole(id)
		if home.hasTries(id) {
			remaining++
			continue
		}
		home.syncCopies(ctx, id)
		if !home.isHeldElsewhere(id) {
			remaining++
		}
	}
	return remaining
}

func (home *Home) hasTries(id rollout.ChunkID) bool {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	one, known := home.chunks[id]
	return known && len(one.cancels) > 0
}

func (home *Home) isHeldElsewhere(id rollout.ChunkID) bool {
	targets := home.targets(id)
	home.mutex.Lock()
	defer home.mutex.Unlock()
	one, known := home.chunks[id]
	if !known {
		return true
	}
	for _, target := range targets {
		if state, synced := one.copies[target.ID]; synced && state.edition == one.edition {
			return true
		}
	}
	return false
}
