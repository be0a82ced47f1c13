package batch

import "maps"

// State is the fold of one partition up to an offset.
type State struct {
	batches   map[string]*Batch
	fragments map[string]*fragments
	// next is the offset of the next record.
	next int64
}

// fragments are the parts of one long record seen so far.
type fragments struct {
	// offset is that of the first part.
	offset int64
	next   int
	bytes  []byte
}

// NewState returns the state before the first record.
func NewState() *State { return NewStateAt(0) }

// NewStateAt returns a state that knows nothing of the records before an offset. Of a batch
// it knows all if it begins no later than the batch does, see Batch.Offset.
func NewStateAt(offset int64) *State {
	return &State{batches: map[string]*Batch{}, fragments: map[string]*fragments{}, next: offset}
}

// Skip passes over the records before an offset, which are gone.
func (state *State) Skip(offset int64) { state.next = offset }

// Get returns a batch.
func (state *State) Get(id string) (*Batch, bool) {
	found, ok := state.batches[id]
	return found, ok
}

// All calls visit for each batch.
func (state *State) All(visit func(*Batch)) {
	for _, each := range state.batches {
		visit(each)
	}
}

// Size returns how many batches are known.
func (state *State) Size() int { return len(state.batches) }

// Apply folds the next record. A record that is malformed or not valid in this
// state changes nothing: the same holds for every reader.
func (state *State) Apply(encoded []byte) {
	offset := state.next
	state.next++
	state.apply(encoded, offset)
}

// apply folds a record that begins at an offset.
func (state *State) apply(encoded []byte, offset int64) {
	entry, err := decode(encoded)
	if err != nil {
		return
	}
	if entry.Kind == kindFragment {
		if whole, begins := state.join(entry, offset); whole != nil {
			state.apply(whole, begins)
		}
		return
	}
	if entry.Kind == kindAccepted {
		state.accept(entry, offset)
		return
	}
	if known := state.batches[entry.BatchID]; known != nil {
		known.apply(entry)
	}
}

// join adds a fragment and returns the whole record once it has all parts, with the offset
// of the first one. Parts come in order, as one append is all or nothing and in one piece.
func (state *State) join(entry record, offset int64) (whole []byte, begins int64) {
	parts := state.fragments[entry.Key]
	if parts == nil {
		parts = &fragments{offset: offset}
		state.fragments[entry.Key] = parts
	}
	if entry.Index != parts.next {
		return nil, 0
	}
	parts.bytes = append(parts.bytes, entry.Part...)
	parts.next++
	if parts.next < entry.Count {
		return nil, 0
	}
	delete(state.fragments, entry.Key)
	return parts.bytes, parts.offset
}

// accept makes a batch exist. A second acceptance of the same id is a repeat
// of the first one and changes nothing.
func (state *State) accept(entry record, offset int64) {
	if entry.Submission == nil || entry.Submission.ID != entry.BatchID {
		return
	}
	if _, known := state.batches[entry.BatchID]; known {
		return
	}
	state.batches[entry.BatchID] = &Batch{
		Submission: *entry.Submission,
		Offset:     offset,
		Owner:      entry.Owner,
		Listed:     make([]bool, len(entry.Submission.Items)),
	}
}

func (b *Batch) apply(entry record) {
	switch entry.Kind {
	case kindBeat:
		b.sign(entry)
	case kindProgress:
		if entry.Owner == b.Owner {
			b.sign(entry)
			for _, progress := range entry.Progress {
				b.advance(progress)
			}
		}
	case kindResults:
		before := len(b.Results)
		for _, result := range entry.Results {
			b.list(result)
		}
		if len(b.Results) > before {
			b.Signs++
		}
	case kindTakenOver:
		// A takeover counts only against the owner it names, so that of two
		// at the same time one wins for every reader.
		if entry.From == b.Owner && !b.Ended {
			b.takeOver(entry)
		}
	case kindReleased:
		if entry.From == b.Owner && !b.Ended {
			b.Owner, b.lastSign, b.handedBy = "", 0, entry.From
			b.Handed = make(map[int]bool, len(entry.Handed))
			for _, item := range entry.Handed {
				b.Handed[item] = true
			}
		}
	case kindReturned:
		if entry.From == b.handedBy {
			b.takeBack(entry.Handed)
		}
	case kindEnded:
		if b.BelongsTo(entry.Tenant) {
			b.end()
		}
	}
}

// takeOver replaces the owner. What an owner before had handed over was left to it once:
// one that replaces an owner that did not release the batch does not wait again.
func (b *Batch) takeOver(entry record) {
	if b.Owner != "" {
		b.Handed, b.handedBy = nil, ""
	}
	b.Owner, b.lastSign = entry.Owner, 0
	b.Signs++
}

// takeBack takes items off those that the owner before still finishes.
func (b *Batch) takeBack(items []int) {
	left := maps.Clone(b.Handed)
	for _, item := range items {
		delete(left, item)
	}
	b.Handed = left
}

// sign counts a sign of life of the owner. One that reached the journal late, after
// a newer one, says nothing: its owner may have ended since. Records without a
// number are those of earlier versions of this program.
func (b *Batch) sign(entry record) {
	if entry.Owner != b.Owner || entry.Number != 0 && entry.Number <= b.lastSign {
		return
	}
	b.lastSign = entry.Number
	b.Signs++
}

// advance keeps a further part of an item's text. It counts only if it joins
// what is kept: an owner's records may be doubled or late, but what they say of
// one event is the same each time.
func (b *Batch) advance(progress Progress) {
	if b.Ended || progress.Item < 0 || progress.Item >= len(b.Listed) || b.Listed[progress.Item] || !b.versionsFit(progress.Versions) {
		return
	}
	kept := b.Partials[progress.Item]
	known := len(kept.Events) - progress.From
	if progress.From < 0 || known < 0 || known >= len(progress.Events) {
		return
	}
	if b.Partials == nil {
		b.Partials = map[int]Partial{}
	}
	// A new slice: readers may hold the one before.
	events := make([][]byte, 0, len(kept.Events)+len(progress.Events)-known)
	events = append(append(events, kept.Events...), progress.Events[known:]...)
	b.Partials[progress.Item] = Partial{Events: events, LastEvent: progress.LastEvent, Versions: progress.Versions}
}

// list gives a result the next position if its item has none and the batch is
// open.
func (b *Batch) list(result Result) {
	if b.Ended || result.Item < 0 || result.Item >= len(b.Listed) || b.Listed[result.Item] {
		return
	}
	if result.Outcome != Done && result.Outcome != Dead {
		return
	}
	if result.Outcome == Done && !b.versionsFit(result.Versions) {
		return
	}
	b.Listed[result.Item] = true
	delete(b.Partials, result.Item)
	b.Results = append(b.Results, result)
}

func (b *Batch) versionsFit(versions []int64) bool {
	for _, version := range versions {
		if version < b.MinVersion {
			return false
		}
	}
	return true
}

// end closes the batch. Bodies are not asked for any more and are dropped; the
// ids stay, as results are told under them.
func (b *Batch) end() {
	if b.Ended {
		return
	}
	b.Ended = true
	b.Partials = nil
	items := make([]Item, len(b.Items))
	for i, item := range b.Items {
		items[i] = Item{ID: item.ID, Group: item.Group}
	}
	b.Items = items
}
