package holding

import "io"

const (
	// initialBytes is the first size of a buffer for a source that does not announce its
	// length, and the largest first size for one that does: who announces much must send
	// some of it before memory is set aside.
	initialBytes    = 4 << 10
	maxInitialBytes = 64 << 10
	// announcedDivisor is the part, one in so many, that must have come of an announced
	// length before room for all of it is taken at once.
	announcedDivisor = 16
)

// ReserveFunc asks for n more bytes, and reports whether they may be held.
type ReserveFunc func(n int64) bool

// Read reads a source to its end into one slice, of which it holds no more than most bytes.
// Announced is the length that the source tells, below 0 if it tells none. It is not whole
// if the source has more than most bytes, or more than there is room for; then the source
// can be read further. What was taken and isn't part of the slice is given back.
func (a *Account) Read(share Category, source io.Reader, announced, most int64, room ReserveFunc) (read []byte, whole bool, err error) {
	for {
		if len(read) == cap(read) {
			size := min(nextSize(int64(len(read)), announced), most)
			if size <= int64(len(read)) || !room(size) {
				return read, false, nil
			}
			grown := make([]byte, len(read), size)
			copy(grown, read)
			a.Release(share, int64(cap(read)))
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

// nextSize is the size of the buffer that follows one that is full. There is room for a
// byte beyond the announced length, as the end of a source may come after its last byte.
func nextSize(full, announced int64) int64 {
	whole := announced + 1
	switch {
	case announced < 0 || whole <= full:
		return max(2*full, initialBytes)
	case full == 0:
		return min(whole, maxInitialBytes)
	case full >= whole/announcedDivisor:
		return whole
	default:
		return min(2*full, whole)
	}
}
