package batch

import (
	"maps"
	"slices"
)

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

// NewStateAt returns a state that knows nothing of the records before an offset. Of a batch
// it knows all if it begins no later than the batch does, see Batch.Offset.
func NewStateAt(offset int64) *State {
	return &State{batches: map[string]*Batch{}, fragments: map[string]*fragments{}, next: offset}
}

// NextOffset returns the offset of the first record that is not folded yet.
func (s *State) NextOffset() int64 { return s.next }

// SkipTo passes over the records before an offset, which are gone.
func (s *State) SkipTo(offset int64) { s.next = offset }

// Get returns a batch.
func (s *State) Get(id string) (*Batch, bool) {
	b, ok := s.batches[id]
	return b, ok
}

// ForEach calls visit for each batch.
func (s *State) ForEach(visit func(*Batch)) {
	for _, b := range s.batches {
		visit(b)
	}
}

// Apply folds the next record. A record that is malformed or not valid in this
// state changes nothing: the same holds for every reader. The error is that of a
// malformed record.
func (s *State) Apply(encoded []byte) error {
	offset := s.next
	s.next++
	return s.apply(encoded, offset)
}

// apply folds a record that begins at an offset.
func (s *State) apply(encoded []byte, offset int64) error {
	rec, err := decode(encoded)
	if err != nil {
		return err
	}
	switch rec.Kind {
	case kindFragment:
		if whole, begins := s.joinFragment(rec, offset); whole != nil {
			return s.apply(whole, begins)
		}
	case kindAccepted:
		s.accept(rec, offset)
	default:
		if b := s.batches[rec.BatchID]; b != nil {
			b.apply(rec)
		}
	}
	return nil
}

// joinFragment adds a fragment and returns the whole record once it has all parts, with the offset
// of the first one. Parts come in order, as one append is all or nothing and in one piece.
func (s *State) joinFragment(rec record, offset int64) (whole []byte, begins int64) {
	parts := s.fragments[rec.Key]
	if parts == nil {
		parts = &fragments{offset: offset}
		s.fragments[rec.Key] = parts
	}
	if rec.Index != parts.next {
		return nil, 0
	}
	parts.bytes = append(parts.bytes, rec.Part...)
	parts.next++
	if parts.next < rec.Count {
		return nil, 0
	}
	delete(s.fragments, rec.Key)
	return parts.bytes, parts.offset
}

// accept makes a batch exist. A second acceptance of the same id is a repeat
// of the first one and changes nothing.
func (s *State) accept(rec record, offset int64) {
	if rec.Submission == nil || rec.Submission.ID != rec.BatchID {
		return
	}
	if _, ok := s.batches[rec.BatchID]; ok {
		return
	}
	s.batches[rec.BatchID] = &Batch{
		Submission: *rec.Submission,
		Offset:     offset,
		Owner:      rec.Owner,
		HasResult:  make([]bool, len(rec.Submission.Items)),
	}
}

// apply folds a record about the batch.
func (b *Batch) apply(rec record) {
	switch rec.Kind {
	case kindHeartbeat:
		b.countLivenessSignal(rec)
	case kindProgress:
		if rec.Owner == b.Owner {
			b.countLivenessSignal(rec)
			for _, p := range rec.Progress {
				b.addProgress(p)
			}
		}
	case kindResults:
		b.addResults(rec.Results)
	case kindTakenOver:
		// A takeover counts only against the owner it names, so that of two
		// at the same time one wins for every reader.
		if rec.From == b.Owner && !b.Ended {
			b.takeOver(rec)
		}
	case kindReleased:
		if rec.From == b.Owner && !b.Ended {
			b.release(rec)
		}
	case kindReturned:
		if rec.From == b.handedOffBy {
			b.returnItems(rec.HandedOff)
		}
	case kindEnded:
		if b.BelongsTo(rec.Tenant) {
			b.end()
		}
	}
}

// takeOver replaces the owner. What an owner before had handed off was left to it once:
// one that replaces an owner that did not release the batch does not wait again.
func (b *Batch) takeOver(rec record) {
	if b.Owner != "" {
		b.HandedOffItems, b.handedOffBy = nil, ""
	}
	b.Owner, b.lastHeartbeat = rec.Owner, 0
	b.LivenessSignals++
}

// release leaves the batch without an owner. Its owner still finishes what it names.
func (b *Batch) release(rec record) {
	b.Owner, b.lastHeartbeat, b.handedOffBy = "", 0, rec.From
	b.HandedOffItems = make(map[int]bool, len(rec.HandedOff))
	for _, item := range rec.HandedOff {
		b.HandedOffItems[item] = true
	}
}

// returnItems takes items off those that the owner before still finishes.
func (b *Batch) returnItems(items []int) {
	left := maps.Clone(b.HandedOffItems)
	for _, item := range items {
		delete(left, item)
	}
	b.HandedOffItems = left
}

// countLivenessSignal counts a sign of life of the owner. One that reached the journal late, after
// a newer one, says nothing: its owner may have ended since. Records without a
// number are those of earlier versions of this program.
func (b *Batch) countLivenessSignal(rec record) {
	if rec.Owner != b.Owner || rec.Number != 0 && rec.Number <= b.lastHeartbeat {
		return
	}
	b.lastHeartbeat = rec.Number
	b.LivenessSignals++
}

// addProgress keeps a further part of an item's text. It counts only if it joins
// what is kept: an owner's records may be doubled or late, but what they say of
// one event is the same each time.
func (b *Batch) addProgress(progress Progress) {
	if !b.isUnfinished(progress.Item) || !b.versionsAllowed(progress.Versions) {
		return
	}
	kept := b.Partials[progress.Item]
	overlap := len(kept.Events) - progress.From
	if progress.From < 0 || overlap < 0 || overlap >= len(progress.Events) {
		return
	}
	if b.Partials == nil {
		b.Partials = map[int]Partial{}
	}
	b.Partials[progress.Item] = Partial{
		Events:    slices.Concat(kept.Events, progress.Events[overlap:]), // readers may hold the slice before
		LastEvent: progress.LastEvent,
		Versions:  progress.Versions,
	}
}

// addResults lists results. Those that were not listed before show the owner alive.
func (b *Batch) addResults(results []Result) {
	before := len(b.Results)
	for _, result := range results {
		b.addResult(result)
	}
	if len(b.Results) > before {
		b.LivenessSignals++
	}
}

// addResult gives a result the next position if its item has none and the batch is
// open.
func (b *Batch) addResult(result Result) {
	valid := result.Outcome == Dead || result.Outcome == Done && b.versionsAllowed(result.Versions)
	if !valid || !b.isUnfinished(result.Item) {
		return
	}
	b.HasResult[result.Item] = true
	delete(b.Partials, result.Item)
	b.Results = append(b.Results, result)
}

// isUnfinished reports whether the batch is open and an item of it has no position yet.
func (b *Batch) isUnfinished(item int) bool {
	return !b.Ended && item >= 0 && item < len(b.HasResult) && !b.HasResult[item]
}

// versionsAllowed reports whether all versions are new enough for the batch.
func (b *Batch) versionsAllowed(versions []int64) bool {
	return !slices.ContainsFunc(versions, func(version int64) bool { return version < b.MinVersion })
}

// end closes the batch. Bodies are not needed any more and are dropped; the ids
// stay, as results are returned under them.
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
