// Package eventstream reads a text/event-stream one whole event at a time. It keeps the raw
// bytes, so that an event can be passed on as it came, and tells the stream's proper end from a
// cut.
//
// # Usage
//
//	event, err := reader.Next() // io.EOF at the proper end
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Errors of a stream.
var (
	// ErrTruncated: the stream ended within an event or before its connection's
	// framing said so.
	ErrTruncated = errors.New("event stream: cut off")
	// ErrMalformed: the bytes are no event.
	ErrMalformed = errors.New("event stream: malformed event")
)

// maxEventBytes bounds an event, in bytes, where one of its lines fills the buffer.
const maxEventBytes = 4 << 20

// Event is one whole event.
type Event struct {
	// Raw are the bytes of the event with the blank line after it.
	Raw []byte
	// ID is the event's number; HasID says whether it has one.
	ID    int64
	HasID bool
	Data  []byte
	// Version is the version of the weights from this event on, or 0 if the
	// event names none.
	Version int64
}

// Reader reads events.
type Reader struct {
	source        *bufio.Reader
	versionPrefix string
}

// NewReader reads from source; versionField is the name of the line in which
// an event tells a change of version.
func NewReader(source io.Reader, versionField string) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, 4<<10), versionPrefix: strings.ToLower(versionField) + ":"}
}

// Next returns the next event, io.EOF at the stream's proper end, or an error.
func (r *Reader) Next() (Event, error) {
	var event Event
	dataSeen := false
	for {
		line, err := r.readLine(maxEventBytes - len(event.Raw))
		if err == io.EOF && len(line) == 0 && len(event.Raw) == 0 {
			return Event{}, io.EOF
		}
		if err == io.EOF {
			return Event{}, ErrTruncated
		}
		if err != nil {
			return Event{}, err
		}
		event.Raw = append(event.Raw, line...)
		text := bytes.TrimRight(line, "\r\n")
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

// readLine returns the next line with its end, valid until the next read. A line that fills
// the buffer must have no more than room bytes. With io.EOF comes what there is of a line.
func (r *Reader) readLine(room int) ([]byte, error) {
	line, err := r.source.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > room {
			return nil, ErrMalformed
		}
		line, err = r.source.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

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
		return errors.Wrap(ErrMalformed, line)
	}
	return nil
}
