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
	// keepInterval is the time between two looks for what the journal does not have, while
	// it lacks something. An end that is not there when all machines lose power costs a
	// replica more.
	keepInterval = 50 * time.Millisecond
	// suspectedFor is how long a content must be merely suspected to be written: most are
	// bystanders, whose next run answers within this time.
	suspectedFor = 300 * time.Millisecond
	// keepInstead is how long a daemon leaves a change to the one that made it to write.
	keepInstead = 4 * time.Second
	keepTimeout = time.Second
	// failedPause is the pause after a write that failed: in an outage of the journal each
	// daemon tries once a second.
	failedPause = time.Second
	// keepAtOnce bounds the records of one append.
	keepAtOnce = 32
)

// Partition is where suspected contents are kept.
func Partition(log journal.Journal) journal.Partition {
	return journal.Partition{Topic: log.KeyedTopic(topic)}
}

// Keeper keeps suspected contents in the journal, so that what is held against them
// outlasts every process, and learns from it what was before this one started. It
// implements journal.KeyedHandler.
type Keeper struct {
	table   *Table
	journal journal.Journal
	// atOnce has every end written at once: daemons that do not reach each other count
	// ends through the journal.
	atOnce bool
	logger *zap.Logger
	// failing says that the last write failed. It is Run's alone.
	failing bool
}

// NewKeeper returns the keeper of a table. Reached says that daemons tell each other of
// suspected contents, so that the journal is only for what lasts.
func NewKeeper(table *Table, log journal.Journal, reached bool, logger *zap.Logger) *Keeper {
	return &Keeper{table: table, journal: log, atOnce: !reached, logger: logger}
}

// Reset implements journal.KeyedHandler.
func (k *Keeper) Reset(records []journal.KeyedRecord) {
	there := map[string]bool{}
	for _, record := range records {
		there[record.Key] = true
		k.Apply(record)
	}
	k.table.dropMissing(there)
}

// Apply implements journal.KeyedHandler.
func (k *Keeper) Apply(record journal.KeyedRecord) {
	digest, err := ParseDigest(record.Key)
	if err != nil {
		k.logger.Warn("kept content not understood", zap.String("key", record.Key), zap.Error(err))
		return
	}
	if len(record.Value) == 0 {
		k.table.dropped(digest)
		return
	}
	entry := Entry{}
	if err := cbor.Unmarshal(record.Value, &entry); err != nil || entry.Digest != digest {
		k.logger.Warn("kept content not understood", zap.String("key", record.Key), zap.Error(err))
		return
	}
	k.table.journaled(entry)
}

// Run writes what the journal lacks until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.table.unkept:
		}
		for k.writeDue(ctx) {
			periodic.Pause(ctx, k.pause())
		}
	}
}

// pause is the time until the next look.
func (k *Keeper) pause() time.Duration {
	if k.failing {
		return failedPause
	}
	return keepInterval
}

// writeDue writes what is due now, and reports whether the journal will still lack
// something.
func (k *Keeper) writeDue(ctx context.Context) bool {
	due, lacking := k.table.toKeep(k.atOnce)
	if len(due) > 0 {
		k.note(k.write(ctx, due), len(due))
	}
	return lacking && ctx.Err() == nil
}

// note logs that writes begin to fail, and that they succeed again.
func (k *Keeper) note(err error, contents int) {
	if (err != nil) == k.failing {
		return
	}
	k.failing = err != nil
	k.logger.Info("suspected contents kept", zap.Bool("failing", k.failing), zap.Int("contents", contents), zap.Error(err))
}

// write appends the entries, or drops those that have no ended replicas any more. What
// was written is taken as kept once it is read back.
func (k *Keeper) write(ctx context.Context, entries []Entry) error {
	var records [][]byte
	for _, entry := range entries {
		record := journal.KeyedRecord{Key: entry.Digest.String()}
		if len(entry.Ended) > 0 {
			encoded, err := cbor.Marshal(entry)
			if err != nil {
				return err
			}
			record.Value = encoded
		}
		records = append(records, k.journal.JoinKeyed(record))
	}
	bounded, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if _, err := k.journal.Append(bounded, journal.Append{Partition: Partition(k.journal), Records: records}); err != nil {
		return err
	}
	k.table.written(entries)
	return nil
}

// toKeep returns the entries that this daemon should write to the journal now, and whether
// the journal lacks any.
func (t *Table) toKeep(atOnce bool) (due []Entry, lacking bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, found := range t.entries {
		if !found.lacksKeeping() {
			continue
		}
		lacking = true
		if len(due) < keepAtOnce && found.keepDue(now, atOnce) {
			due = append(due, found.copied())
		}
	}
	return due, lacking
}

// wakeKeeper has the journal looked after. The mutex is held.
func (t *Table) wakeKeeper() {
	select {
	case t.unkept <- struct{}{}:
	default:
	}
}

// lacksKeeping reports whether the journal has something else of the content than it
// should have.
func (k *known) lacksKeeping() bool {
	switch {
	case len(k.Ended) == 0:
		return k.journaled != nil
	case k.journaled == nil:
		return true
	default:
		return k.journaled.Epoch != k.Epoch || k.journaled.Retried != k.Retried || k.journaled.ends() != k.ends()
	}
}

// keepDue reports whether this daemon should write the entry now.
func (k *known) keepDue(now time.Time, atOnce bool) bool {
	switch {
	case !k.ownChange:
		return !now.Before(k.keepAfter)
	case atOnce, k.refused(), len(k.Ended) == 0:
		return true
	default:
		return now.Sub(k.endedAt) >= suspectedFor
	}
}

// written has the entries that were just written left alone until they are read back.
func (t *Table) written(entries []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range entries {
		if found := t.entries[entry.Digest]; found != nil {
			found.ownChange, found.keepAfter = false, t.now().Add(keepInstead)
		}
	}
}

// journaled takes in an entry as the journal has it.
func (t *Table) journaled(entry Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.entry(entry.Digest)
	t.merge(found, entry, "journal")
	found.journaled = &entry
	t.wakeKeeper()
}

// dropped takes in that the journal has no entry of a content any more: it was cleared.
func (t *Table) dropped(digest Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if found := t.entries[digest]; found != nil {
		t.drop(found)
	}
}

// dropMissing takes in that the journal has entries only under the keys given.
func (t *Table) dropMissing(there map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, found := range t.entries {
		if !there[found.Digest.String()] {
			t.drop(found)
		}
	}
}

// drop clears an entry that the journal had in its present epoch and has no more. The
// mutex is held.
func (t *Table) drop(found *known) {
	before := found.journaled
	found.journaled = nil
	t.wakeKeeper()
	if before != nil && before.Epoch == found.Epoch && len(found.Ended) > 0 {
		t.clear(found, "cleared in the journal")
	}
}
