package rollout

import (
	"bytes"
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Cursor records which samples of a batch a trainer has taken. The trainer stores it, so no daemon
// has to remember what was delivered: samples and the cursor of the same answer take effect
// together or not at all.
type Cursor struct {
	Header Header
	taken  []byte
}

// ErrInvalidCursor is returned by ParseCursor for a text that is damaged or was not made by String.
var ErrInvalidCursor = errors.New("cursor: not a cursor of this service, or damaged")

// cursorFormat is the first byte of an encoded cursor.
const cursorFormat = 2

// NewCursor returns a cursor of a batch with no sample taken.
func NewCursor(header Header) Cursor {
	return Cursor{Header: header, taken: make([]byte, (header.Samples+7)/8)}
}

// Taken reports whether the trainer has taken the sample at index, which must be below
// Header.Samples.
func (c Cursor) Taken(index int) bool { return c.taken[index/8]&(1<<(index%8)) != 0 }

// TakenBits returns one bit per sample, set if it is taken: sample i is bit i%8 of byte i/8. The
// caller must not change them.
func (c Cursor) TakenBits() []byte { return c.taken }

// Take returns a copy of the cursor in which the samples at indices are taken too.
func (c Cursor) Take(indices ...int) Cursor {
	next := Cursor{Header: c.Header, taken: append([]byte{}, c.taken...)}
	for _, index := range indices {
		next.taken[index/8] |= 1 << (index % 8)
	}
	return next
}

// String encodes the cursor as URL-safe text with a checksum. ParseCursor decodes it.
func (c Cursor) String() string {
	data := []byte{cursorFormat}
	data = appendString(data, c.Header.Trainer)
	data = appendString(data, c.Header.Name)
	data = binary.BigEndian.AppendUint64(data, c.Header.Digest)
	data = binary.AppendUvarint(data, uint64(c.Header.Samples))
	data = append(data, c.taken...)
	data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(data))
	return base64.RawURLEncoding.EncodeToString(data)
}

func appendString(data []byte, text string) []byte {
	data = binary.AppendUvarint(data, uint64(len(text)))
	return append(data, text...)
}

// ParseCursor decodes a cursor encoded by String. The error is ErrInvalidCursor.
func ParseCursor(text string) (Cursor, error) {
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(data) < 1+8 {
		return Cursor{}, ErrInvalidCursor
	}
	body, sum := data[:len(data)-8], data[len(data)-8:]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(sum) || body[0] != cursorFormat {
		return Cursor{}, ErrInvalidCursor
	}
	r := bytes.NewReader(body[1:])
	var digest uint64
	trainer, errTrainer := readString(r)
	name, errName := readString(r)
	errDigest := binary.Read(r, binary.BigEndian, &digest)
	samples, errSamples := binary.ReadUvarint(r)
	taken := body[len(body)-r.Len():]
	if cmp.Or(errTrainer, errName, errDigest, errSamples) != nil || samples < 1 || samples > MaxSamples || len(taken) != int(samples+7)/8 {
		return Cursor{}, ErrInvalidCursor
	}
	return Cursor{Header: Header{Trainer: trainer, Name: name, Digest: digest, Samples: int(samples)}, taken: taken}, nil
}

func readString(r *bytes.Reader) (string, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil || n > uint64(r.Len()) {
		return "", ErrInvalidCursor
	}
	text := make([]byte, n)
	_, err = io.ReadFull(r, text)
	return string(text), err
}
