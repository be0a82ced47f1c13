package operator

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

const (
	// callTimeout bounds each call to the journal.
	callTimeout = 1500 * time.Millisecond
	// maxAttempts bounds the attempts of a change, which is repeated if another record was
	// appended to the partition meanwhile, for example another model's version.
	maxAttempts = 8
)

// update replaces a key's value by the result of next, on the condition that the partition
// has not changed since the value was read, and returns the record's offset. If next returns
// nil or an error, nothing is written. If the partition did change, update starts again, so
// next may be called several times. If the append gets no answer, the partition is read to
// find out whether it was done.
func (s *Store) update(
	ctx context.Context, p journal.Partition, key string, next func(value []byte) ([]byte, error),
) (offset int64, err error) {
	for range maxAttempts {
		value, end, err := s.read(ctx, p, key)
		if err != nil {
			return 0, errors.Wrap(ErrNotDone, err.Error())
		}
		updated, err := next(value)
		if err != nil || updated == nil {
			return 0, err
		}
		record := journal.EncodeKeyed(key, updated)
		offset, err := s.append(ctx, journal.Append{Partition: p, Records: [][]byte{record}, ExpectedEnd: &end})
		switch {
		case err == nil:
			return offset, nil
		case errors.Is(err, journal.ErrPosition):
			continue
		case errors.Is(err, journal.ErrNotDone):
			return 0, errors.Wrap(ErrNotDone, err.Error())
		}
		return s.resolveOutcome(ctx, p, end, record, err)
	}
	return 0, errors.Wrap(ErrConflict, "the log changed at every try")
}

// resolveOutcome finds out whether an append that got no answer was done. Because of its
// condition the record can only be at end: if another record is there, the append has failed
// and can't succeed later. If no record is there or the read fails, the result is
// ErrOutcomeUnknown.
func (s *Store) resolveOutcome(ctx context.Context, p journal.Partition, end int64, record []byte, cause error) (offset int64, err error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	read, err := s.journal.Read(bounded, journal.Read{Partition: p, From: end})
	if err != nil || len(read.Records) == 0 {
		return 0, errors.Wrap(ErrOutcomeUnknown, cause.Error())
	}
	if !bytes.Equal(read.Records[0], record) {
		return 0, ErrConflict
	}
	return end, nil
}

func (s *Store) append(ctx context.Context, a journal.Append) (int64, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	appended, err := s.journal.Append(bounded, a)
	return appended.Offset, err
}

// read returns a key's value and the partition's end, for use as the condition of an append.
// Pages are not one snapshot, so the end is that of the first page: any later change then fails
// the condition.
func (s *Store) read(ctx context.Context, p journal.Partition, key string) ([]byte, int64, error) {
	end, after := int64(-1), ""
	for {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		page, err := s.journal.Newest(bounded, p, after)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if end < 0 {
			end = page.End
		}
		for _, record := range page.Records {
			after = record.Key
			if record.Key == key {
				return record.Value, end, nil
			}
		}
		if !page.More || len(page.Records) == 0 {
			return nil, end, nil
		}
	}
}
