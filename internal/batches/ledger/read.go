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
	// readTimeout bounds a read beyond the time that it waits for records.
	readTimeout = questiontime.ReadTimeout
	// pageBytes bounds the answer to a read: a link of 60 Mbit/s takes 35 ms for it. Each
	// answer is folded, so that a read that fails costs no more than this.
	pageBytes = 256 << 10
	// pageRecords is how many of the longest records an answer has room for at least.
	pageRecords = 2
)

// CatchUp returns once the fold holds all that was in the partition when the
// call came. Calls at the same time share reads. The error wraps ErrBehind.
func (p *Partition) CatchUp(ctx context.Context) error {
	p.mu.Lock()
	wanted := p.reads + 1
	for p.done < wanted {
		if !p.reading {
			p.startRead()
		}
		ended := p.readEnded
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			return errors.Wrap(ErrBehind, ctx.Err().Error())
		case <-ended:
		}
		p.mu.Lock()
		if p.done < wanted && p.failed >= wanted {
			err := p.readErr
			p.mu.Unlock()
			return errors.Wrap(ErrBehind, err.Error())
		}
	}
	p.mu.Unlock()
	return nil
}

// startRead begins a catch-up read. The mutex is held.
func (p *Partition) startRead() {
	p.reads++
	number := p.reads
	p.reading = true
	p.readEnded = make(chan struct{})
	go func() {
		err := p.readToEnd()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.reading = false
		if err == nil {
			p.done = number
		} else {
			p.failed, p.readErr = number, err
		}
		close(p.readEnded)
	}()
}

// readToEnd reads until the fold has reached the end that the first read told.
func (p *Partition) readToEnd() error {
	for target := noEnd; ; {
		end, err := p.readOnce(p.ledger.ctx, 0)
		if err != nil {
			return err
		}
		if target == noEnd {
			target = end
		}
		if target != noEnd && p.next() >= target {
			return nil
		}
	}
}

// next returns the offset of the first record that is not folded yet.
func (p *Partition) next() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Next()
}

// readOnce reads a page from the fold's offset on and folds what comes, also of an answer
// that broke off. At the partition's end the read waits for records. It returns the end that
// was told, noEnd if none was.
func (p *Partition) readOnce(ctx context.Context, wait time.Duration) (end int64, err error) {
	from := p.next()
	bounded, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	req := journal.Read{Partition: p.name, From: from, Wait: wait, MaxBytes: p.ledger.PageBytes()}
	read, err := p.ledger.journal.Read(bounded, req)
	var trimmed *journal.TrimmedError
	if errors.As(err, &trimmed) {
		p.skipTrimmed(from, trimmed.First)
		return noEnd, nil
	}
	p.fold(from, read.Records)
	p.noteRead(read, err == nil)
	return read.End, err
}

// noteRead counts what a read brought, whole or until it broke off.
func (p *Partition) noteRead(read journal.Records, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, record := range read.Records {
		p.readBytes += int64(len(record))
	}
	p.readRecords += int64(len(read.Records))
	p.end = max(p.end, read.End)
	if whole && p.state.Next() >= read.End {
		p.lastRead = time.Now()
	}
}

// ReadPage reads the next page of the partition. The error wraps ErrBehind.
func (p *Partition) ReadPage(ctx context.Context) error {
	if _, err := p.readOnce(ctx, 0); err != nil {
		return errors.Wrap(ErrBehind, err.Error())
	}
	return nil
}

// skipTrimmed moves the fold over records that are gone. The batches already
// folded stay known; of those only in the trimmed records nothing is known.
func (p *Partition) skipTrimmed(from, first int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.Next() == from && first > from {
		p.ledger.logger.Info("records trimmed before they were read", zap.Inline(p),
			zap.Int64("offset", from), zap.Int64("first", first))
		p.missed = true
		p.state.Skip(first)
	}
}
