package catalog

import (
	"go.uber.org/zap"

	"woodworks/internal/journal"
	"woodworks/internal/replicas/replica"
)

// ReplicaDirectory feeds the replicas' entries into a table. An entry that can't be decoded makes
// its replica unusable and leaves the others unchanged. It implements journal.KeyedHandler and
// journal.KeyedResetter, whose methods must be called by one goroutine.
type ReplicaDirectory struct {
	decoder  Decoder
	table    *replica.Table
	logger   *zap.Logger
	rejected rejectedRecords
}

// NewReplicaDirectory returns a directory that feeds the table.
func NewReplicaDirectory(decoder Decoder, table *replica.Table, logger *zap.Logger) *ReplicaDirectory {
	return &ReplicaDirectory{decoder: decoder, table: table, logger: logger, rejected: newRejectedRecords()}
}

// Reset implements journal.KeyedResetter. The entries replace all of the table.
func (d *ReplicaDirectory) Reset(records []journal.KeyedRecord) {
	entries := make([]replica.Entry, 0, len(records))
	listed := make(map[string]bool, len(records))
	for _, record := range records {
		if isRemoval(record) {
			continue
		}
		listed[record.Key] = true
		entries = append(entries, d.decode(record))
	}
	d.rejected.retain(listed)
	d.table.Replace(entries)
}

// Apply implements journal.KeyedHandler. It sets or removes one entry of the table.
func (d *ReplicaDirectory) Apply(record journal.KeyedRecord) {
	if isRemoval(record) {
		d.rejected.remove(record.Key)
		d.table.Remove(record.Key)
		return
	}
	d.table.Set(d.decode(record))
}

// isRemoval reports whether a record removes its key.
func isRemoval(record journal.KeyedRecord) bool { return len(record.Value) == 0 && !record.Unreadable }

// decode returns the entry of a record, or an unusable entry if it can't be decoded.
func (d *ReplicaDirectory) decode(record journal.KeyedRecord) replica.Entry {
	err := ErrUnreadable
	entry := replica.Entry{}
	if !record.Unreadable {
		entry, err = d.decoder.DecodeReplicaEntry(record.Key, record.Value)
	}
	if err == nil {
		d.rejected.remove(record.Key)
		return entry
	}
	if d.rejected.add(record) {
		d.logger.Error("replica entry rejected", zap.String("replica", record.Key), zap.Int64("offset", record.Offset),
			zap.Int("bytes", len(record.Value)), zap.Error(err))
	}
	return replica.Entry{ID: record.Key, Unusable: true}
}
