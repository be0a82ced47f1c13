package eventstream

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"woodworks/internal/daemon/testseed"
)

func init() { testseed.Fix() }

const versionField = "X-Weights"

// readAll returns the events of a stream and the error that ended it.
func readAll(source io.Reader) ([]Event, error) {
	reader := NewReader(source, versionField)
	var events []Event
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

// Guards against partial events, and against reporting the regular end of a stream that was
// truncated within an event.
func TestOnlyWholeEventsAreReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 6).Draw(t, "count")
		var text strings.Builder
		eventsAt := map[int]int{0: 0}
		for i := 1; i <= count; i++ {
			if rapid.Bool().Draw(t, "names a version") {
				fmt.Fprintf(&text, "x-weights: %d\n", i)
			}
			data := strings.Repeat(rapid.StringMatching(`[a-z]{0,9}`).Draw(t, "data"), rapid.IntRange(1, 2000).Draw(t, "times"))
			fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", i, data)
			eventsAt[text.Len()] = i
		}
		cut := rapid.IntRange(0, text.Len()).Draw(t, "cut")
		events, err := readAll(iotest.OneByteReader(strings.NewReader(text.String()[:cut])))
		want, atBoundary := eventsAt[cut]
		if atBoundary != errors.Is(err, io.EOF) && cut > 0 {
			t.Fatalf("cut at %d of %d: %v", cut, text.Len(), err)
		}
		if atBoundary && len(events) != want {
			t.Fatalf("got %d events, want %d", len(events), want)
		}
		var raw bytes.Buffer
		for i, event := range events {
			raw.Write(event.Raw)
			if event.ID != int64(i+1) {
				t.Fatalf("event %d has id %d", i+1, event.ID)
			}
		}
		if !strings.HasPrefix(text.String(), raw.String()) {
			t.Fatal("the raw bytes differ from the input")
		}
	})
}

// Guards against losing a line of the data or the version, and against accepting an id that is
// not a number.
func TestMultilineDataAndVersion(t *testing.T) {
	is := is.New(t)
	events, err := readAll(strings.NewReader(": comment\n\nx-weights: 7\nid: 3\ndata: a\ndata: b\n\n"))
	is.Equal(err, io.EOF)
	is.Equal(len(events), 1)
	is.Equal(string(events[0].Data), "a\nb")
	is.Equal(events[0].Version, int64(7))
	_, err = readAll(strings.NewReader("id: x\ndata: a\n\n"))
	is.True(errors.Is(err, ErrMalformed))
}

// FuzzNext guards against panics on malformed input.
func FuzzNext(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"))
	f.Fuzz(func(_ *testing.T, text []byte) { _, _ = readAll(bytes.NewReader(text)) })
}

// Guards against repeating the start of a line that is longer than the read buffer.
func TestLongLineIsForwardedUnchanged(t *testing.T) {
	for _, length := range []int{100, 5 << 10, 9 << 10, 40 << 10, 1 << 20} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			is := is.New(t)
			text := "id: 1\ndata: " + strings.Repeat("x", length) + "\n\n"
			events, err := readAll(strings.NewReader(text))
			is.Equal(err, io.EOF)
			is.Equal(len(events), 1)
			is.Equal(len(events[0].Data), length)
			is.Equal(len(events[0].Raw), len(text))
			is.True(string(events[0].Raw) == text)
		})
	}
}

// endlessReader repeats a text without end, and counts what was read.
type endlessReader struct {
	text string
	read int
}

// Read implements io.Reader.
func (r *endlessReader) Read(buf []byte) (int, error) {
	for i := range buf {
		buf[i] = r.text[(r.read+i)%len(r.text)]
	}
	r.read += len(buf)
	return len(buf), nil
}

// Guards against an event without end, of one line or of many, that is kept in memory.
func TestAnEventWithoutEndIsMalformed(t *testing.T) {
	for name, text := range map[string]string{"line": "x", "data lines": "data: x\n", "comments": ":\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			source := &endlessReader{text: text}
			_, err := readAll(source)
			is.True(errors.Is(err, ErrMalformed))
			is.True(source.read <= maxEventBytes+8<<10)
		})
	}
}

// An error must not carry a malformed line of any length into the logs.
func TestErrorsOfMalformedLinesAreShort(t *testing.T) {
	is := is.New(t)
	_, err := readAll(strings.NewReader("id: " + strings.Repeat("x", 1<<20) + "\n\n"))
	is.True(errors.Is(err, ErrMalformed))
	is.True(len(err.Error()) < 2*maxErrorBytes)
}
