package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/periodic"
)

// introducerName is the net/rpc service by which daemons introduce themselves to each other;
// introduceMethod is its method. Neither may change.
const (
	introducerName  = "Peers"
	introduceMethod = introducerName + ".Introduce"
)

// introduceInterval is the time between two introductions while the own path is lost.
const introduceInterval = 500 * time.Millisecond

// Introduction is the argument of Peers.Introduce: what the daemon announces in PeersPartition. Its
// encoding contains the names of the fields, so these must not change.
type Introduction struct{ Name, Address, Zone string }

// Introducer is the net/rpc service that receives introductions.
type Introducer struct{ peers *peers }

// Introduce adds a daemon to the known peers. known is set if it was known with this address. As
// Introduce is a net/rpc method, its name must not change.
func (i *Introducer) Introduce(other Introduction, known *bool) error {
	if other.Name == "" || other.Address == "" {
		return errors.New("relay: introduction without a name or an address")
	}
	added := i.peers.add(other.Name, &peer{Address: other.Address, Zone: other.Zone})
	if added {
		i.peers.logger.Info("peer introduced itself", zap.String("peer", other.Name), zap.String("address", other.Address))
	}
	*known = !added
	return nil
}

// introduce makes this daemon known to its neighbours while its own path is lost, until the context
// ends. A daemon that lost the journal before it read that another one has started would otherwise
// not know that one, and could tell nobody what it must not keep to itself.
func (j *Journal) introduce(ctx context.Context) {
	periodic.Every(ctx, introduceInterval, func(ctx context.Context) {
		if !j.PathLost() {
			return
		}
		for _, name := range j.Neighbours() {
			go j.introduceTo(ctx, name)
		}
	})
}

// introduceTo makes this daemon known to a peer. The next round repeats a failed call, and tells a
// peer that has restarted.
func (j *Journal) introduceTo(ctx context.Context, name string) {
	bounded, cancel := context.WithTimeout(ctx, introduceInterval)
	defer cancel()
	known := false
	own := Introduction{Name: j.options.Name, Address: j.options.Address, Zone: j.options.Zone}
	if err := j.Ask(bounded, name, introduceMethod, own, &known); err != nil {
		// Debug level, because peers of an earlier version refuse each call.
		j.logger.Debug("introduction failed", zap.String("peer", name), zap.Error(err))
	}
}
