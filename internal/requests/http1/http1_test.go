package http1

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// read returns the response to a request with the given method that sent begins with, and its body.
func read(method, sent string) (resp *Response, body string, err error) {
	resp, err = ReadResponse(bufio.NewReader(strings.NewReader(sent)), method)
	if err != nil {
		return nil, "", err
	}
	content, err := io.ReadAll(resp.Body)
	return resp, string(content), err
}

// What the grammar allows, with the body that it has.
var sound = []struct {
	name, sent, body string
	length           int64
	close            bool
}{
	{"length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodymore", "body", 4, false},
	{"no bytes", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nmore", "", 0, false},
	{"length twice", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody", "body", 4, false},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nbo\r\n02;a=b\r\ndy\r\n0\r\n\r\nmore", "body", -1, false},
	{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n", "body", -1, false},
	{"until close", "HTTP/1.1 200 OK\r\n\r\nbody", "body", -1, true},
	{"version 1.0", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", "body", 4, true},
	{"version 1.0 kept", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\nbody", "body", 4, false},
	{"closed", "HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 4\r\n\r\nbody", "body", 4, true},
	{"no reason", "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nbody", "body", 4, false},
	{"long reason", "HTTP/1.1 200 it is \t all right\x80\r\nContent-Length: 4\r\n\r\nbody", "body", 4, false},
	{"blanks in values", "HTTP/1.1 200 OK\r\nX-A: \t b c\t \r\nContent-Length:4\r\n\r\nbody", "body", 4, false},
	{"empty value", "HTTP/1.1 200 OK\r\nX-A:\r\nContent-Length: 4\r\n\r\nbody", "body", 4, false},
	{"all name characters", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: a\r\nContent-Length: 4\r\n\r\nbody", "body", 4, false},
	{"204", "HTTP/1.1 204 No Content\r\n\r\nmore", "", 0, false},
	{"204 with length 0", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\nmore", "", 0, false},
	{"304 with length", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\nmore", "", 0, false},
	{"100", "HTTP/1.1 100 Continue\r\n\r\nmore", "", 0, false},
	{"599", "HTTP/1.1 599 Own\r\nContent-Length: 4\r\n\r\nbody", "body", 4, false},
}

func TestSoundResponses(t *testing.T) {
	for _, c := range sound {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			resp, body, err := read(http.MethodGet, c.sent)
			is.NoErr(err)
			is.Equal(body, c.body)
			is.Equal(resp.Body.Length(), c.length)
			is.Equal(resp.Close, c.close)
			is.NoErr(Check(resp.Status, resp.Header))
		})
	}
}

const length4 = "Content-Length: 4\r\n"

// Heads that the grammar does not allow, without the empty line that ends them.
var malformedHeads = map[string]string{
	"nothing":                       "\r\n",
	"blank before":                  " HTTP/1.1 200 OK\r\n" + length4,
	"line before":                   "\r\nHTTP/1.1 200 OK\r\n" + length4,
	"other protocol":                "ICY 200 OK\r\n" + length4,
	"lower case":                    "http/1.1 200 OK\r\n" + length4,
	"version 2.0":                   "HTTP/2.0 200 OK\r\n" + length4,
	"version 1":                     "HTTP/1 200 OK\r\n" + length4,
	"version 1.10":                  "HTTP/1.10 200 OK\r\n" + length4,
	"no status":                     "HTTP/1.1\r\n" + length4,
	"empty status":                  "HTTP/1.1  OK\r\n" + length4,
	"two blanks":                    "HTTP/1.1  200 OK\r\n" + length4,
	"status alone":                  "HTTP/1.1 200\r\n" + length4,
	"short status":                  "HTTP/1.1 20 OK\r\n" + length4,
	"long status":                   "HTTP/1.1 2000 OK\r\n" + length4,
	"signed status":                 "HTTP/1.1 +20 OK\r\n" + length4,
	"status 000":                    "HTTP/1.1 000 OK\r\n" + length4,
	"status 099":                    "HTTP/1.1 099 OK\r\n" + length4,
	"status 600":                    "HTTP/1.1 600 OK\r\n" + length4,
	"status 999":                    "HTTP/1.1 999 OK\r\n" + length4,
	"tab in status line":            "HTTP/1.1\t200 OK\r\n" + length4,
	"control byte in reason":        "HTTP/1.1 200 O\x00K\r\n" + length4,
	"carriage return in reason":     "HTTP/1.1 200 O\rK\r\n" + length4,
	"status line without CR":        "HTTP/1.1 200 OK\n" + length4,
	"field without CR":              "HTTP/1.1 200 OK\r\nX-A: b\n" + length4,
	"line feed in name":             "HTTP/1.1 200 OK\r\nX-\nA: b\r\n" + length4,
	"no colon":                      "HTTP/1.1 200 OK\r\nX-A\r\n" + length4,
	"no name":                       "HTTP/1.1 200 OK\r\n: b\r\n" + length4,
	"blank before colon":            "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n",
	"tab before colon":              "HTTP/1.1 200 OK\r\nContent-Length\t: 4\r\n",
	"blank in name":                 "HTTP/1.1 200 OK\r\nContent Length: 4\r\n",
	"blank in name of chunks":       "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"folded":                        "HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n" + length4,
	"blank before first field":      "HTTP/1.1 200 OK\r\n X-A: b\r\n" + length4,
	"control byte in name":          "HTTP/1.1 200 OK\r\nX-\x01A: b\r\n" + length4,
	"DEL in name":                   "HTTP/1.1 200 OK\r\nX-\x7fA: b\r\n" + length4,
	"high byte in name":             "HTTP/1.1 200 OK\r\nX-\x80A: b\r\n" + length4,
	"separator in name":             "HTTP/1.1 200 OK\r\nX(A): b\r\n" + length4,
	"control byte in value":         "HTTP/1.1 200 OK\r\nX-A: b\x00c\r\n" + length4,
	"DEL in value":                  "HTTP/1.1 200 OK\r\nX-A: b\x7fc\r\n" + length4,
	"carriage return in value":      "HTTP/1.1 200 OK\r\nX-A: b\rc\r\n" + length4,
	"two lengths":                   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n",
	"list of lengths":               "HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n",
	"empty length":                  "HTTP/1.1 200 OK\r\nContent-Length:\r\n",
	"signed length":                 "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n",
	"negative length":               "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n",
	"hexadecimal length":            "HTTP/1.1 200 OK\r\nContent-Length: 0x4\r\n",
	"length over 63 bits":           "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808\r\n",
	"length and chunks":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + length4,
	"chunks in version 1.0":         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	"other coding":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
	"two codings":                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
	"chunks twice":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	"empty coding":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n",
	"chunks of 204":                 "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n",
	"length of 204":                 "HTTP/1.1 204 No Content\r\n" + length4,
	"length of 100":                 "HTTP/1.1 100 Continue\r\n" + length4,
	"more than fits into a section": "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", MaxSectionBytes) + "\r\n" + length4,
}

// Guards against bytes that are no head being taken for one, whatever another reader makes of them.
func TestMalformedHeads(t *testing.T) {
	for name, head := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := read(http.MethodGet, head+"\r\nbody")
			is.True(errors.Is(err, ErrMalformed))
			is.True(len(err.Error()) < 400)
		})
	}
}

// Guards against a body that does not end as its head says being taken for whole.
func TestMalformedBodies(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, sent := range map[string]string{
		"size with a blank":       chunked + "4 4\r\nbody\r\n0\r\n\r\n",
		"size with a prefix":      chunked + "0x4\r\nbody\r\n0\r\n\r\n",
		"signed size":             chunked + "+4\r\nbody\r\n0\r\n\r\n",
		"empty size":              chunked + "\r\nbody\r\n0\r\n\r\n",
		"size without CR":         chunked + "4\nbody\r\n0\r\n\r\n",
		"chunk without end":       chunked + "4\r\nbody0\r\n\r\n",
		"chunk with LF":           chunked + "4\r\nbody\n0\r\n\r\n",
		"trailer without CR":      chunked + "4\r\nbody\r\n0\r\nX-A: b\n\r\n",
		"end without CR":          chunked + "4\r\nbody\r\n0\r\n\n",
		"blank in a trailer":      chunked + "4\r\nbody\r\n0\r\nX A: b\r\n\r\n",
		"control byte in trailer": chunked + "4\r\nbody\r\n0\r\nX\x01A: b\r\n\r\n",
		"trailer without colon":   chunked + "4\r\nbody\r\n0\r\nbody\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := read(http.MethodGet, sent)
			is.True(err != nil)
		})
	}
}

// Guards against a response that stops anywhere, in its head, its body or its trailers, being taken for
// whole. Only the close of the connection ends a body without a length or chunks.
func TestResponsesThatStopAreIncomplete(t *testing.T) {
	for _, c := range sound {
		is := is.New(t)
		end := len(c.sent) - len("more")
		if !strings.HasSuffix(c.sent, "more") {
			end = len(c.sent)
		}
		head := strings.Index(c.sent, "\r\n\r\n") + 4
		for cut := range end {
			resp, _, err := read(http.MethodGet, c.sent[:cut])
			if cut >= head && resp != nil && resp.Body.UntilClose() {
				continue
			}
			is.True(errors.Is(err, io.ErrUnexpectedEOF)) // a cut is no malformed response
		}
	}
}

// The response to HEAD has no body, whatever its head says.
func TestResponseToHeadHasNoBody(t *testing.T) {
	for _, field := range []string{length4, "Transfer-Encoding: chunked\r\n", ""} {
		is := is.New(t)
		resp, body, err := read(http.MethodHead, "HTTP/1.1 200 OK\r\n"+field+"\r\nmore")
		is.NoErr(err)
		is.Equal(body, "")
		is.True(!resp.Close)
	}
}

// Another reader keeps what it should not have accepted.
func TestCheckOfAnotherReadersResponse(t *testing.T) {
	is := is.New(t)
	refused := 0
	for _, head := range malformedHeads {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+"\r\nbody")), nil)
		if err == nil && Check(resp.StatusCode, resp.Header) != nil {
			refused++
		}
	}
	is.True(refused > 0)
	is.True(errors.Is(Check(http.StatusOK, http.Header{"X A": {"b"}}), ErrMalformed))
	is.True(errors.Is(Check(99, http.Header{}), ErrMalformed))
	is.NoErr(Check(http.StatusOK, http.Header{"X-A": {"b"}}))
}
