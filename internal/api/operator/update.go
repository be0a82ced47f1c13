package operator

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

const (
	callTimeout = 1500 * time.Millisecond
	// maxAttempts bounds how often a change is made again after the partition's end
	// has moved, for example by another model's version.
	maxAttempts = 8
)

// update replaces a key's value by what next makes of it, on the condition that
// the partition has not changed meanwhile, and returns the record's offset. A nil
// value changes nothing. An append without an answer is settled by reading what
// the key holds.
func (o *Store) update(
	ctx context.Context, p journal.Partition, key string, next func(value []byte) ([]byte, error),
) (offset int64, err error) {
	for range maxAttempts {
		value, end, err := o.read(ctx, p, key)
		if err != nil {
			return 0, errors.Wrap(ErrNotDone, err.Error())
		}
		wanted, err := next(value)
		if err != nil || wanted == nil {
			return 0, err
		}
		record := journal.EncodeKeyed(key, wanted)
		offset, err := o.append(ctx, journal.Append{Partition: p, Records: [][]byte{record}, ExpectedEnd: &end})
		switch {
		case err == nil:
			return offset, nil
		case errors.Is(err, journal.ErrPosition):
			continue
		case errors.Is(err, journal.ErrNotDone):
			return 0, errors.Wrap(ErrNotDone, err.Error())
		}
		return o.resolveOutcome(ctx, p, end, record, err)
	}
	return 0, errors.Wrap(ErrConflict, "the log changed at every try")
}

// resolveOutcome finds out what became of an append without an answer. Its record can
// only stand where the partition ended; once another stands there, the
// condition cannot hold any more.
func (o *Store) resolveOutcome(ctx context.Context, p journal.Partition, end int64, record []byte, cause error) (offset int64, err error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	read, err := o.journal.Read(bounded, journal.Read{Partition: p, From: end})
	if err != nil || len(read.Records) == 0 {
		return 0, errors.Wrap(ErrOutcomeUnknown, cause.Error())
	}
	if !bytes.Equal(read.Records[0], record) {
		return 0, ErrConflict
	}
	return end, nil
}

func (o *Store) append(ctx context.Context, a journal.Append) (int64, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	appended, err := o.journal.Append(bounded, a)
	return appended.Offset, err
}

// read returns a key's value and the end of the partition that it holds at. As
// pages form no snapshot, the end is that of the first page: a change after it
// fails the condition of the append.
func (o *Store) read(ctx context.Context, p journal.Partition, key string) ([]byte, int64, error) {
	end, after := int64(-1), ""
	for {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		page, err := o.journal.Newest(bounded, p, after)
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
