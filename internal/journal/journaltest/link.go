package journaltest

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

// outlet sends one answer after the other at a rate.
type outlet struct {
	mu sync.Mutex
	// bytesPerSecond is the rate, 0 for any.
	bytesPerSecond float64
	busyUntil      time.Time
}

// send returns when that many bytes have been sent, or with an error when the context
// ends. Bytes that nobody awaits any more are sent all the same.
func (o *outlet) send(ctx context.Context, bytes int) error {
	if o.bytesPerSecond <= 0 || bytes == 0 {
		return nil
	}
	o.mu.Lock()
	if now := time.Now(); o.busyUntil.Before(now) {
		o.busyUntil = now
	}
	o.busyUntil = o.busyUntil.Add(time.Duration(float64(bytes) / o.bytesPerSecond * float64(time.Second)))
	sent := time.NewTimer(time.Until(o.busyUntil))
	o.mu.Unlock()
	defer sent.Stop()
	select {
	case <-sent.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(journal.ErrUnknown, ctx.Err().Error())
	}
}

// Limit bounds what the journal sends to all its readers together, in bytes a second. It
// is called before any read.
func (j *Journal) Limit(bytesPerSecond float64) { j.outlet.bytesPerSecond = bytesPerSecond }

// Link is a journal as one machine reaches it: answers to reads come over a link of its
// own.
type Link struct {
	*Journal
	outlet
}

// Behind returns the journal behind a link that carries some bytes a second.
func (j *Journal) Behind(bytesPerSecond float64) *Link {
	return &Link{Journal: j, outlet: outlet{bytesPerSecond: bytesPerSecond}}
}

// Read implements journal.Journal.
func (l *Link) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	read, err := l.Journal.Read(ctx, request)
	if err != nil {
		return read, err
	}
	if err := l.send(ctx, sizeOf(read.Records)); err != nil {
		return journal.Records{}, err
	}
	return read, nil
}

// sizeOf is how many bytes records have.
func sizeOf(records [][]byte) int {
	size := 0
	for _, record := range records {
		size += len(record)
	}
	return size
}
