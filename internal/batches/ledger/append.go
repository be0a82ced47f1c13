package ledger

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
)

const (
	// appendTimeout bounds one append to the journal.
	appendTimeout = 1500 * time.Millisecond
	// recordOverheadBytes is what the journal adds to each record of an append.
	recordOverheadBytes = 4
	// abandonRetryDelay is the delay before a failed append of abandoned fragments is repeated, and
	// maxAbandonedPerAppend how many records one such append has at most, which is far below the journal's
	// limits.
	abandonRetryDelay     = 500 * time.Millisecond
	maxAbandonedPerAppend = 64
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
// effect with its last fragment: if an earlier append fails, the outcome is certain (ErrNotDone), and the
// fragments are abandoned.
func (p *Partition) Append(ctx context.Context, record []byte) error {
	key := newFragmentKey()
	appends := p.splitAppends(record, key)
	last := len(appends) - 1
	for i, part := range appends {
		err := p.appendAndWait(ctx, part)
		switch {
		case err == nil:
			continue
		case last == 0:
			return err
		case i > 0 || !errors.Is(err, ErrNotDone):
			p.abandon(key)
		}
		if i < last {
			return errors.Wrap(ErrNotDone, err.Error())
		}
		return err
	}
	return nil
}

// abandon records that fragments will never be complete, as soon as the journal takes it. Otherwise each fold
// would keep them.
func (p *Partition) abandon(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned = append(p.abandoned, key)
	if len(p.abandoned) == 1 {
		go p.recordAbandoned()
	}
}

// recordAbandoned appends the records of abandoned fragments until all are acknowledged.
func (p *Partition) recordAbandoned() {
	ctx := p.ledger.ctx
	for ctx.Err() == nil {
		call := &appendCall{done: make(chan error, 1)}
		p.mu.Lock()
		keys := slices.Clone(p.abandoned[:min(len(p.abandoned), maxAbandonedPerAppend)])
		p.mu.Unlock()
		for _, key := range keys {
			record := batch.FragmentsAbandoned(key)
			call.records = append(call.records, record)
			call.size += len(record) + recordOverheadBytes
		}
		err := p.appendAndWait(ctx, call)
		p.ledger.logger.Info("fragments abandoned", zap.Inline(p), zap.Strings("keys", keys), zap.Error(err))
		if err != nil {
			periodic.Pause(ctx, abandonRetryDelay)
			continue
		}
		p.mu.Lock()
		p.abandoned = slices.Delete(p.abandoned, 0, len(keys))
		left := len(p.abandoned)
		p.mu.Unlock()
		if left == 0 {
			return
		}
	}
}

// splitAppends splits a record into as few appends as the journal's limits allow. The key is that of its
// fragments.
func (p *Partition) splitAppends(record []byte, key string) []*appendCall {
	limit := p.ledger.journal.MaxAppendBytes()
	current := &appendCall{done: make(chan error, 1)}
	appends := []*appendCall{current}
	for _, fragment := range batch.Fragment(record, p.ledger.journal.MaxRecordBytes(), key) {
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
