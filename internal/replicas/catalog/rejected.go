package catalog

import (
	"hash/maphash"
	"maps"

	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

// ErrUnreadable: the bytes of a record are not those of a value.
var ErrUnreadable = errors.New("catalog: record can't be read")

// rejectedRecords are the records that could not be understood, by key and by a hash of their
// bytes: each is logged once, however often the partition is read. It is used by one
// goroutine.
type rejectedRecords struct {
	seed   maphash.Seed
	hashes map[string]uint64
}

func newRejectedRecords() rejectedRecords {
	return rejectedRecords{seed: maphash.MakeSeed(), hashes: map[string]uint64{}}
}

// add reports whether the refusal of a record is to be logged, and notes that it was.
func (r *rejectedRecords) add(record journal.KeyedRecord) bool {
	hash := maphash.Bytes(r.seed, record.Value)
	if last, known := r.hashes[record.Key]; known && last == hash {
		return false
	}
	r.hashes[record.Key] = hash
	return true
}

// remove notes that the newest record of a key is understood, or gone.
func (r *rejectedRecords) remove(key string) { delete(r.hashes, key) }

// retain forgets all keys but those that are listed.
func (r *rejectedRecords) retain(listed map[string]bool) {
	maps.DeleteFunc(r.hashes, func(key string, _ uint64) bool { return !listed[key] })
}
