package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
)

// readCounted returns a response and its body, and how many bytes of sent they took.
func readCounted(method string, sent []byte) (resp *Response, body []byte, taken int, err error) {
	source := bytes.NewReader(sent)
	r := bufio.NewReader(source)
	resp, err = ReadResponse(r, method)
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	return resp, body, len(sent) - source.Len() - r.Buffered(), err
}

// FuzzReadResponse compares what a caller is given with what was sent: of bytes that are accepted, net/http
// makes the same response, each field stands in a line of its own, and no part of them is a whole response.
func FuzzReadResponse(f *testing.F) {
	for _, c := range sound {
		f.Add([]byte(c.sent), false)
	}
	for _, head := range malformedHeads {
		f.Add([]byte(head[:min(len(head), 200)]+"\r\nbody"), false)
	}
	f.Add([]byte(sound[0].sent), true)
	f.Fuzz(func(t *testing.T, sent []byte, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		resp, body, taken, err := readCounted(method, sent)
		if err != nil {
			return
		}
		checkLines(t, sent, resp)
		checkAgainstLibrary(t, method, sent, resp, body)
		if resp.Body.UntilClose() {
			return
		}
		for _, cut := range []int{taken - 1, taken / 2, taken / 3} {
			if _, _, _, err := readCounted(method, sent[:cut]); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("%q, cut after %d of %d bytes: %v", sent, cut, taken, err)
			}
		}
	})
}

// checkLines checks that the lines of the head are the status and the fields of a response, and nothing else.
func checkLines(t *testing.T, sent []byte, resp *Response) {
	text, _, _ := strings.Cut(string(sent), "\r\n\r\n")
	lines := strings.Split(text, "\r\n")
	if strings.ContainsAny(strings.Join(lines, ""), "\r\n\x00") {
		t.Fatalf("a line of %q holds a control byte", text)
	}
	fields := 0
	for _, values := range resp.Header {
		fields += len(values)
	}
	for _, line := range lines[1:] {
		if name, _, _ := strings.Cut(line, ":"); strings.EqualFold(name, "Transfer-Encoding") {
			fields++
		}
	}
	if fields != len(lines)-1 {
		t.Fatalf("%d fields in %q", fields, text)
	}
}

// checkAgainstLibrary checks that net/http reads the same response.
func checkAgainstLibrary(t *testing.T, method string, sent []byte, resp *Response, body []byte) {
	if len(resp.Header["Trailer"]) > 0 {
		return // net/http refuses some names there
	}
	theirs, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(sent)), &http.Request{Method: method})
	if err != nil {
		t.Fatalf("%q: net/http: %v", sent, err)
	}
	content, err := io.ReadAll(theirs.Body)
	if err != nil || !bytes.Equal(content, body) {
		t.Fatalf("%q: body %q, by net/http %q, %v", sent, body, content, err)
	}
	want := resp.Header.Clone()
	for _, name := range []string{"Cache-Control", "Connection", "Content-Length"} { // which net/http changes
		delete(theirs.Header, name)
		delete(want, name)
	}
	if theirs.StatusCode != resp.Status || len(want) > 0 && !reflect.DeepEqual(theirs.Header, want) {
		t.Fatalf("%q: %d %q, by net/http %d %q", sent, resp.Status, want, theirs.StatusCode, theirs.Header)
	}
}
