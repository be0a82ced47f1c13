package holding

import "io"

const (
	// initialBytes is the initial buffer size for a source that does not announce its length.
	// maxInitialBytes is the largest initial size for one that does, since a client must not make
	// the daemon allocate memory by an announcement alone.
	initialBytes    = 4 << 10
	maxInitialBytes = 64 << 10
	// announcedDivisor sets how much of an announced length must have been received before the
	// whole length is reserved: the length divided by it.
	announcedDivisor = 16
)

// ReserveFunc reports whether n more bytes may be held, and if so reserves them.
type ReserveFunc func(n int64) bool

// Read reads a source to its end into one slice of at most maxBytes bytes. announced is the length
// that the source announces, negative if unknown. whole is false if the source has more than
// maxBytes bytes or more than could be reserved; the rest can then be read from the source. The
// capacity of the returned slice stays reserved in the category; everything else that was reserved
// is released. On an error, read holds what was received before it.
func (a *Account) Read(category Category, source io.Reader, announced, maxBytes int64, reserve ReserveFunc) (read []byte, whole bool, err error) {
	for {
		if len(read) == cap(read) {
			size := min(nextSize(int64(len(read)), announced), maxBytes)
			if size <= int64(len(read)) || !reserve(size) {
				return read, false, nil
			}
			grown := make([]byte, len(read), size)
			copy(grown, read)
			a.Release(category, int64(cap(read)))
			read = grown
		}
		n, err := source.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		if err == io.EOF {
			return read, true, nil
		}
		if err != nil {
			return read, false, err
		}
	}
}

// nextSize returns the size of the buffer that follows a full one. It leaves room for a byte beyond
// the announced length, since a source may report its end only after its last byte.
func nextSize(full, announced int64) int64 {
	total := announced + 1
	switch {
	case announced < 0 || total <= full:
		return max(2*full, initialBytes)
	case full == 0:
		return min(total, maxInitialBytes)
	case full >= total/announcedDivisor:
		return total
	default:
		return min(2*full, total)
	}
}
