package fleet

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/journal"
)

const (
	topic = "woodworks.fleet"
	// journalTimeout bounds one call to the journal.
	journalTimeout = 1200 * time.Millisecond
)

// partition holds the orders, keyed by service and zone.
var partition = journal.Partition{Topic: journal.KeyedTopic(topic)}

// orderRecord is the last order of a service's replicas in a zone, as stored in the journal.
type orderRecord struct {
	Service string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Desired int    `cbor:"3,keyasint"`
	// AtMs is when the order was made, in Unix milliseconds by the clock of the ordering daemon.
	// It only distinguishes orders from each other, because that clock may be wrong.
	AtMs int64 `cbor:"4,keyasint"`
}

// observedOrder is an order and when this daemon first saw it, by its own monotonic clock. The
// order is at least that old.
type observedOrder struct {
	orderRecord
	firstSeenAt time.Time
}

// recordOrder writes an order to the journal.
func (m *Manager) recordOrder(ctx context.Context, rec orderRecord) error {
	encoded, err := cbor.Marshal(rec)
	if err != nil {
		return errors.Wrap(err, "fleet: encode")
	}
	record := journal.EncodeKeyed(rec.Service+"/"+rec.Zone, encoded)
	err = journal.AppendWithTimeout(ctx, m.Journal, journalTimeout, partition, record)
	return errors.Wrap(err, "fleet: order not recorded")
}

// observe returns an order with the time when this daemon first saw it. That time is now unless
// the order equals the newest known one of its service and zone.
func (m *Manager) observe(key serviceZone, rec orderRecord, now time.Time) observedOrder {
	if m.newestOrders[key].orderRecord != rec {
		m.newestOrders[key] = observedOrder{rec, now}
	}
	return m.newestOrders[key]
}

// loadOrders reads the last orders from the journal, once after the lease was acquired, and
// reports whether they are known. An order that cannot be decoded is skipped.
func (m *Manager) loadOrders(ctx context.Context) bool {
	if m.lastOrders != nil {
		return true
	}
	records, _, err := journal.ReadNewest(ctx, m.Journal, partition, journalTimeout)
	if err != nil {
		m.logger.Info("orders for replicas not read", zap.Error(err))
		return false
	}
	m.lastOrders = map[serviceZone]observedOrder{}
	for _, r := range records {
		var rec orderRecord
		if err := cbor.Unmarshal(r.Value, &rec); err != nil {
			m.logger.Error("order for replicas not decoded", zap.String("key", r.Key), zap.Error(err))
			continue
		}
		key := serviceZone{rec.Service, rec.Zone}
		m.lastOrders[key] = m.observe(key, rec, time.Now())
	}
	return true
}
