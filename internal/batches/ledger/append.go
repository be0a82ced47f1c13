package ledger

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/batches/batch"
	"woodworks/internal/journal"
)

const (
	// appendTimeout bounds one append.
	appendTimeout = 1500 * time.Millisecond
	// recordOverheadBytes is what the journal adds to a record in an append, in bytes.
	recordOverheadBytes = 4
)

// appendCall is a record, or a part of one, that waits for its append.
type appendCall struct {
	records [][]byte
	size    int
	done    chan error
}

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
		if err := p.appendAndWait(ctx, part); err != nil {
			return errors.Wrap(ErrNotDone, err.Error())
		}
	}
	return p.appendAndWait(ctx, appends[last])
}

// splitAppends cuts a record into as many appends as the journal makes necessary.
func (p *Partition) splitAppends(record []byte) []*appendCall {
	limit := p.ledger.journal.MaxAppendBytes()
	current := &appendCall{done: make(chan error, 1)}
	appends := []*appendCall{current}
	for _, fragment := range batch.Fragment(record, p.ledger.journal.MaxRecordBytes(), newFragmentKey()) {
		size := len(fragment) + recordOverheadBytes
		if current.size > 0 && current.size+size > limit {
			current = &appendCall{done: make(chan error, 1)}
			appends = append(appends, current)
		}
		current.records = append(current.records, fragment)
		current.size += size
	}
	return appends
}

// appendAndWait hands a call to the appends of the partition and waits for its outcome.
func (p *Partition) appendAndWait(ctx context.Context, call *appendCall) error {
	p.mu.Lock()
	p.pending = append(p.pending, call)
	if !p.appending {
		p.appending = true
		go p.appendPending()
	}
	p.mu.Unlock()
	select {
	case err := <-call.done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ErrUnknown, ctx.Err().Error())
	}
}

// appendPending sends what waits, all that fits in one append at a time.
func (p *Partition) appendPending() {
	for {
		calls := p.takePending()
		if len(calls) == 0 {
			return
		}
		err := p.appendCalls(calls)
		for _, call := range calls {
			call.done <- err
		}
	}
}

// takePending takes the calls of the next append, or none and ends the sending.
func (p *Partition) takePending() []*appendCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.ledger.journal.MaxAppendBytes()
	size, count := 0, 0
	for _, call := range p.pending {
		if count > 0 && size+call.size > limit {
			break
		}
		size += call.size
		count++
	}
	calls := p.pending[:count:count]
	p.pending = p.pending[count:]
	if count == 0 {
		p.appending = false
		p.pending = nil
	}
	return calls
}

// appendCalls makes one append for several calls, and folds its records.
func (p *Partition) appendCalls(calls []*appendCall) error {
	var records [][]byte
	for _, call := range calls {
		records = append(records, call.records...)
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

// newFragmentKey returns a name for the fragments of one record that no other has.
func newFragmentKey() string {
	var random [9]byte
	_, _ = rand.Read(random[:]) // It never fails.
	return hex.EncodeToString(random[:])
}
