package lease

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/journal"
)

// callTimeout bounds one call to the journal, beyond the time that a read waits for a record.
// A call that was lost in an outage delays the next by as much.
const callTimeout = 800 * time.Millisecond

// recordKind is what a record says of its holder.
type recordKind int

const (
	claimed recordKind = iota + 1
	renewed
	resigned
)

// record is one record of the partition.
type record struct {
	Kind    recordKind `cbor:"1,keyasint"`
	Holder  string     `cbor:"2,keyasint"`
	Machine string     `cbor:"3,keyasint"`
	// Active says that the holder might act when it wrote this: the quiet time
	// after the holder before it was over.
	Active bool `cbor:"4,keyasint"`
}

// append appends a record of this holder on condition that the partition ends at end.
func (l *Lease) append(ctx context.Context, kind recordKind, end int64) (journal.Appended, error) {
	l.mu.Lock()
	active := !l.now().Before(l.validFrom)
	l.mu.Unlock()
	encoded, err := cbor.Marshal(record{Kind: kind, Holder: l.self, Machine: l.machine, Active: active})
	if err != nil {
		return journal.Appended{}, errors.Wrap(err, "lease: encode")
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.journal.Append(bounded, journal.Append{Partition: l.partition, Records: [][]byte{encoded}, ExpectedEnd: &end})
}

// read returns the records from an offset on.
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
			// It counts as one of an unknown holder, as it may be a claim.
			l.logger.Warn("lease record not understood", zap.Int64("offset", from+int64(i)), zap.Error(err))
		}
	}
	return records, nil
}
