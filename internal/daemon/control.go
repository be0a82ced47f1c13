package daemon

import (
	"context"

	"woodworks/internal/announce"
)

// ControlView is what a scale run asks of one daemon.
type ControlView struct {
	ID      string `json:"id"`
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Offset  uint64 `json:"offset"`
	Epoch   uint64 `json:"epoch"`
	Members int    `json:"epoch_members"`
	Serving int    `json:"serving"`
	Owned   int    `json:"owned"`
	// Newest is the newest weight version announced for the trainer asked about.
	Newest uint64 `json:"newest"`
}

// Control returns the daemon's control state, with the newest version of a trainer.
func (daemon *Daemon) Control(trainer string) ControlView {
	self := daemon.gossip.Self()
	state := daemon.syncer.State()
	newest, _ := daemon.board.TrainerVersionOf(trainer)
	return ControlView{
		ID: string(self.ID), Name: self.Name, Zone: self.Zone, Offset: state.Offset, Epoch: state.Placement.Number,
		Members: len(state.Placement.Members), Serving: len(daemon.gossip.Serving()), Owned: len(daemon.fleet.Owned()), Newest: newest,
	}
}

// Announce tells all daemons of a trainer's weight version.
func (daemon *Daemon) Announce(trainer string, version uint64, artifact string) {
	daemon.gossip.Announce(announce.Announcement{
		Key: announce.Key{Kind: announce.TrainerVersion, Subject: trainer}, Version: version, Detail: artifact,
	})
}

// Publish publishes a policy document through this daemon.
func (daemon *Daemon) Publish(ctx context.Context, name, source string) error {
	_, err := daemon.operator.Publish(ctx, name, "scale", source, nil)
	return err
}

// Leave tells all daemons that this one takes no new work.
func (daemon *Daemon) Leave() { daemon.gossip.Leave() }

// Traffic returns the bytes that this daemon received from and sent to peers.
func (daemon *Daemon) Traffic() (received, sent uint64) {
	return daemon.meter.Received.Load(), daemon.meter.Sent.Load()
}
