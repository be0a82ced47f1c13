package runner

import (
	"bytes"
	"context"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/requests/quarantine"
)

// itemRecordTimeout bounds the record of a suspicion or a failure. The item waits for it, so that at
// most one end of a replica, or one failure, is unknown to the next owner; if the journal does not
// answer, the item goes on.
const itemRecordTimeout = time.Second

// takeoverWait is how much of the time for which an item may be held back counts as spent when the next
// owner adopts its batch: the owner before held the item back too, and then stopped or fell silent.
const takeoverWait = heartbeatTimeout + suspectTimeout

// recordSuspicion records in the batch's partition what the quarantine knows of a content of the item,
// its request or its reward call, after a failed attempt. Gossip and the quarantine's own partition
// are not ordered with the records by which the batch changes its owner, who would start the item
// without knowing which replicas it has ended. It does nothing while no replica has ended under the
// content, or none since the last record.
func (j *job) recordSuspicion(it *item, content *quarantine.Content) {
	entry, err := j.r.forwarder.Quarantine.EncodedEntry(content)
	if err == nil && (entry == nil || bytes.Equal(entry, j.lastSuspicion(it))) {
		return
	}
	if err == nil {
		err = j.appendItemRecord(batch.ContentSuspected(j.submission.ID, it.index, entry))
	}
	if err == nil {
		j.mu.Lock()
		it.recordedSuspicion = entry
		j.mu.Unlock()
	}
	j.logger.Info("suspicion recorded", zap.String("item", it.ID), zap.String("content", content.Digest().Short()),
		zap.Error(err))
}

// lastSuspicion returns the entry that was last recorded for the item, nil if there is none.
func (j *job) lastSuspicion(it *item) []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	return it.recordedSuspicion
}

// mergeSuspicions merges the entries that earlier owners recorded into this daemon's quarantine. heldFor
// is how much of the time for which the items may be held back counts as spent.
func (j *job) mergeSuspicions(entries [][]byte, heldFor time.Duration) {
	for _, entry := range entries {
		if err := j.r.forwarder.Quarantine.MergeEncoded(entry, "batch "+j.submission.ID, heldFor); err != nil {
			j.logger.Warn("recorded suspicion not decoded", zap.Error(err))
		}
	}
}

// recordFailures records in the batch's partition how often the item and its reward call have failed.
// Otherwise each owner would count anew, and an item that always fails would run MaxAttempts times at
// each of them.
func (j *job) recordFailures(it *item) {
	j.mu.Lock()
	failures := it.failures
	j.mu.Unlock()
	err := j.appendItemRecord(batch.ItemFailed(j.submission.ID, it.index, failures))
	j.logger.Info("failures recorded", zap.String("item", it.ID), zap.Int("failures", failures.Item),
		zap.Int("reward_failures", failures.Reward), zap.Error(err))
}

// appendItemRecord appends a record that the next attempt at an item waits for.
func (j *job) appendItemRecord(record []byte) error {
	ctx, cancel := context.WithTimeout(j.ctx, itemRecordTimeout)
	defer cancel()
	return j.r.appendWithRetry(ctx, j.partition, record)
}
