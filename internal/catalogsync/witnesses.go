package catalogsync

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/catalog"
	"woodworks/internal/peer"
	"woodworks/internal/placement"
)

// confirmWithWitnesses asks the witness group for its newest offset.
func (syncer *Syncer) confirmWithWitnesses(ctx context.Context) {
	witnesses := placement.Witnesses(syncer.State().Placement)
	if len(witnesses) == 0 {
		return
	}
	askedAt := time.Now()
	offsets := make(chan uint64, len(witnesses))
	for _, witness := range witnesses {
		go func() {
			offset, err := syncer.offsetOf(ctx, witness)
			if err != nil {
				offset = 0
			}
			offsets <- offset
		}()
	}
	answered := 0
	newest := uint64(0)
	for range witnesses {
		offset := <-offsets
		if offset > 0 {
			answered++
			newest = max(newest, offset)
		}
	}
	if answered >= placement.Majority(len(witnesses)) {
		syncer.confirm(askedAt, newest)
	}
}

// offsetOf syncs with a witness and returns its offset. Only the very run of
// the daemon that is in the epoch counts: a later run at the same address has
// forgotten what the earlier one held.
func (syncer *Syncer) offsetOf(ctx context.Context, witness catalog.PlacementMember) (uint64, error) {
	if witness.ID == string(syncer.peers.Self().ID) {
		return syncer.Offset(), nil
	}
	reply, err := syncer.syncWith(ctx, witness.Address)
	if err != nil {
		return 0, err
	}
	if reply.From != witness.ID {
		return 0, errors.Wrapf(peer.ErrRemote, "%s answered for %s", reply.From, witness.ID)
	}
	return reply.Offset, nil
}

// HoldRequest asks a witness to fetch what the caller holds.
type HoldRequest struct {
	Address string
	Offset  uint64
}

// HoldReply says what the witness then holds.
type HoldReply struct {
	From   string
	Offset uint64
}

// Accept returns nil once a majority of the witnesses of the epochs in force
// and before hold the offset. A change may be called accepted only then.
func (syncer *Syncer) Accept(ctx context.Context, offset uint64, gone func(id, address string) bool) error {
	state := syncer.State()
	for _, epoch := range []catalog.Epoch{state.Previous, state.Placement} {
		witnesses := placement.Witnesses(epoch)
		if len(witnesses) == 0 {
			continue
		}
		holding := syncer.countHolding(ctx, witnesses, offset, gone)
		if holding < placement.Majority(len(witnesses)) {
			return errors.Wrapf(ErrNotHeld, "%d of %d witnesses of epoch %d", holding, len(witnesses), epoch.Number)
		}
	}
	return nil
}

// ErrNotHeld means that too few witnesses hold a change yet.
var ErrNotHeld = errors.New("catalog: change is not held by a majority of the witnesses")

// countHolding counts the witnesses that hold an offset. One whose run is over
// can confirm nothing to anyone any more and counts as holding.
func (syncer *Syncer) countHolding(ctx context.Context, witnesses []catalog.PlacementMember, offset uint64, gone func(id, address string) bool) int {
	holds := make(chan bool, len(witnesses))
	for _, witness := range witnesses {
		go func() {
			holds <- gone(witness.ID, witness.Address) || syncer.askToHold(ctx, witness, offset)
		}()
	}
	holding := 0
	for range witnesses {
		if <-holds {
			holding++
		}
	}
	return holding
}

func (syncer *Syncer) askToHold(ctx context.Context, witness catalog.PlacementMember, offset uint64) bool {
	self := syncer.peers.Self()
	if witness.ID == string(self.ID) {
		return syncer.Offset() >= offset
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	request := HoldRequest{Address: self.Address, Offset: offset}
	reply, err := peer.Ask[HoldReply](ctx, syncer.pool, witness.Address, peer.Control, RPCName+".Hold", request)
	return err == nil && reply.From == witness.ID && reply.Offset >= offset
}
