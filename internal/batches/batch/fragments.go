package batch

import "slices"

// maxAbandoned is how many keys of abandoned fragments a state remembers. The journal may carry out an append
// seconds after it was given up; fewer records are abandoned in one partition in that time.
const maxAbandoned = 1024

// fragments collects the fragments of one record, in order.
type fragments struct {
	// offset is the partition offset of the first fragment.
	offset int64
	next   int
	bytes  []byte
}

// joinFragment adds a fragment. Once all fragments of a record are there it returns the record and
// the offset of its first fragment. Fragments of one key arrive in order, as an append is atomic
// and contiguous and those of one record follow one another. A fragment out of order is ignored, as is
// one whose record was abandoned.
func (s *State) joinFragment(rec record, offset int64) (whole []byte, begins int64) {
	parts := s.fragments[rec.Key]
	switch {
	case parts == nil && rec.Index == 0 && !slices.Contains(s.abandoned, rec.Key):
		parts = &fragments{offset: offset}
		s.fragments[rec.Key] = parts
	case parts == nil, rec.Index != parts.next:
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

// abandonFragments drops the fragments of a record that will never be complete.
func (s *State) abandonFragments(key string) {
	delete(s.fragments, key)
	if len(s.abandoned) == maxAbandoned {
		s.abandoned = s.abandoned[1:]
	}
	s.abandoned = append(s.abandoned, key)
}
