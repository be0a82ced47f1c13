package upstream

import "io"

// source reads from a connection, and keeps the error of its last Read: other errors of an answer are those
// of its bytes.
type source struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (s *source) Read(buf []byte) (int, error) {
	count, err := s.Reader.Read(buf)
	s.err = err
	return count, err
}
