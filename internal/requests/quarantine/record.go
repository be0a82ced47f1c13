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
	// recordInterval is the time between two looks for what the journal does not have, while
	// it lacks something. An end that is not there when all machines lose power costs a
	// replica more.
	recordInterval = 50 * time.Millisecond
	// suspectRecordDelay is how long a content must be merely suspected to be written: most are
	// bystanders, whose next run answers within this time.
	suspectRecordDelay = 300 * time.Millisecond
	// otherWriterDelay is how long a daemon leaves a change to the one that made it to write.
	otherWriterDelay = 4 * time.Second
	recordTimeout    = time.Second
	// writeRetryDelay is the pause after a write that failed: in an outage of the journal each
	// daemon tries once a second.
	writeRetryDelay = time.Second
	// maxRecordsPerAppend bounds the records of one append.
	maxRecordsPerAppend = 32
)

// Partition is where suspected contents are kept.
var Partition = journal.Partition{Topic: journal.KeyedTopic(topic)}

// Recorder keeps suspected contents in the journal, so that what is held against them
// outlasts every process, and learns from it what was before this one started. It
// implements journal.KeyedHandler and journal.KeyedResetter.
type Recorder struct {
	table   *Table
	journal journal.Journal
	// writeImmediately has every end written at once: daemons that do not reach each other count
	// ends through the journal.
	writeImmediately bool
	logger           *zap.Logger
	// failing says that the last write failed. It is Run's alone.
	failing bool
}

// NewRecorder returns the recorder of a table. Reached says that daemons tell each other of
// suspected contents, so that the journal is only for what lasts.
func NewRecorder(table *Table, log journal.Journal, reached bool, logger *zap.Logger) *Recorder {
	return &Recorder{table: table, journal: log, writeImmediately: !reached, logger: logger}
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

// Run writes what the journal lacks until the context ends.
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

// delay is the time until the next look.
func (r *Recorder) delay() time.Duration {
	if r.failing {
		return writeRetryDelay
	}
	return recordInterval
}

// writeDue writes what is due now, and reports whether the journal will still lack
// something.
func (r *Recorder) writeDue(ctx context.Context) bool {
	due, lacking := r.table.dueEntries(r.writeImmediately)
	if len(due) > 0 {
		r.updateFailing(r.write(ctx, due), len(due))
	}
	return lacking && ctx.Err() == nil
}

// updateFailing logs that writes begin to fail, and that they succeed again.
func (r *Recorder) updateFailing(err error, contents int) {
	if (err != nil) == r.failing {
		return
	}
	r.failing = err != nil
	r.logger.Info("journal writes of suspected contents", zap.Bool("failing", r.failing), zap.Int("contents", contents), zap.Error(err))
}

// write appends the entries, or drops those that have no ended replicas any more. What
// was written is taken as kept once it is read back.
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
	if err := journal.AppendWithin(ctx, r.journal, recordTimeout, Partition, records...); err != nil {
		return err
	}
	r.table.markWritten(entries)
	return nil
}

// dueEntries returns the entries that this daemon should write to the journal now, and whether
// the journal lacks any.
func (t *Table) dueEntries(atOnce bool) (due []Entry, lacking bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, s := range t.entries {
		if !s.unrecorded() {
			continue
		}
		lacking = true
		if len(due) < maxRecordsPerAppend && s.recordDue(now, atOnce) {
			due = append(due, s.cloneEntry())
		}
	}
	return due, lacking
}

// unrecorded reports whether the journal has something else of the content than it
// should have.
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

// matches reports whether the journal lacks nothing of the content if it has the entry.
func (s *suspect) matches(e *Entry) bool {
	return e.Epoch == s.Epoch && e.Retried == s.Retried && e.ends() == s.ends()
}

// recordDue reports whether this daemon should write the entry now.
func (s *suspect) recordDue(now time.Time, atOnce bool) bool {
	switch {
	case !s.changedHere:
		return !now.Before(s.recordAfter)
	case atOnce, s.refused(), len(s.Ended) == 0:
		return true
	default:
		return now.Sub(s.lastEndAt) >= suspectRecordDelay
	}
}

// markWritten has the entries that were just markWritten left alone until they are read back, but
// for what has changed since.
func (t *Table) markWritten(entries []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range entries {
		if s := t.entries[entry.Digest]; s != nil && s.matches(&entry) {
			s.changedHere, s.recordAfter = false, t.now().Add(otherWriterDelay)
		}
	}
}

// applyJournaled takes in an entry as the journal has it.
func (t *Table) applyJournaled(entry Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.ensureEntry(entry.Digest)
	t.merge(s, entry, "journal")
	s.journaled = &entry
	signal(t.unrecorded)
}

// applyDeletion takes in that the journal has no entry of a content any more: it was cleared.
func (t *Table) applyDeletion(digest Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.entries[digest]; s != nil {
		t.journalEntryDeleted(s)
	}
}

// applyDeletionsExcept takes in that the journal has entries only under the keys given.
func (t *Table) applyDeletionsExcept(listed map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.entries {
		if !listed[s.Digest.String()] {
			t.journalEntryDeleted(s)
		}
	}
}

// journalEntryDeleted clears an entry that the journal had in its present epoch and has no more. The
// mutex is held.
func (t *Table) journalEntryDeleted(s *suspect) {
	before := s.journaled
	s.journaled = nil
	signal(t.unrecorded)
	if before != nil && before.Epoch == s.Epoch && len(s.Ended) > 0 {
		t.clearEntry(s, "cleared in the journal")
	}
}
