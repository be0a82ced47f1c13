package quarantine

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
)

const (
	topic = "woodworks.quarantine"
	// recordInterval is the time between two checks for entries to write while the journal is
	// out of date. If all machines lose power before an end is written, that end is forgotten,
	// which may cost one more replica.
	recordInterval = 50 * time.Millisecond
	// suspectRecordDelay is how long after its last end a content that is not yet refused is
	// written. Most such contents are harmless and are answered within this time, and then need
	// no record.
	suspectRecordDelay = 300 * time.Millisecond
	// otherWriterDelay is how long a daemon leaves it to another daemon to write a change that
	// the other daemon made.
	otherWriterDelay = 4 * time.Second
	// recordTimeout bounds one append to the journal.
	recordTimeout = time.Second
	// writeRetryDelay is the wait after a failed write, so that an outage of the journal causes
	// at most one write per second from each daemon.
	writeRetryDelay = time.Second
	// maxRecordsPerAppend bounds the records of one append.
	maxRecordsPerAppend = 32
)

// Partition is the journal partition that stores suspected contents, keyed by digest.
var Partition = journal.Partition{Topic: journal.KeyedTopic(topic)}

// Recorder writes the entries of a table to the journal, so that they survive a restart of all
// daemons, and applies the entries that it reads from the journal. It implements
// journal.KeyedHandler and journal.KeyedResetter.
type Recorder struct {
	table   *Table
	journal journal.Journal
	// writeImmediately means that every end is written at once, without suspectRecordDelay. It
	// is set if daemons have no peer connections, so that they learn of each other's ends only
	// through the journal.
	writeImmediately bool
	logger           *zap.Logger
	// failing reports whether the last write failed. Only the goroutine of Run uses it.
	failing bool
}

// NewRecorder returns the recorder of a table; Run starts it. hasPeers reports whether daemons
// exchange entries directly; the journal is then needed only for durability.
func NewRecorder(table *Table, log journal.Journal, hasPeers bool, logger *zap.Logger) *Recorder {
	return &Recorder{table: table, journal: log, writeImmediately: !hasPeers, logger: logger}
}

// Reset implements journal.KeyedResetter.
func (r *Recorder) Reset(records []journal.KeyedRecord) {
	listed := map[string]bool{}
	for _, record := range records {
		listed[record.Key] = true
		r.Apply(record)
	}
	r.table.applyDeletionsExcept(listed)
}

// Apply implements journal.KeyedHandler.
func (r *Recorder) Apply(record journal.KeyedRecord) {
	digest, err := ParseDigest(record.Key)
	if err != nil {
		r.logger.Warn("journal record of a suspected content not decoded", zap.String("key", record.Key), zap.Error(err))
		return
	}
	if len(record.Value) == 0 {
		r.table.applyDeletion(digest)
		return
	}
	entry := Entry{}
	if err := cbor.Unmarshal(record.Value, &entry); err != nil || entry.Digest != digest {
		r.logger.Warn("journal record of a suspected content not decoded", zap.String("key", record.Key), zap.Error(err))
		return
	}
	r.table.applyJournaled(entry)
}

// Run writes entries whenever the journal is out of date, until the context ends.
func (r *Recorder) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.table.unrecorded:
		}
		for r.writeDue(ctx) {
			periodic.Pause(ctx, r.delay())
		}
	}
}

// delay returns the time to wait before the next check.
func (r *Recorder) delay() time.Duration {
	if r.failing {
		return writeRetryDelay
	}
	return recordInterval
}

// writeDue writes the entries that are due and reports whether Run must check again. The journal
// counts as out of date for an entry until the entry has been read back.
func (r *Recorder) writeDue(ctx context.Context) bool {
	due, outOfDate := r.table.dueEntries(r.writeImmediately)
	if len(due) > 0 {
		r.updateFailing(r.write(ctx, due), len(due))
	}
	return outOfDate && ctx.Err() == nil
}

// updateFailing stores whether the last write failed, and logs when that changes.
func (r *Recorder) updateFailing(err error, contents int) {
	if (err != nil) == r.failing {
		return
	}
	r.failing = err != nil
	r.logger.Info("journal writes of suspected contents", zap.Bool("failing", r.failing), zap.Int("contents", contents), zap.Error(err))
}

// write appends the entries to the journal. For an entry without ended replicas it appends a
// deletion of the key.
func (r *Recorder) write(ctx context.Context, entries []Entry) error {
	var records [][]byte
	for _, entry := range entries {
		var value []byte
		if len(entry.Ended) > 0 {
			encoded, err := cbor.Marshal(entry)
			if err != nil {
				return err
			}
			value = encoded
		}
		records = append(records, journal.EncodeKeyed(entry.Digest.String(), value))
	}
	if err := journal.AppendWithTimeout(ctx, r.journal, recordTimeout, Partition, records...); err != nil {
		return err
	}
	r.table.markWritten(entries)
	return nil
}

// dueEntries returns the entries that this daemon should write now, at most maxRecordsPerAppend
// of them, and whether the journal is out of date for any entry. If immediately is set,
// suspectRecordDelay is not waited for.
func (t *Table) dueEntries(immediately bool) (due []Entry, outOfDate bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, s := range t.entries {
		if !s.unrecorded() {
			continue
		}
		outOfDate = true
		if len(due) < maxRecordsPerAppend && s.recordDue(now, immediately) {
			due = append(due, s.cloneEntry())
		}
	}
	return due, outOfDate
}

// unrecorded reports whether the journal is out of date for this content.
func (s *suspect) unrecorded() bool {
	switch {
	case len(s.Ended) == 0:
		return s.journaled != nil
	case s.journaled == nil:
		return true
	default:
		return !s.matches(s.journaled)
	}
}

// matches reports whether e, the entry as stored in the journal, agrees with s in its epoch, its
// ends and Retried.
func (s *suspect) matches(e *Entry) bool {
	return e.Epoch == s.Epoch && e.Retried == s.Retried && e.ends() == s.ends()
}

// recordDue reports whether this daemon should write the entry now. The journal must be out of
// date for the entry.
func (s *suspect) recordDue(now time.Time, immediately bool) bool {
	switch {
	case !s.changedHere:
		return !now.Before(s.recordAfter)
	case immediately, s.refused(), len(s.Ended) == 0:
		return true
	default:
		return now.Sub(s.lastEndAt) >= suspectRecordDelay
	}
}

// markWritten keeps this daemon from writing the given entries, which it has just written, again
// within otherWriterDelay. Within this time they are normally read back. An entry that has
// changed since the write stays due.
func (t *Table) markWritten(entries []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range entries {
		if s := t.entries[entry.Digest]; s != nil && s.matches(&entry) {
			s.changedHere, s.recordAfter = false, t.now().Add(otherWriterDelay)
		}
	}
}

// applyJournaled merges an entry read from the journal.
func (t *Table) applyJournaled(entry Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.ensureEntry(entry.Digest)
	t.merge(s, entry, "journal")
	s.journaled = &entry
	signal(t.unrecorded)
}

// applyDeletion records that the key of a content was deleted from the journal.
func (t *Table) applyDeletion(digest Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.entries[digest]; s != nil {
		t.journalEntryDeleted(s)
	}
}

// applyDeletionsExcept records that the journal holds no key other than those in listed.
func (t *Table) applyDeletionsExcept(listed map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.entries {
		if !listed[s.Digest.String()] {
			t.journalEntryDeleted(s)
		}
	}
}

// journalEntryDeleted records that the journal no longer holds an entry. If the journal held the
// entry's current epoch, the entry is cleared; a deletion that belongs to an earlier epoch
// leaves the entry unchanged. t.mu must be held.
func (t *Table) journalEntryDeleted(s *suspect) {
	before := s.journaled
	s.journaled = nil
	signal(t.unrecorded)
	if before != nil && before.Epoch == s.Epoch && len(s.Ended) > 0 {
		t.clearEntry(s, "deleted from the journal")
	}
}
