package lease

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/journal"
)

// callTimeout bounds a call to the journal, not counting the time for which a read waits for a
// record. If a call is lost in an outage, the next call is delayed by callTimeout.
const callTimeout = 800 * time.Millisecond

// recordKind is the kind of a record in the partition. The values are stored in the journal and
// must not change.
type recordKind int

const (
	claimed recordKind = iota + 1
	renewed
	resigned
)

// record is one record of the partition: a claim, renewal or resignation by Holder, an
// incarnation of the daemon on Machine.
type record struct {
	Kind    recordKind `cbor:"1,keyasint"`
	Holder  string     `cbor:"2,keyasint"`
	Machine string     `cbor:"3,keyasint"`
	// Active is true if the holder was allowed to act when it wrote the record, that is if the
	// quiet period after the previous holder was over.
	Active bool `cbor:"4,keyasint"`
}

// append appends a record of this daemon on condition that the partition ends at offset end. If
// the condition fails, the error wraps journal.ErrPosition.
func (l *Lease) append(ctx context.Context, kind recordKind, end int64) (journal.Appended, error) {
	l.mu.Lock()
	active := !l.now().Before(l.validFrom)
	l.mu.Unlock()
	encoded, err := cbor.Marshal(record{Kind: kind, Holder: l.self, Machine: l.machine, Active: active})
	if err != nil {
		return journal.Appended{}, errors.Wrap(err, "lease: encode record")
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.journal.Append(bounded, journal.Append{Partition: l.partition, Records: [][]byte{encoded}, ExpectedEnd: &end})
}

// read returns the records from an offset on. If there are none, it waits at most for the
// duration wait until there is one. If the records at the offset were trimmed, read returns an
// error and sets nextOffset, so that the next read starts at the first record that is left.
func (l *Lease) read(ctx context.Context, from int64, wait time.Duration) ([]record, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	read, err := l.journal.Read(bounded, journal.Read{Partition: l.partition, From: from, Wait: wait})
	var trimmed *journal.TrimmedError
	if errors.As(err, &trimmed) {
		l.mu.Lock()
		l.nextOffset = trimmed.First
		l.mu.Unlock()
		return nil, err
	}
	if err != nil {
		return nil, err
	}
	records := make([]record, len(read.Records))
	for i, encoded := range read.Records {
		if err := cbor.Unmarshal(encoded, &records[i]); err != nil {
			// A record that can't be decoded may be a claim. It therefore counts as a record of
			// an unknown holder.
			l.logger.Warn("failed to decode lease record", zap.Int64("offset", from+int64(i)), zap.Error(err))
		}
	}
	return records, nil
}
