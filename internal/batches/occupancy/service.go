package occupancy

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// ServiceName is the name under which daemons tell each other of their requests, and
// tellMethod and askMethod what they call there.
const (
	ServiceName = "Occupancy"
	tellMethod  = ServiceName + ".Tell"
	askMethod   = ServiceName + ".Ask"
)

// Message is what net/rpc carries: a value in CBOR, which is half as long as by its own
// codec.
type Message struct{ Body []byte }

// Heard is the answer to a report.
type Heard struct {
	// Owner says that the daemon told has batches itself, or had some a moment ago.
	Owner bool
	// Whole says that it has not taken the report, as one that lacks what it is based on
	// can't: the next one is to be whole.
	Whole bool
}

// Service takes in what other daemons tell, and tells what is believed here. Its exported
// methods are those of net/rpc.
type Service struct {
	table     *Table
	publisher *Publisher
	heard     func()
}

// NewService returns the service of a table, and of the publisher that tells of this daemon's
// own requests. Heard is called after each report and must not block.
func NewService(table *Table, publisher *Publisher, heard func()) *Service {
	return &Service{table: table, publisher: publisher, heard: heard}
}

// Tell takes a report in. It is exported for net/rpc.
func (s *Service) Tell(msg Message, reply *Heard) error {
	var report Report
	if err := decode(msg, &report); err != nil {
		return err
	}
	reply.Whole = s.table.Merge(report) != Taken
	reply.Owner = s.publisher.listens()
	s.heard()
	return nil
}

// Ask answers a daemon that becomes an owner with all that is believed here. It is exported
// for net/rpc.
func (s *Service) Ask(_ struct{}, msg *Message) error {
	beliefs := s.table.Occupancy()
	if own := s.publisher.own(); !own.empty() {
		beliefs.Measured = append(beliefs.Measured, own.Measured...)
		own.Measured = nil
		beliefs.Reports = append(beliefs.Reports, Relayed{Report: own})
	}
	encoded, err := encode(beliefs)
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
