package runner

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"woodworks/internal/batches/batch"
	"woodworks/internal/requests/eventstream"
)

// endlessEvents adds well-formed events until add refuses one, and returns the bytes that it took.
func endlessEvents(add func(receivedEvent) error) (taken int, err error) {
	data := make([]byte, 64<<10)
	for id := int64(1); ; id++ {
		if err := add(receivedEvent{event: eventstream.Event{ID: id, HasID: true, Data: data, Raw: data}}); err != nil {
			return taken, err
		}
		taken += len(data)
	}
}

// A replica that sends events without end must not exhaust the memory. The item starts over, since
// nothing tells which events are of its text.
func TestAnItemWithoutEndStartsOver(t *testing.T) {
	is := is.New(t)
	var it item
	taken, err := endlessEvents(func(e receivedEvent) error { return it.appendEvent(e, 0) })
	is.True(errors.Is(err, errTextTooLong))
	is.Equal(taken, maxTextBytes)
	is.Equal(len(it.events), 0)
	is.True(!it.hasEvent)
	it.resumeFrom(batch.Partial{Events: [][]byte{make([]byte, maxTextBytes)}, LastEvent: 1})
	is.True(errors.Is(it.appendEvent(receivedEvent{event: eventstream.Event{ID: 2, HasID: true, Data: []byte("x")}}, 0), errTextTooLong))
}

// Events that are buffered during a hand-over are bounded as well.
func TestBufferedEventsAreBounded(t *testing.T) {
	is := is.New(t)
	var it item
	taken, err := endlessEvents(it.buffer)
	is.True(errors.Is(err, errTextTooLong))
	is.Equal(taken, maxTextBytes)
	it.stopBuffering()
	is.Equal(it.bufferedBytes, 0)
}
