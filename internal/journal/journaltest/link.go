package journaltest

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

// BandwidthLimiter simulates a link that sends one answer after another at a limited rate. The
// zero value does not limit the rate. It is safe for concurrent use.
type BandwidthLimiter struct {
	// BytesPerSecond is the rate; 0 means no limit. It must be set before the first Send.
	BytesPerSecond float64

	mu        sync.Mutex
	busyUntil time.Time
}

// Send waits until the given number of bytes has been sent, or returns ErrUnknown when ctx ends.
// The bytes occupy the link even if ctx has ended.
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

// LimitBandwidth limits the rate of the answers to all readers together. It must be called before
// any read.
func (j *Journal) LimitBandwidth(bytesPerSecond float64) { j.bandwidth.BytesPerSecond = bytesPerSecond }

// Link is a Journal reached over a link of its own, which limits the rate of answers to reads.
type Link struct {
	*Journal
	bandwidth BandwidthLimiter
}

// OverLink returns the journal as reached over a new link with the given bandwidth.
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

// totalBytes returns the total size of the records.
func totalBytes(records [][]byte) int {
	size := 0
	for _, record := range records {
		size += len(record)
	}
	return size
}
