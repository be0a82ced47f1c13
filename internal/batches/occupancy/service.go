package occupancy

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// ServiceName is the net/rpc service of this package, tellMethod and askMethod are its
// methods. The names are part of the wire format.
const (
	ServiceName = "Occupancy"
	tellMethod  = ServiceName + ".Tell"
	askMethod   = ServiceName + ".Ask"
)

// Message wraps a CBOR-encoded value for net/rpc. CBOR takes about half the space of gob.
type Message struct{ Body []byte }

// Heard is the reply to a report. Its name and fields are part of the wire format, as net/rpc
// encodes them by name.
type Heard struct {
	// Owner is set if the replying daemon has batches, or had some recently.
	Owner bool
	// Whole is set if the report was not accepted, for example for lack of its base. The next
	// report must not be a delta.
	Whole bool
}

// Service receives reports, and answers requests for snapshots. Its exported methods are
// called through net/rpc, so their names are part of the wire format.
type Service struct {
	table     *Table
	publisher *Publisher
	onReport  func()
}

// NewService returns a service that merges reports into table and adds publisher's own report
// to snapshots. onReport is called after each report and must not block.
func NewService(table *Table, publisher *Publisher, onReport func()) *Service {
	return &Service{table: table, publisher: publisher, onReport: onReport}
}

// Tell merges a report from another daemon into the table. It implements a net/rpc method.
func (s *Service) Tell(msg Message, reply *Heard) error {
	var report Report
	if err := decode(msg, &report); err != nil {
		return err
	}
	reply.Whole = s.table.Merge(report) != Accepted
	reply.Owner = s.publisher.wantsReports()
	s.onReport()
	return nil
}

// Ask returns a snapshot to a daemon that becomes an owner. It implements a net/rpc method.
func (s *Service) Ask(_ struct{}, msg *Message) error {
	o := s.table.Snapshot()
	if own := s.publisher.ownReport(); !own.isEmpty() {
		o.Measurements = append(o.Measurements, own.Measurements...)
		own.Measurements = nil
		o.Reports = append(o.Reports, RelayedReport{Report: own})
	}
	encoded, err := encode(o)
	*msg = encoded
	return err
}

func encode(value any) (Message, error) {
	encoded, err := cbor.Marshal(value)
	return Message{Body: encoded}, errors.Wrap(err, "occupancy: encode")
}

func decode(msg Message, into any) error {
	return errors.Wrap(cbor.Unmarshal(msg.Body, into), "occupancy: decode")
}
