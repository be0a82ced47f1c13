package runner

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/batches/batch"
	"woodworks/internal/requests/eventstream"
)

// text is what an owner has of an item's text.
type text struct {
	// events are the data of the events so far; lastEvent is the last one's id.
	events    [][]byte
	lastEvent int64
	hasEvent  bool
	// versions are those of the weights that made the events.
	versions []int64
	// checkpointed is how many of the events are in the journal.
	checkpointed int
}

// receivedEvent is an event with the version of the weights that made it.
type receivedEvent struct {
	event   eventstream.Event
	version int64
	// singleVersion says that a text must be of one version.
	singleVersion bool
}

// append adds an event. Events come in order without gaps, and each was made by a version that
// the batch allows.
func (t *text) append(e receivedEvent, minVersion int64) error {
	event, version := e.event, e.version
	if !event.HasID || (t.hasEvent && event.ID != t.lastEvent+1) {
		return errors.Errorf("event %d after %d", event.ID, t.lastEvent)
	}
	if version < minVersion {
		return errTooOld
	}
	if e.singleVersion && len(t.versions) > 0 && t.versions[0] != version {
		*t = text{} // it begins anew
		return errors.New("version changed within a text of one version")
	}
	t.events = append(t.events, event.Data)
	t.lastEvent, t.hasEvent = event.ID, true
	if version > 0 && !slices.Contains(t.versions, version) {
		t.versions = append(t.versions, version)
	}
	return nil
}

// resumeFrom begins the text with what an owner before has checkpointed, if there is something.
func (t *text) resumeFrom(partial batch.Partial) {
	if len(partial.Events) == 0 {
		return
	}
	t.events = slices.Clone(partial.Events)
	t.checkpointed = len(partial.Events)
	t.lastEvent, t.hasEvent = partial.LastEvent, true
	t.versions = slices.Clone(partial.Versions)
}

// appendEvent adds an event to the item's text. The first one of an attempt ends the phase of the
// prompt.
func (it *item) appendEvent(e receivedEvent, minVersion int64) error {
	if err := it.text.append(e, minVersion); err != nil {
		return err
	}
	if it.timing.phase == phasePrompt {
		it.timing.enter(phaseGenerating, time.Now())
	}
	return nil
}

// flushBuffered adds the buffered events. An error says that the attempt under way cannot
// go on.
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

func (it *item) stopBuffering() { it.buffering, it.buffered = false, nil }
