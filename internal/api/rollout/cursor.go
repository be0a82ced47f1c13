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
func (c Cursor) Taken(index int) bool { return c.taken[index/8]&(1<<(index%8)) != 0 }

// Bits are the samples that the trainer has, a bit each, the lowest of the first byte first.
// They must not be changed.
func (c Cursor) Bits() []byte { return c.taken }

// Take returns a cursor in which the samples are taken too.
func (c Cursor) Take(indices ...int) Cursor {
	next := Cursor{Header: c.Header, taken: append([]byte{}, c.taken...)}
	for _, index := range indices {
		next.taken[index/8] |= 1 << (index % 8)
	}
	return next
}

// String encodes the cursor as URL-safe text.
func (c Cursor) String() string {
	data := []byte{cursorFormat}
	data = appendText(data, c.Header.Trainer)
	data = appendText(data, c.Header.Name)
	data = binary.BigEndian.AppendUint64(data, c.Header.Digest)
	data = binary.AppendUvarint(data, uint64(c.Header.Samples))
	data = append(data, c.taken...)
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
	r := &cursorReader{data: body[1:]}
	cursor := Cursor{}
	cursor.Header.Trainer = r.text()
	cursor.Header.Name = r.text()
	cursor.Header.Digest = r.fixed64()
	cursor.Header.Samples = r.count(MaxSamples)
	cursor.taken = append([]byte{}, r.data...)
	if r.failed || len(cursor.taken) != (cursor.Header.Samples+7)/8 {
		return Cursor{}, ErrCursor
	}
	return cursor, nil
}

// cursorReader reads fields one after another and remembers a failure.
type cursorReader struct {
	data   []byte
	failed bool
}

func (r *cursorReader) number() uint64 {
	value, size := binary.Uvarint(r.data)
	if size <= 0 {
		r.failed = true
		return 0
	}
	r.data = r.data[size:]
	return value
}

func (r *cursorReader) count(limit uint64) int {
	value := r.number()
	if value < 1 || value > limit {
		r.failed = true
		return 1
	}
	return int(value)
}

func (r *cursorReader) take(size uint64) []byte {
	if size > uint64(len(r.data)) {
		r.failed = true
		return nil
	}
	part := r.data[:size]
	r.data = r.data[size:]
	return part
}

func (r *cursorReader) text() string { return string(r.take(r.number())) }

func (r *cursorReader) fixed64() uint64 {
	part := r.take(8)
	if len(part) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(part)
}
