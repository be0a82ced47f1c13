package relay

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
)

const (
	// peersTopic is where daemons announce themselves.
	peersTopic = "woodworks.peers"
	// announceTimeout bounds one try to tell the others of this daemon.
	announceTimeout    = time.Second
	announceRetryDelay = 200 * time.Millisecond
)

// PeersPartition is where daemons announce themselves.
var PeersPartition = journal.Partition{Topic: journal.KeyedTopic(peersTopic)}

// PeersHandler returns the handler of the partition where daemons announce themselves.
func (j *Journal) PeersHandler() journal.KeyedHandler { return j.peers }

// announce tells the others where this daemon's relay is, until that is certain.
func (j *Journal) announce(ctx context.Context) {
	encoded, err := cbor.Marshal(&peer{Address: j.options.Address, Zone: j.options.Zone})
	if err != nil {
		j.logger.Error("relay not announced", zap.Error(err))
		return
	}
	record := journal.EncodeKeyed(j.options.Name, encoded)
	for ctx.Err() == nil {
		err := journal.AppendWithin(ctx, j, announceTimeout, PeersPartition, record)
		if err == nil {
			return
		}
		// It is tried again at once; that the journal does not answer is logged by Run.
		j.logger.Debug("relay not announced yet", zap.Error(err))
		periodic.Pause(ctx, announceRetryDelay)
	}
}
