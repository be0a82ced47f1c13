package runner

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/batches/batch"
	"woodworks/internal/requests/eventstream"
)

// maxTextBytes bounds the text of an item, so that a replica that sends events without end can't
// exhaust the memory. A text is listed whole, and a page of results is about 1 MB.
const maxTextBytes = 4 << 20

// errTextTooLong says that a replica sent more than the text of an item can be.
var errTextTooLong = errors.New("runner: text too long")

// text is the part of an item's text that this owner has.
type text struct {
	// events is the data of the events so far; lastEvent is the id of the last one.
	events    [][]byte
	lastEvent int64
	hasEvent  bool
	// bytes is the length of all events.
	bytes int
	// versions are the versions of the weights that generated the events.
	versions []int64
	// checkpointed is the number of events that are in the journal.
	checkpointed int
}

// receivedEvent is an event with the version of the weights that generated it.
type receivedEvent struct {
	event   eventstream.Event
	version int64
	// singleVersion says that all events of the text must be of one version.
	singleVersion bool
}

// append adds an event. It returns an error if the event's id does not follow the last one or its
// version is older than minVersion. If the version of a single-version text changes or the text
// becomes too long, append clears the text, which then starts over, and returns an error.
func (t *text) append(e receivedEvent, minVersion int64) error {
	event, version := e.event, e.version
	if !event.HasID || (t.hasEvent && event.ID != t.lastEvent+1) {
		return errors.Errorf("event out of order: %d after %d", event.ID, t.lastEvent)
	}
	if version < minVersion {
		return errTooOld
	}
	if e.singleVersion && len(t.versions) > 0 && t.versions[0] != version {
		*t = text{} // the text starts over
		return errors.New("version changed within a single-version text")
	}
	if t.bytes+len(event.Data) > maxTextBytes {
		*t = text{}
		return errTextTooLong
	}
	t.bytes += len(event.Data)
	t.events = append(t.events, event.Data)
	t.lastEvent, t.hasEvent = event.ID, true
	if version > 0 && !slices.Contains(t.versions, version) {
		t.versions = append(t.versions, version)
	}
	return nil
}

// resumeFrom initializes the text with the checkpoint of an earlier owner, if there is one.
func (t *text) resumeFrom(partial batch.Partial) {
	if len(partial.Events) == 0 {
		return
	}
	t.events = slices.Clone(partial.Events)
	t.checkpointed = len(partial.Events)
	for _, event := range partial.Events {
		t.bytes += len(event)
	}
	t.lastEvent, t.hasEvent = partial.LastEvent, true
	t.versions = slices.Clone(partial.Versions)
}

// appendEvent adds an event to the item's text. The first one of an attempt ends the prompt phase.
func (it *item) appendEvent(e receivedEvent, minVersion int64) error {
	if err := it.text.append(e, minVersion); err != nil {
		return err
	}
	if it.timing.phase == phasePrompt {
		it.timing.enter(phaseGenerating, time.Now())
	}
	return nil
}

// flushBuffered stops buffering and adds the buffered events. After an error the current attempt
// can't continue.
func (it *item) flushBuffered(minVersion int64) error {
	buffered := it.buffered
	it.stopBuffering()
	for _, e := range buffered {
		if err := it.appendEvent(e, minVersion); err != nil {
			return err
		}
	}
	return nil
}

// buffer keeps an event for flushBuffered.
func (it *item) buffer(e receivedEvent) error {
	if it.bufferedBytes += len(e.event.Raw); it.bufferedBytes > maxTextBytes {
		return errTextTooLong
	}
	it.buffered = append(it.buffered, e)
	return nil
}

func (it *item) stopBuffering() { it.buffering, it.buffered, it.bufferedBytes = false, nil, 0 }
