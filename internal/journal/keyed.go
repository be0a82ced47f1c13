package journal

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"
)

// keyedPrefix starts the names of topics whose records have keys.
const keyedPrefix = "keyed."

// errShortKeyed is returned for bytes that are no record with a key.
var errShortKeyed = errors.New("journal: keyed record too short")

// EncodeKeyed makes a record of a key and a value: the length of the key in one
// byte, the key, the value. An empty value drops the key.
func EncodeKeyed(key string, value []byte) []byte {
	joined := append([]byte{byte(len(key))}, key...)
	return append(joined, value...)
}

// DecodeKeyed takes a record of EncodeKeyed apart. The value is a copy: it does not keep the
// answer in memory that the record came in.
func DecodeKeyed(record []byte) (KeyedRecord, error) {
	if len(record) == 0 || len(record) < 1+int(record[0]) {
		return KeyedRecord{}, errShortKeyed
	}
	end := 1 + int(record[0])
	return KeyedRecord{Key: string(record[1:end]), Value: bytes.Clone(record[end:])}, nil
}

// ReadNewest returns the newest record of each key of a keyed partition, and the offset after the
// records of its first page. Each page is waited for until the timeout.
func ReadNewest(
	ctx context.Context, log Journal, partition Partition, timeout time.Duration,
) (records []KeyedRecord, next int64, err error) {
	for afterKey, first := "", true; ; first = false {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		page, err := log.Newest(bounded, partition, afterKey)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if first {
			next = page.End
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return records, next, nil
		}
		afterKey = page.Records[len(page.Records)-1].Key
	}
}

// KeyedTopic returns the full name of a topic whose records have keys.
func KeyedTopic(name string) string { return keyedPrefix + name }
