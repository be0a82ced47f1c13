package http1

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
)

// framing says where a body ends. The zero value is that of a response without a body.
type framing struct {
	length     int64
	chunked    bool
	untilClose bool
}

// framingOf returns where the body of a response ends by its head. Fields that contradict each other or the
// status are malformed.
func framingOf(minor, status int, header http.Header) (framing, error) {
	lengths, codings := header["Content-Length"], header["Transfer-Encoding"]
	if len(codings) > 0 {
		coding := strings.Join(codings, ", ")
		bodiless := status < http.StatusOK || status == http.StatusNoContent
		if !strings.EqualFold(coding, "chunked") || minor == 0 || len(lengths) > 0 || bodiless {
			return framing{}, malformed("transfer encoding", coding)
		}
		return framing{chunked: true}, nil
	}
	if len(lengths) == 0 {
		return framing{untilClose: true}, nil
	}
	length, err := parseLength(lengths)
	if err == nil && length > 0 && (status < http.StatusOK || status == http.StatusNoContent) {
		err = malformed("length of a response without a body", lengths[0])
	}
	return framing{length: length}, err
}

// parseLength returns the length that all values state.
func parseLength(values []string) (int64, error) {
	for _, value := range values {
		if value != values[0] || !isDigits(value) {
			return 0, malformed("length", strings.Join(values, ", "))
		}
	}
	length, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil {
		return 0, malformed("length", values[0])
	}
	return length, nil
}

// Body is the body of a response. It is read from the reader of the response.
type Body struct {
	framing framing
	reader  *bufio.Reader
	// content decodes the body from reader.
	content io.Reader
	// err is the error of the last Read, if any.
	err error
}

func newBody(r *bufio.Reader, f framing) *Body {
	b := &Body{framing: f, reader: r}
	switch {
	case f.chunked:
		b.content = httputil.NewChunkedReader(r)
	case f.untilClose:
		b.content = r
	default:
		b.content = &io.LimitedReader{R: r, N: f.length}
	}
	return b
}

// Length returns the length of the body in bytes, or -1 if the peer has not announced it.
func (b *Body) Length() int64 {
	if b.framing.chunked || b.framing.untilClose {
		return -1
	}
	return b.framing.length
}

// UntilClose reports whether only the end of the reader ends the body. It is complete then if the peer has
// closed the connection, which the reader of a connection that was reset may not tell.
func (b *Body) UntilClose() bool { return b.framing.untilClose }

// Read implements io.Reader. The error is io.EOF only at the end of a complete body, including a sound
// trailer section, which is not kept. It is io.ErrUnexpectedEOF if the reader ends before.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.content.Read(p)
	if err == io.EOF && n > 0 && b.framing.chunked {
		return n, nil // the trailer section may be late
	}
	if err == io.EOF {
		err = b.end()
	}
	if limited, ok := b.content.(*io.LimitedReader); ok && err == nil && limited.N == 0 {
		err = io.EOF
	}
	b.err = err
	return n, err
}

// end returns io.EOF if the body is complete where its content has ended.
func (b *Body) end() error {
	if limited, ok := b.content.(*io.LimitedReader); ok && limited.N > 0 {
		return io.ErrUnexpectedEOF
	}
	if !b.framing.chunked {
		return io.EOF
	}
	lines, err := readSection(b.reader)
	if err != nil {
		return err
	}
	if _, err := parseFields(lines); err != nil {
		return err
	}
	return io.EOF
}
