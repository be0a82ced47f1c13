package journaltest

import (
	"time"

	"woodworks/internal/journal"
)

// Usage counts the reads of a journal.
type Usage struct {
	// Reads counts reads of all kinds, Throttled those among them that were throttled.
	Reads, Throttled int
	// ReadBytes is the total size of the records returned by Read.
	ReadBytes int
}

// Usage returns the usage since the journal was created or ResetUsage was called.
func (j *Journal) Usage() Usage {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.usage
}

// ResetUsage sets all counters to 0.
func (j *Journal) ResetUsage() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.usage = Usage{}
}

// countRead counts a read, and returns a ThrottledError if it exceeds Rates.ReadsPerSecond.
func (j *Journal) countRead() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if second := time.Now().Unix(); second != j.currentSecond {
		j.currentSecond, j.readsInSecond = second, 0
	}
	j.readsInSecond++
	j.usage.Reads++
	if limit := j.Rates.ReadsPerSecond; limit > 0 && float64(j.readsInSecond) > limit {
		j.usage.Throttled++
		return &journal.ThrottledError{Reason: "too many reads"}
	}
	return nil
}

// countBytes adds the size of returned records to the usage. The mutex must be held.
func (j *Journal) countBytes(records [][]byte) {
	j.usage.ReadBytes += totalBytes(records)
}
