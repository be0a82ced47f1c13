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
//
// A record too long for one append goes in several, one after the other. It
// counts when its last part is there, so that until this is sent nothing of it
// is added, whatever became of the parts before.
func (partition *Partition) Append(ctx context.Context, record []byte) error {
	appends := partition.splitAppends(record)
	last := len(appends) - 1
	for _, part := range appends[:last] {
		if err := partition.appendPart(ctx, part); err != nil {
			return errors.Wrap(ErrNotDone, err.Error())
		}
	}
	return partition.appendPart(ctx, appends[last])
}

// splitAppends cuts a record into as many appends as the journal makes necessary.
func (partition *Partition) splitAppends(record []byte) []*pendingAppend {
	limit := partition.ledger.journal.MaxAppendBytes()
	current := &pendingAppend{done: make(chan error, 1)}
	appends := []*pendingAppend{current}
	for _, fragment := range fragmentFor(partition.ledger.journal, record) {
		size := len(fragment) + recordOverhead
		if current.size > 0 && current.size+size > limit {
			current = &pendingAppend{done: make(chan error, 1)}
			appends = append(appends, current)
		}
		current.records = append(current.records, fragment)
		current.size += size
	}
	return appends
}

func (partition *Partition) appendPart(ctx context.Context, waiting *pendingAppend) error {
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
