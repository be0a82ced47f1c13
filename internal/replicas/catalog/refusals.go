package catalog

import (
	"hash/maphash"
	"maps"

	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

// ErrUnreadable is the reason for rejecting a record whose value the journal can't read.
var ErrUnreadable = errors.New("catalog: record is unreadable")

// rejectedRecords holds a hash of the newest rejected record of each key, so that each is logged
// once, however often the partition is read. It isn't safe for concurrent use.
type rejectedRecords struct {
	seed   maphash.Seed
	hashes map[string]uint64
}

func newRejectedRecords() rejectedRecords {
	return rejectedRecords{seed: maphash.MakeSeed(), hashes: map[string]uint64{}}
}

// add records a rejected record. It reports whether the record is new and must be logged.
func (r *rejectedRecords) add(record journal.KeyedRecord) bool {
	hash := maphash.Bytes(r.seed, record.Value)
	if last, known := r.hashes[record.Key]; known && last == hash {
		return false
	}
	r.hashes[record.Key] = hash
	return true
}

// remove removes a key whose newest record was decoded or is gone.
func (r *rejectedRecords) remove(key string) { delete(r.hashes, key) }

// retain removes all keys but the listed ones.
func (r *rejectedRecords) retain(listed map[string]bool) {
	maps.DeleteFunc(r.hashes, func(key string, _ uint64) bool { return !listed[key] })
}
