package journaltest

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

// BandwidthLimiter sends one answer after the other at a rate. The zero value sends at any rate.
type BandwidthLimiter struct {
	// BytesPerSecond is the rate, 0 for any. It is set before the first answer.
	BytesPerSecond float64

	mu        sync.Mutex
	busyUntil time.Time
}

// Send returns when that many bytes have been sent, or with an error when the context
// ends. Bytes that nobody awaits any more are sent all the same.
func (b *BandwidthLimiter) Send(ctx context.Context, bytes int) error {
	if b.BytesPerSecond <= 0 || bytes == 0 {
		return nil
	}
	b.mu.Lock()
	if now := time.Now(); b.busyUntil.Before(now) {
		b.busyUntil = now
	}
	b.busyUntil = b.busyUntil.Add(time.Duration(float64(bytes) / b.BytesPerSecond * float64(time.Second)))
	sent := time.NewTimer(time.Until(b.busyUntil))
	b.mu.Unlock()
	defer sent.Stop()
	select {
	case <-sent.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(journal.ErrUnknown, ctx.Err().Error())
	}
}

// LimitBandwidth bounds what the journal sends to all its readers together, in bytes a second. It
// is called before any read.
func (j *Journal) LimitBandwidth(bytesPerSecond float64) { j.bandwidth.BytesPerSecond = bytesPerSecond }

// Link is a journal as one machine reaches it: answers to reads come over a link of its
// own.
type Link struct {
	*Journal
	bandwidth BandwidthLimiter
}

// OverLink returns the journal behind a link that carries some bytes a second.
func (j *Journal) OverLink(bytesPerSecond float64) *Link {
	return &Link{Journal: j, bandwidth: BandwidthLimiter{BytesPerSecond: bytesPerSecond}}
}

// Read implements journal.Journal.
func (l *Link) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	read, err := l.Journal.Read(ctx, request)
	if err != nil {
		return read, err
	}
	if err := l.bandwidth.Send(ctx, totalBytes(read.Records)); err != nil {
		return journal.Records{}, err
	}
	return read, nil
}

// totalBytes is how many bytes records have.
func totalBytes(records [][]byte) int {
	size := 0
	for _, record := range records {
		size += len(record)
	}
	return size
}
