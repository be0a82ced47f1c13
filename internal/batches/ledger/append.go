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
func (p *Partition) Append(ctx context.Context, record []byte) error {
	appends := p.splitAppends(record)
	last := len(appends) - 1
	for _, part := range appends[:last] {
		if err := p.appendPart(ctx, part); err != nil {
			return errors.Wrap(ErrNotDone, err.Error())
		}
	}
	return p.appendPart(ctx, appends[last])
}

// splitAppends cuts a record into as many appends as the journal makes necessary.
func (p *Partition) splitAppends(record []byte) []*pendingAppend {
	limit := p.ledger.journal.MaxAppendBytes()
	current := &pendingAppend{done: make(chan error, 1)}
	appends := []*pendingAppend{current}
	for _, fragment := range fragmentFor(p.ledger.journal, record) {
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

func (p *Partition) appendPart(ctx context.Context, waiting *pendingAppend) error {
	p.mu.Lock()
	p.pending = append(p.pending, waiting)
	if !p.appending {
		p.appending = true
		go p.appendPending()
	}
	p.mu.Unlock()
	select {
	case err := <-waiting.done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ErrUnknown, ctx.Err().Error())
	}
}

// appendPending sends what waits, all that fits in one append at a time.
func (p *Partition) appendPending() {
	for {
		group := p.takeGroup()
		if len(group) == 0 {
			return
		}
		err := p.appendGroup(group)
		for _, waiting := range group {
			waiting.done <- err
		}
	}
}

// takeGroup takes the records of the next append, or none and ends the sending.
func (p *Partition) takeGroup() []*pendingAppend {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.ledger.journal.MaxAppendBytes()
	size, count := 0, 0
	for _, waiting := range p.pending {
		if count > 0 && size+waiting.size > limit {
			break
		}
		size += waiting.size
		count++
	}
	group := p.pending[:count:count]
	p.pending = p.pending[count:]
	if count == 0 {
		p.appending = false
		p.pending = nil
	}
	return group
}

func (p *Partition) appendGroup(group []*pendingAppend) error {
	var records [][]byte
	for _, waiting := range group {
		records = append(records, waiting.records...)
	}
	bounded, cancel := context.WithTimeout(p.ledger.ctx, appendTimeout)
	defer cancel()
	appended, err := p.ledger.journal.Append(bounded, journal.Append{Partition: p.name, Records: records})
	if errors.Is(err, journal.ErrNotDone) {
		return errors.Wrap(ErrNotDone, err.Error())
	}
	if err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	p.fold(appended.Offset, records)
	return nil
}
