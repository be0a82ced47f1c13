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
	// appendTimeout bounds one append to the journal.
	appendTimeout = 1500 * time.Millisecond
	// recordOverheadBytes is what the journal adds to each record of an append.
	recordOverheadBytes = 4
)

// appendCall holds records that must go into one append, and the channel for its outcome.
type appendCall struct {
	records [][]byte
	size    int
	done    chan error
}

// Append appends a record once. It returns nil once the journal has acknowledged the record,
// ErrNotDone if the record certainly was not and will not be appended, and otherwise ErrUnknown.
// Concurrent calls share appends.
//
// A record too long for one append is split into several, made one after the other. The record takes
// effect with its last fragment: if an earlier append fails, the outcome is certain (ErrNotDone).
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

// splitAppends splits a record into as few appends as the journal's limits allow.
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

// appendAndWait queues a call, starts appendPending if it is not running, and returns the call's
// outcome. If ctx ends first it returns ErrUnknown, and the call stays queued.
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

// appendPending appends the queued calls, as many at a time as fit, until the queue is empty.
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

// takePending removes the calls of the next append from the queue. If there are none it marks
// appendPending as ended, under the same lock, so that a later call starts it again.
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

// appendCalls appends the records of several calls in one call to the journal, and then applies
// them to the fold.
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

// newFragmentKey returns a random key for the fragments of one record.
func newFragmentKey() string {
	var random [9]byte
	_, _ = rand.Read(random[:]) // never fails
	return hex.EncodeToString(random[:])
}
