package ledger

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/journal"
	"woodworks/internal/journal/questiontime"
)

const (
	// readTimeout bounds a read, in addition to the time that it waits for records.
	readTimeout = questiontime.ReadTimeout
	// defaultPageBytes is the limit for the records returned by one read, unless minPageRecords
	// requires more. Each page is applied at once, so a failed read repeats no more than this.
	// A link of 60 Mbit/s takes 35 ms for it.
	defaultPageBytes = 256 << 10
	// minPageRecords is the number of records of maximum size that must fit in a page.
	minPageRecords = 2
)

// CatchUp returns once the fold holds every record that was in the partition at the time of the call.
// It waits for a read started after the call, which concurrent calls share. The error wraps
// ErrNotCaughtUp.
func (p *Partition) CatchUp(ctx context.Context) error {
	p.mu.Lock()
	wanted := p.readsStarted + 1
	for p.lastSucceededRead < wanted {
		if !p.reading {
			p.startRead()
		}
		ended := p.readEnded
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			return errors.Wrap(ErrNotCaughtUp, ctx.Err().Error())
		case <-ended:
		}
		p.mu.Lock()
		if p.lastSucceededRead < wanted && p.lastFailedRead >= wanted {
			err := p.readErr
			p.mu.Unlock()
			return errors.Wrap(ErrNotCaughtUp, err.Error())
		}
	}
	p.mu.Unlock()
	return nil
}

// startRead starts a CatchUp read in the background. The mutex is held.
func (p *Partition) startRead() {
	p.readsStarted++
	number := p.readsStarted
	p.reading = true
	p.readEnded = make(chan struct{})
	go func() {
		err := p.readToEnd()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.reading = false
		if err == nil {
			p.lastSucceededRead = number
		} else {
			p.lastFailedRead, p.readErr = number, err
		}
		close(p.readEnded)
	}()
}

// readToEnd reads until the fold has reached the end of the partition as reported by the first read.
func (p *Partition) readToEnd() error {
	for target := unknownEnd; ; {
		end, err := p.readPage(p.ledger.ctx)
		if err != nil {
			return err
		}
		if target == unknownEnd {
			target = end
		}
		if target != unknownEnd && p.nextOffset() >= target {
			return nil
		}
	}
}

// nextOffset returns the offset of the first record that is not applied yet.
func (p *Partition) nextOffset() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.NextOffset()
}

// readPage reads a page without waiting for new records. A read that was given up as lost is repeated
// within readTimeout. The result is that of readOnce.
func (p *Partition) readPage(ctx context.Context) (end int64, err error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for {
		end, err = p.readOnce(bounded, 0)
		if !errors.Is(err, journal.ErrGivenUp) || bounded.Err() != nil {
			return end, err
		}
	}
}

// readOnce reads a page from nextOffset and applies its records, including those received before the
// read failed. At the end of the partition it waits for new records, for at most the duration wait. It
// returns the end of the partition as reported by the journal, or unknownEnd.
func (p *Partition) readOnce(ctx context.Context, wait time.Duration) (end int64, err error) {
	from := p.nextOffset()
	bounded, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	req := journal.Read{Partition: p.name, From: from, Wait: wait, MaxBytes: p.ledger.MaxPageBytes()}
	read, err := p.ledger.journal.Read(bounded, req)
	var trimmed *journal.TrimmedError
	if errors.As(err, &trimmed) {
		p.skipTrimmed(from, trimmed.First)
		return unknownEnd, nil
	}
	p.fold(from, read.Records)
	p.updateReadStats(read, err == nil)
	return read.End, err
}

// updateReadStats counts the records of a read and updates the known end of the partition. The
// argument whole is false if the read failed, possibly after some of the records.
func (p *Partition) updateReadStats(read journal.Records, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, record := range read.Records {
		p.readBytes += int64(len(record))
	}
	p.readRecords += int64(len(read.Records))
	p.end = max(p.end, read.End)
	if whole && p.state.NextOffset() >= read.End {
		p.lastReadToEnd = time.Now()
	}
}

// ReadPage reads the next page of the partition without waiting for new records. The error wraps
// ErrNotCaughtUp.
func (p *Partition) ReadPage(ctx context.Context) error {
	if _, err := p.readPage(ctx); err != nil {
		return errors.Wrap(ErrNotCaughtUp, err.Error())
	}
	return nil
}

// skipTrimmed moves a fold that is still at the offset from to the first record that the journal has.
// Batches already in the fold stay; those that have records only in the gap remain unknown.
func (p *Partition) skipTrimmed(from, first int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.NextOffset() == from && first > from {
		p.ledger.logger.Info("records trimmed before they were read", zap.Inline(p),
			zap.Int64("offset", from), zap.Int64("first", first))
		p.hasGap = true
		p.state.SkipTo(first)
	}
}
