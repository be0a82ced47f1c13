package ledger

import (
	"context"

	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

// pendingAppend is a record on its way, with those that wait for its fate.
type pendingAppend struct {
	records [][]byte
	size    int
	done    chan error
}

// recordOverhead is what the journal adds to a record in an append, in bytes.
const recordOverhead = 4

// Append adds a record once. It returns nil when the journal has acknowledged
// it, ErrNotDone if it is certain that it was not and will not be added, or
// ErrUnknown. Records of calls at the same time go out in one append.
func (partition *Partition) Append(ctx context.Context, record []byte) error {
	fragments := fragmentFor(partition.ledger.journal, record)
	size := 0
	for _, fragment := range fragments {
		size += len(fragment) + recordOverhead
	}
	if size > partition.ledger.journal.MaxAppendBytes() {
		return errors.Wrapf(ErrTooLarge, "%d bytes", size)
	}
	waiting := &pendingAppend{records: fragments, size: size, done: make(chan error, 1)}
	partition.mutex.Lock()
	partition.pending = append(partition.pending, waiting)
	if !partition.appending {
		partition.appending = true
		go partition.appendPending()
	}
	partition.mutex.Unlock()
	select {
	case err := <-waiting.done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ErrUnknown, ctx.Err().Error())
	}
}

// appendPending sends what waits, all that fits in one append at a time.
func (partition *Partition) appendPending() {
	for {
		group := partition.takeGroup()
		if len(group) == 0 {
			return
		}
		err := partition.appendGroup(group)
		for _, waiting := range group {
			waiting.done <- err
		}
	}
}

// takeGroup takes the records of the next append, or none and ends the sending.
func (partition *Partition) takeGroup() []*pendingAppend {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	limit := partition.ledger.journal.MaxAppendBytes()
	size, count := 0, 0
	for _, waiting := range partition.pending {
		if count > 0 && size+waiting.size > limit {
			break
		}
		size += waiting.size
		count++
	}
	group := partition.pending[:count:count]
	partition.pending = partition.pending[count:]
	if count == 0 {
		partition.appending = false
		partition.pending = nil
	}
	return group
}

func (partition *Partition) appendGroup(group []*pendingAppend) error {
	var records [][]byte
	for _, waiting := range group {
		records = append(records, waiting.records...)
	}
	bounded, cancel := context.WithTimeout(partition.ledger.context, appendTimeout)
	defer cancel()
	appended, err := partition.ledger.journal.Append(bounded, journal.Append{Partition: partition.name, Records: records})
	if errors.Is(err, journal.ErrNotDone) {
		return errors.Wrap(ErrNotDone, err.Error())
	}
	if err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	partition.fold(appended.Offset, records)
	return nil
}
