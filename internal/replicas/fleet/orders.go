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

// partition is where orders are kept.
var partition = journal.Partition{Topic: journal.KeyedTopic(topic)}

// orderRecord is what was ordered last for a service in a zone. It is a record of the
// journal.
type orderRecord struct {
	Service string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Desired int    `cbor:"3,keyasint"`
	// AtMs is the ordering daemon's time of day, in milliseconds. It sets one order apart
	// from another and no more: that clock may be off by any amount.
	AtMs int64 `cbor:"4,keyasint"`
}

// observedOrder is an order with when this daemon first saw it, by its own steady clock: the
// order is at least that old.
type observedOrder struct {
	orderRecord
	at time.Time
}

// record keeps an order in the journal.
func (m *Manager) record(ctx context.Context, rec orderRecord) error {
	encoded, err := cbor.Marshal(rec)
	if err != nil {
		return errors.Wrap(err, "fleet: encode")
	}
	record := journal.EncodeKeyed(rec.Service+"/"+rec.Zone, encoded)
	err = journal.AppendWithTimeout(ctx, m.Journal, journalTimeout, partition, record)
	return errors.Wrap(err, "fleet: order not noted")
}

// observe returns an order with when it was first seen.
func (m *Manager) observe(key serviceZone, rec orderRecord, now time.Time) observedOrder {
	if m.newest[key].orderRecord != rec {
		m.newest[key] = observedOrder{rec, now}
	}
	return m.newest[key]
}

// read learns what was ordered, when this daemon begins to act.
func (m *Manager) read(ctx context.Context) bool {
	if m.ordered != nil {
		return true
	}
	records, _, err := journal.ReadNewest(ctx, m.Journal, partition, journalTimeout)
	if err != nil {
		m.logger.Info("orders for replicas not read", zap.Error(err))
		return false
	}
	m.ordered = map[serviceZone]observedOrder{}
	for _, r := range records {
		var rec orderRecord
		if err := cbor.Unmarshal(r.Value, &rec); err != nil {
			m.logger.Error("order for replicas refused", zap.String("key", r.Key), zap.Error(err))
			continue
		}
		key := serviceZone{rec.Service, rec.Zone}
		m.ordered[key] = m.observe(key, rec, time.Now())
	}
	return true
}
