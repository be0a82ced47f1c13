package batch

import (
	"crypto/sha256"
	"slices"
)

// maxEarlyEnds is how many further ends a partition may hold between the end of a batch and its
// acceptance for that end to take effect. The journal may carry out an append seconds after it was
// given up; all daemons together append fewer ends to one partition in that time. It bounds the memory
// of ends whose batches never come to 0.4 MB a partition. The ends of known batches count too, so that
// readers that know different batches forget at the same record.
const maxEarlyEnds = 8192

// earlyEnd is the end of a batch that has not been accepted yet.
type earlyEnd struct {
	batch  batchKey
	tenant string
	offset int64
	// number is the State's endCount at this end.
	number int64
}

// batchKey is a hash of a batch's id. Callers choose the length of an id, so an end that may be
// kept for nothing does not keep the id itself.
type batchKey [sha256.Size / 2]byte

func newBatchKey(batchID string) batchKey {
	sum := sha256.Sum256([]byte(batchID))
	return batchKey(sum[:len(batchKey{})])
}

// end ends a batch, or keeps the end if the batch is not known: its acceptance may still be on its
// way.
func (s *State) end(rec record, offset int64) {
	s.endCount++
	for len(s.earlyEnds) > 0 && s.endCount-s.earlyEnds[0].number >= maxEarlyEnds {
		s.earlyEnds = s.earlyEnds[1:]
	}
	if b := s.batches[rec.BatchID]; b != nil {
		b.apply(rec)
		return
	}
	s.earlyEnds = append(s.earlyEnds, earlyEnd{newBatchKey(rec.BatchID), rec.Tenant, offset, s.endCount})
}

// earlyEndOf returns the last end by which a batch ended before its acceptance, and whether there is
// one. An end by another tenant has no effect on the batch.
func (s *State) earlyEndOf(b *Batch) (earlyEnd, bool) {
	key := newBatchKey(b.ID)
	for _, end := range slices.Backward(s.earlyEnds) {
		if end.batch == key && b.BelongsTo(end.tenant) {
			return end, true
		}
	}
	return earlyEnd{}, false
}
