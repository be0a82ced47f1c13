package journal

import (
	"bytes"

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

// KeyedTopic returns the full name of a topic whose records have keys.
func KeyedTopic(name string) string { return keyedPrefix + name }
