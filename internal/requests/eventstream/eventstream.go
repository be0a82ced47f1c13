// Package eventstream parses a text/event-stream into whole events. It keeps the raw bytes of
// each event, so that a relay can forward them unchanged, and distinguishes the regular end of
// a stream from a truncated one.
//
// # Usage
//
//	event, err := reader.Next() // io.EOF at the regular end
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Errors returned by Reader.Next.
var (
	// ErrTruncated is returned if the source ends within an event.
	ErrTruncated = errors.New("event stream: cut off")
	// ErrMalformed is returned for an id or a version that is not a number, and for an event
	// that is too long.
	ErrMalformed = errors.New("event stream: malformed event")
)

const (
	// maxEventBytes bounds the size of an event, including lines that are ignored. An event holds a
	// few tokens.
	maxEventBytes = 2 << 20
	// maxErrorBytes bounds the text of a malformed line in an error.
	maxErrorBytes = 200
)

// Event is one complete event.
type Event struct {
	// Raw is the event as received, including the blank line that ends it.
	Raw []byte
	// ID is the number in the event's id field. HasID reports whether the event has one.
	ID    int64
	HasID bool
	// Data is the content of the data fields, joined by newlines.
	Data []byte
	// Version is the version of the weights from this event on, or 0 if the event has no
	// version field.
	Version int64
}

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	source        *bufio.Reader
	versionPrefix string
}

// NewReader returns a reader of source. VersionField is the name of the field that announces a
// new version of the weights; events must spell it in lower case, whatever the case of
// versionField.
func NewReader(source io.Reader, versionField string) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, 4<<10), versionPrefix: strings.ToLower(versionField) + ":"}
}

// Next returns the next event that has an id or data; others are skipped. It returns io.EOF at
// the regular end of the stream, and otherwise ErrTruncated, ErrMalformed or the error of the
// source.
func (r *Reader) Next() (Event, error) {
	var event Event
	dataSeen := false
	for {
		begin := len(event.Raw)
		err := r.readLine(&event)
		if err == io.EOF && len(event.Raw) == 0 {
			return Event{}, io.EOF
		}
		if err == io.EOF {
			return Event{}, ErrTruncated
		}
		if err != nil {
			return Event{}, err
		}
		text := bytes.TrimRight(event.Raw[begin:], "\r\n")
		if len(text) == 0 {
			if !dataSeen && !event.HasID {
				event = Event{}
				continue
			}
			return event, nil
		}
		if err := r.parseField(&event, text, &dataSeen); err != nil {
			return Event{}, err
		}
	}
}

// readLine appends the next line including its end to event.Raw. It returns ErrMalformed if the
// event then exceeds maxEventBytes. At io.EOF it also appends the bytes of an unterminated line.
func (r *Reader) readLine(event *Event) error {
	for {
		part, err := r.source.ReadSlice('\n')
		if len(event.Raw)+len(part) > maxEventBytes {
			return errors.Wrap(ErrMalformed, "too long")
		}
		event.Raw = append(event.Raw, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// parseField adds one line to the event and sets dataSeen if it is a data field. Unknown fields
// and comments are ignored.
func (r *Reader) parseField(event *Event, text []byte, dataSeen *bool) (err error) {
	line := string(text)
	if data, ok := strings.CutPrefix(line, "data:"); ok {
		if *dataSeen {
			event.Data = append(event.Data, '\n')
		}
		event.Data = append(event.Data, strings.TrimPrefix(data, " ")...)
		*dataSeen = true
	} else if id, ok := strings.CutPrefix(line, "id:"); ok {
		event.ID, err = strconv.ParseInt(strings.TrimSpace(id), 10, 64)
		event.HasID = err == nil
	} else if version, ok := strings.CutPrefix(line, r.versionPrefix); ok {
		event.Version, err = strconv.ParseInt(strings.TrimSpace(version), 10, 64)
	}
	if err != nil {
		return errors.Wrap(ErrMalformed, line[:min(len(line), maxErrorBytes)])
	}
	return nil
}
