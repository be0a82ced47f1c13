// Package http1 reads HTTP/1.1 responses, and accepts only what the grammar of RFC 9112 allows.
//
// It is used instead of net/http's reader, which accepts more: any status of three digits, blanks in the
// name of a field, lines that end without a carriage return, fields that contradict each other on where
// the body ends. With a peer that sends such bytes, a reader that guesses takes bytes for an answer that
// the peer never gave. The package decides for all readers of responses what is one. It holds no state.
//
// # Usage
//
//	resp, err := http1.ReadResponse(reader, http.MethodGet)
//	if errors.Is(err, http1.ErrMalformed) { ... the bytes are no response ... }
//	body, err := io.ReadAll(resp.Body)
package http1

import (
	"bufio"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that bytes do not follow the grammar, or that a head or trailer section is too long.
var ErrMalformed = errors.New("http1: malformed response")

const (
	// MaxSectionBytes bounds the head of a response, and its trailer section.
	MaxSectionBytes = 64 << 10
	// maxQuotedBytes bounds what an error quotes of the bytes that a peer has chosen.
	maxQuotedBytes = 60
	// minStatus and maxStatus are the smallest and the largest status.
	minStatus, maxStatus = 100, 599
)

// Response is a response of which the head has been read.
type Response struct {
	// Status is from 100 to 599.
	Status int
	// Header has canonical names. It lacks Transfer-Encoding, which is not part of the message.
	Header http.Header
	// Body is never nil. It must be read to its end before the next response of the connection.
	Body *Body
	// Close means that the peer closes the connection after the response.
	Close bool
}

// ReadResponse reads the head of a response to a request with the given method. A 1xx response is returned
// as any other. The error wraps ErrMalformed, or is that of the reader; the end of the reader is
// io.ErrUnexpectedEOF.
func ReadResponse(r *bufio.Reader, method string) (*Response, error) {
	lines, err := readSection(r)
	if err != nil {
		return nil, err
	}
	if len(lines) == 0 {
		return nil, malformed("status line", "")
	}
	minor, status, err := parseStatusLine(lines[0])
	if err != nil {
		return nil, err
	}
	header, err := parseFields(lines[1:])
	if err != nil {
		return nil, err
	}
	f, err := framingOf(minor, status, header)
	if err != nil {
		return nil, err
	}
	header.Del("Transfer-Encoding")
	if method == http.MethodHead || !mayHaveBody(status) {
		f = framing{}
	}
	return &Response{Status: status, Header: header, Body: newBody(r, f), Close: f.untilClose || closes(minor, header)}, nil
}

// Check returns an error that wraps ErrMalformed if a response that another reader has accepted has a
// status that is none, or a field that the grammar does not allow.
func Check(status int, header http.Header) error {
	if err := checkStatus(status); err != nil {
		return err
	}
	for name, values := range header {
		for _, value := range values {
			if err := checkField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

func malformed(what, quoted string) error {
	return errors.Wrapf(ErrMalformed, "%s %q", what, quoted[:min(len(quoted), maxQuotedBytes)])
}

func checkStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return malformed("status", strconv.Itoa(status))
	}
	return nil
}

func checkField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return malformed("field name", name)
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return malformed("field value", value)
	}
	return nil
}

// readSection reads lines up to an empty one, and returns them without their ends.
func readSection(r *bufio.Reader) ([]string, error) {
	var lines []string
	left := MaxSectionBytes
	for {
		line, err := readLine(r, &left)
		if err != nil {
			return nil, err
		}
		if line == "" {
			return lines, nil
		}
		lines = append(lines, line)
	}
}

// readLine reads a line of up to *left bytes, which it subtracts, and returns it without its end.
func readLine(r *bufio.Reader, left *int) (string, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		*left -= len(part)
		switch {
		case *left < 0:
			return "", malformed("section too long", string(line[:min(len(line), maxQuotedBytes)]))
		case err == nil:
			text, ok := strings.CutSuffix(string(line), "\r\n")
			if !ok {
				return "", malformed("end of line", string(line))
			}
			return text, nil
		case err == io.EOF:
			return "", io.ErrUnexpectedEOF
		case !errors.Is(err, bufio.ErrBufferFull):
			return "", err
		}
	}
}

// parseStatusLine parses "HTTP/1.1 200 OK". The reason may be empty, the blank before it may not be missing.
func parseStatusLine(line string) (minor, status int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, ok := strings.Cut(rest, " ")
	digit, isHTTP1 := strings.CutPrefix(version, "HTTP/1.")
	if !ok || !isHTTP1 || len(digit) != 1 || !isDigits(digit) || len(code) != 3 || !isDigits(code) || !httpguts.ValidHeaderFieldValue(reason) {
		return 0, 0, malformed("status line", line)
	}
	status, _ = strconv.Atoi(code) // three digits
	return int(digit[0] - '0'), status, checkStatus(status)
}

func isDigits(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}

// parseFields parses the lines of a head or of a trailer section.
func parseFields(lines []string) (http.Header, error) {
	header := make(http.Header, len(lines))
	for _, line := range lines {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return nil, malformed("field", line)
		}
		if err := checkField(name, value); err != nil {
			return nil, err
		}
		name = textproto.CanonicalMIMEHeaderKey(name)
		header[name] = append(header[name], textproto.TrimString(value))
	}
	return header, nil
}

// closes reports whether the peer closes the connection after a response with the given header.
func closes(minor int, header http.Header) bool {
	options := header["Connection"]
	if minor == 0 {
		return !httpguts.HeaderValuesContainsToken(options, "keep-alive")
	}
	return httpguts.HeaderValuesContainsToken(options, "close")
}

// mayHaveBody reports whether responses with the status have a body.
func mayHaveBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
