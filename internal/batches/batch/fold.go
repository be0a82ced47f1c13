package batch

import (
	"maps"
	"slices"
)

// State is the fold of one partition: the batches that result from its records up to an offset.
// It is not safe for concurrent use.
type State struct {
	batches   map[string]*Batch
	fragments map[string]*fragments
	// abandoned are the keys of the last maxAbandoned records that were given up, oldest first.
	abandoned []string
	// next is the offset of the first record that is not applied yet.
	next int64
	// endCount counts the records that end a batch.
	endCount int64
	// earlyEnds are the ends of unknown batches among the last maxEarlyEnds ends, oldest first.
	earlyEnds []earlyEnd
}

// NewStateAt returns an empty state whose first record will be the one at an offset. Its view of
// a batch is complete if that offset is not after Batch.Offset.
func NewStateAt(offset int64) *State {
	return &State{batches: map[string]*Batch{}, fragments: map[string]*fragments{}, next: offset}
}

// NextOffset returns the offset of the first record that is not applied yet.
func (s *State) NextOffset() int64 { return s.next }

// SkipTo continues at a later offset, because the journal has trimmed the records before it.
func (s *State) SkipTo(offset int64) { s.next = offset }

// Get returns the batch with an id, and whether there is one.
func (s *State) Get(id string) (*Batch, bool) {
	b, ok := s.batches[id]
	return b, ok
}

// ForEach calls visit for each batch, in no particular order.
func (s *State) ForEach(visit func(*Batch)) {
	for _, b := range s.batches {
		visit(b)
	}
}

// Apply applies the next record. A record that is malformed, or not valid in this state, advances
// the offset and changes nothing else, so that all readers agree. An error is returned only for a
// malformed record.
func (s *State) Apply(encoded []byte) error {
	offset := s.next
	s.next++
	return s.apply(encoded, offset)
}

// apply applies a record that begins at an offset.
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
	case kindFragmentsAbandoned:
		s.abandonFragments(rec.Key)
	case kindAccepted:
		s.accept(rec, offset)
	case kindEnded:
		s.end(rec, offset)
	default:
		if b := s.batches[rec.BatchID]; b != nil {
			b.apply(rec)
		}
	}
	return nil
}

// accept creates a batch. An id that exists already marks a repeated append, which is ignored. A
// batch that ended before its acceptance begins at that end, so that a state that begins at its
// offset has the end too.
func (s *State) accept(rec record, offset int64) {
	if rec.Submission == nil || rec.Submission.ID != rec.BatchID {
		return
	}
	if _, ok := s.batches[rec.BatchID]; ok {
		return
	}
	b := &Batch{
		Submission: *rec.Submission,
		Offset:     offset,
		Owner:      rec.Owner,
		HasResult:  make([]bool, len(rec.Submission.Items)),
	}
	if end, ok := s.earlyEndOf(b); ok {
		b.EndedEarly = true
		b.Offset = min(offset, end.offset)
	}
	s.batches[rec.BatchID] = b
}

// apply applies a record of the batch.
func (b *Batch) apply(rec record) {
	switch rec.Kind {
	case kindHeartbeat:
		b.countLivenessSignal(rec)
		if b.HandedOffBy != "" && rec.Owner == b.HandedOffBy {
			b.HandOffSignals++
		}
	case kindCheckpoint:
		if rec.Owner == b.Owner {
			b.countLivenessSignal(rec)
			for _, p := range rec.Progress {
				b.addProgress(p)
			}
		}
	case kindResultsAdded:
		b.addResults(rec.Results)
	case kindTakenOver:
		// A takeover takes effect only against the owner it names: of two concurrent ones
		// the first wins, for every reader.
		if rec.From == b.Owner && !b.Ended {
			b.takeOver(rec)
		}
	case kindReleased:
		if rec.From == b.Owner && !b.Ended {
			b.release(rec)
		}
	case kindItemsReturned:
		if rec.From == b.HandedOffBy {
			b.returnItems(rec.HandedOff)
		}
	case kindContentSuspected:
		b.suspect(rec)
	case kindItemFailed:
		b.countFailures(rec)
	case kindEnded:
		if b.BelongsTo(rec.Tenant) {
			b.end()
		}
	}
}

// takeOver replaces the owner. Items handed off by a release remain with the owner that released the
// batch. A takeover from an owner that did not release the batch clears them, so that no later owner
// waits for them again.
func (b *Batch) takeOver(rec record) {
	if b.Owner != "" {
		b.HandedOffItems, b.HandedOffBy = nil, ""
	}
	b.Owner, b.lastHeartbeat = rec.Owner, 0
	b.LivenessSignals++
}

// release removes the owner, which still finishes the items that the record names.
func (b *Batch) release(rec record) {
	b.Owner, b.lastHeartbeat, b.HandedOffBy, b.HandOffSignals = "", 0, rec.From, 0
	b.HandedOffItems = make(map[int]bool, len(rec.HandedOff))
	for _, item := range rec.HandedOff {
		b.HandedOffItems[item] = true
	}
}

// returnItems removes items from those that the previous owner still finishes. Readers may hold
// the old map, so it is replaced.
func (b *Batch) returnItems(items []int) {
	left := maps.Clone(b.HandedOffItems)
	for _, item := range items {
		delete(left, item)
	}
	b.HandedOffItems = left
}

// suspect stores the quarantine's entry of an unfinished item's content. Any daemon may report it: a
// releasing owner does so for the items that it still finishes.
func (b *Batch) suspect(rec record) {
	if !b.isUnfinished(rec.Index) {
		return
	}
	if b.Suspected == nil {
		b.Suspected = map[int][]byte{}
	}
	b.Suspected[rec.Index] = rec.Part
}

// countFailures raises the failures of an unfinished item. As with suspect, any daemon may report them.
func (b *Batch) countFailures(rec record) {
	if !b.isUnfinished(rec.Index) {
		return
	}
	if b.Failures == nil {
		b.Failures = map[int]Failures{}
	}
	before := b.Failures[rec.Index]
	b.Failures[rec.Index] = Failures{Item: max(before.Item, int(rec.Number)), Reward: max(before.Reward, rec.Count)}
}

// countLivenessSignal counts a heartbeat or a checkpoint of the owner. One that is appended after a
// newer one is ignored, as its owner may have ended since. Records of earlier versions of this
// program have no number and are always counted.
func (b *Batch) countLivenessSignal(rec record) {
	if rec.Owner != b.Owner || rec.Number != 0 && rec.Number <= b.lastHeartbeat {
		return
	}
	b.lastHeartbeat = rec.Number
	b.LivenessSignals++
}

// addProgress appends events to an item's partial text. Events that overlap with the stored ones are
// dropped, since an owner's records may be repeated or late but agree on each event. Progress that
// would leave a gap is ignored.
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
		Events:    slices.Concat(kept.Events, progress.Events[overlap:]), // readers may hold the old slice
		LastEvent: progress.LastEvent,
		Versions:  progress.Versions,
	}
}

// addResults adds results. New ones show that an owner is alive.
func (b *Batch) addResults(results []Result) {
	before := len(b.Results)
	for _, result := range results {
		b.addResult(result)
	}
	if len(b.Results) > before {
		b.LivenessSignals++
	}
}

// addResult appends a valid result unless its item already has one or the batch has ended.
func (b *Batch) addResult(result Result) {
	valid := result.Outcome == Dead || result.Outcome == Done && b.versionsAllowed(result.Versions)
	if !valid || !b.isUnfinished(result.Item) {
		return
	}
	b.HasResult[result.Item] = true
	delete(b.Partials, result.Item)
	delete(b.Suspected, result.Item)
	delete(b.Failures, result.Item)
	b.Results = append(b.Results, result)
}

// isUnfinished reports whether the batch has not ended and the item at an index exists and has no
// result yet.
func (b *Batch) isUnfinished(item int) bool {
	return !b.Ended && item >= 0 && item < len(b.HasResult) && !b.HasResult[item]
}

// versionsAllowed reports whether no version is older than the batch's MinVersion.
func (b *Batch) versionsAllowed(versions []int64) bool {
	return !slices.ContainsFunc(versions, func(version int64) bool { return version < b.MinVersion })
}

// end ends the batch and frees the requests of its items. The ids stay, since results are delivered
// under them.
func (b *Batch) end() {
	if b.Ended {
		return
	}
	b.Ended = true
	b.Partials, b.Suspected, b.Failures = nil, nil, nil
	items := make([]Item, len(b.Items))
	for i, item := range b.Items {
		items[i] = Item{ID: item.ID, Group: item.Group}
	}
	b.Items = items
}
