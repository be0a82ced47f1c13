package upstream

import (
	"io"
	"math"

	"github.com/pkg/errors"
)

// errTooLong is returned when a peer sends more than limitedReader may read.
var errTooLong = errors.New("upstream: too many bytes")

// unlimited is a limit that no peer reaches.
const unlimited = math.MaxInt64

// limitedReader reads from a connection up to a number of bytes, which its user sets anew for each
// part of an answer.
type limitedReader struct {
	source io.Reader
	left   int64
	// err is the last error of the source, as opposed to the limit.
	err error
}

// Read implements io.Reader.
func (l *limitedReader) Read(buf []byte) (int, error) {
	if l.left <= 0 {
		return 0, errTooLong
	}
	count, err := l.source.Read(buf[:min(int64(len(buf)), l.left)])
	l.left -= int64(count)
	l.err = err
	return count, err
}
