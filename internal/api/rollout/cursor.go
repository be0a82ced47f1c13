package rollout

import (
	"encoding/base64"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Cursor is the state of a delivery: which samples of which batch the trainer
// has taken. The trainer keeps it, so no daemon needs to remember what was
// delivered, and none can forget it: the samples in an answer and the cursor
// in the same answer are taken together or not at all.
type Cursor struct {
	Header Header
	taken  []byte
}

// ErrCursor is returned for a text that is not a cursor of this service.
var ErrCursor = errors.New("cursor: not a cursor of this service, or damaged")

const cursorFormat = 2

// NewCursor returns the cursor before the first sample.
func NewCursor(header Header) Cursor {
	return Cursor{Header: header, taken: make([]byte, (header.Samples+7)/8)}
}

// Taken reports whether the trainer has a sample.
func (cursor Cursor) Taken(index int) bool { return cursor.taken[index/8]&(1<<(index%8)) != 0 }

// Bits are the samples that the trainer has, a bit each, the lowest of the first byte first.
// They must not be changed.
func (cursor Cursor) Bits() []byte { return cursor.taken }

// Take returns a cursor in which the samples are taken too.
func (cursor Cursor) Take(indices ...int) Cursor {
	next := Cursor{Header: cursor.Header, taken: append([]byte{}, cursor.taken...)}
	for _, index := range indices {
		next.taken[index/8] |= 1 << (index % 8)
	}
	return next
}

// String encodes the cursor as URL-safe text.
func (cursor Cursor) String() string {
	data := []byte{cursorFormat}
	data = appendText(data, cursor.Header.Trainer)
	data = appendText(data, cursor.Header.Name)
	data = binary.BigEndian.AppendUint64(data, cursor.Header.Digest)
	data = binary.AppendUvarint(data, uint64(cursor.Header.Samples))
	data = append(data, cursor.taken...)
	data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(data))
	return base64.RawURLEncoding.EncodeToString(data)
}

func appendText(data []byte, text string) []byte {
	data = binary.AppendUvarint(data, uint64(len(text)))
	return append(data, text...)
}

// ParseCursor decodes a cursor's text.
func ParseCursor(text string) (Cursor, error) {
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(data) < 1+8 {
		return Cursor{}, ErrCursor
	}
	body, sum := data[:len(data)-8], data[len(data)-8:]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(sum) || body[0] != cursorFormat {
		return Cursor{}, ErrCursor
	}
	reader := &cursorReader{data: body[1:]}
	cursor := Cursor{}
	cursor.Header.Trainer = reader.text()
	cursor.Header.Name = reader.text()
	cursor.Header.Digest = reader.fixed64()
	cursor.Header.Samples = reader.count(MaxSamples)
	cursor.taken = append([]byte{}, reader.data...)
	if reader.failed || len(cursor.taken) != (cursor.Header.Samples+7)/8 {
		return Cursor{}, ErrCursor
	}
	return cursor, nil
}

// cursorReader reads fields one after another and remembers a failure.
type cursorReader struct {
	data   []byte
	failed bool
}

func (reader *cursorReader) number() uint64 {
	value, size := binary.Uvarint(reader.data)
	if size <= 0 {
		reader.failed = true
		return 0
	}
	reader.data = reader.data[size:]
	return value
}

func (reader *cursorReader) count(limit uint64) int {
	value := reader.number()
	if value < 1 || value > limit {
		reader.failed = true
		return 1
	}
	return int(value)
}

func (reader *cursorReader) take(size uint64) []byte {
	if size > uint64(len(reader.data)) {
		reader.failed = true
		return nil
	}
	part := reader.data[:size]
	reader.data = reader.data[size:]
	return part
}

func (reader *cursorReader) text() string { return string(reader.take(reader.number())) }

func (reader *cursorReader) fixed64() uint64 {
	part := reader.take(8)
	if len(part) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(part)
}
