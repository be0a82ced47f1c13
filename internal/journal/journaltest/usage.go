package journaltest

import (
	"time"

	"woodworks/internal/journal"
)

// Usage is what a journal's callers used of it.
type Usage struct {
	// Reads counts the reads of all kinds, Throttled those of them that were refused.
	Reads, Throttled int
	// ReadBytes counts the bytes of the records read.
	ReadBytes int
}

// Usage returns what was used since the journal was made or ResetUsage was called.
func (j *Journal) Usage() Usage {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.usage
}

// ResetUsage begins to count anew.
func (j *Journal) ResetUsage() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.usage = Usage{}
}

// countRead counts a read, and refuses it if more come in a second than are granted.
func (j *Journal) countRead() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if second := time.Now().Unix(); second != j.currentSecond {
		j.currentSecond, j.readsInSecond = second, 0
	}
	j.readsInSecond++
	j.usage.Reads++
	if granted := j.Rates.ReadsPerSecond; granted > 0 && float64(j.readsInSecond) > granted {
		j.usage.Throttled++
		return &journal.ThrottledError{Reason: "too many reads"}
	}
	return nil
}

// countBytes counts the bytes of records read. The mutex is held.
func (j *Journal) countBytes(records [][]byte) {
	j.usage.ReadBytes += totalBytes(records)
}
