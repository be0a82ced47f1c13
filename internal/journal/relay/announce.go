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
	// peersTopic is the keyed topic in which daemons publish the addresses of their relays.
	peersTopic = "woodworks.peers"
	// announceTimeout bounds one attempt to publish this daemon's address.
	announceTimeout = time.Second
	// announceRetryDelay is the wait after a failed attempt.
	announceRetryDelay = 200 * time.Millisecond
)

// PeersPartition holds the relay address and the zone of every daemon, keyed by the daemon's
// name.
var PeersPartition = journal.Partition{Topic: journal.KeyedTopic(peersTopic)}

// PeersHandler returns the handler that maintains the list of peers. The caller must have a
// follower of PeersPartition pass the records to it.
func (j *Journal) PeersHandler() journal.KeyedHandler { return j.peers }

// announce publishes this daemon's address and zone in PeersPartition. It retries until the
// append succeeds or the context ends.
func (j *Journal) announce(ctx context.Context) {
	encoded, err := cbor.Marshal(&peer{Address: j.options.Address, Zone: j.options.Zone})
	if err != nil {
		j.logger.Error("failed to encode relay address", zap.Error(err))
		return
	}
	record := journal.EncodeKeyed(j.options.Name, encoded)
	for ctx.Err() == nil {
		err := journal.AppendWithTimeout(ctx, j, announceTimeout, PeersPartition, record)
		if err == nil {
			return
		}
		// Debug level, because Run already logs the loss of the journal.
		j.logger.Debug("failed to announce relay address, retrying", zap.Error(err))
		periodic.Pause(ctx, announceRetryDelay)
	}
}
