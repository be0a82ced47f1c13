package occupancy

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// ServiceName is the name under which daemons report to each other, and tellMethod and
// askMethod what they call there.
const (
	ServiceName = "Occupancy"
	tellMethod  = ServiceName + ".Tell"
	askMethod   = ServiceName + ".Ask"
)

// Message is what net/rpc carries: a value in CBOR, which is half as long as by its own
// codec.
type Message struct{ Body []byte }

// Heard is the answer to a report. net/rpc encodes it by the names of its fields.
type Heard struct {
	// Owner says that the daemon that answers has batches itself, or had some a moment ago.
	Owner bool
	// Whole says that it has not taken the report, as one that lacks what it is based on
	// can't: the next one is to be whole.
	Whole bool
}

// Service takes reports in, and answers with all that is known here. Its exported methods
// are those of net/rpc: their names are on the wire.
type Service struct {
	table     *Table
	publisher *Publisher
	onReport  func()
}

// NewService returns the service of a table, and of the publisher of this daemon's own
// requests. OnReport is called after each report and must not block.
func NewService(table *Table, publisher *Publisher, onReport func()) *Service {
	return &Service{table: table, publisher: publisher, onReport: onReport}
}

// Tell takes a report in. It is exported for net/rpc.
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

// Ask answers a daemon that becomes an owner with all that is known here. It is exported
// for net/rpc.
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
