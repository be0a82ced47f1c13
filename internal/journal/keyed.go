package journal

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"
)

// keyedPrefix is the prefix of the names of topics with keyed records.
const keyedPrefix = "keyed."

// errShortKeyed is the error of DecodeKeyed for a record that is too short for the length of its
// key.
var errShortKeyed = errors.New("journal: keyed record too short")

// EncodeKeyed encodes a keyed record as the length of the key in one byte, the key and the
// value. The key must not be longer than 255 bytes. An empty value deletes the key.
func EncodeKeyed(key string, value []byte) []byte {
	joined := append([]byte{byte(len(key))}, key...)
	return append(joined, value...)
}

// DecodeKeyed decodes a record that EncodeKeyed encoded. Offset is 0 in the result. Value is a
// copy, so that it does not keep the answer that contained the record in memory.
func DecodeKeyed(record []byte) (KeyedRecord, error) {
	if len(record) == 0 || len(record) < 1+int(record[0]) {
		return KeyedRecord{}, errShortKeyed
	}
	end := 1 + int(record[0])
	return KeyedRecord{Key: string(record[1:end]), Value: bytes.Clone(record[end:])}, nil
}

// ReadNewest returns the newest record of each key of a keyed partition, and the offset from
// which to read further records. This offset is the end of the partition as reported with the
// first page, so that no record written during the later pages is missed. timeout bounds the
// read of each page.
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

// KeyedTopic returns the full name of the keyed topic with the given short name.
func KeyedTopic(name string) string { return keyedPrefix + name }
