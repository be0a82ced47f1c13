// Package journaltest provides an in-memory journal for tests. It can inject the failures of a
// real log: lost answers, delayed appends, hanging and refused calls, rebalanced groups and
// trimmed partitions.
//
// # Usage
//
//	log := journaltest.New()
//	log.SetFault(func(journaltest.Call) journaltest.Fault { return journaltest.Hang })
package journaltest

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

// Journal is an in-memory journal. It is safe for concurrent use.
type Journal struct {
	// FaultFunc, if not nil, chooses the fault of each call. It must not be assigned while calls
	// are in progress; see SetFault.
	FaultFunc func(call Call) Fault
	// Limits may be changed before the first call. If Rates.ReadsPerSecond is set, further reads
	// within the same second are throttled.
	journal.Limits

	mu         sync.Mutex
	logs       map[journal.Partition]*log
	refused    map[journal.Partition]bool
	changed    chan struct{}
	delayed    []journal.Append
	generation int64
	members    map[string]time.Time
	topics     []string
	rotation   int
	usage      Usage
	// currentSecond is the Unix time of the last read, readsInSecond the number of reads in that
	// second.
	currentSecond int64
	readsInSecond int
	bandwidth     BandwidthLimiter
}

// log holds the records of a partition, the first of which has offset first.
type log struct {
	first   int64
	records [][]byte
}

func (l *log) end() int64 { return l.first + int64(len(l.records)) }

var _ journal.Journal = (*Journal)(nil)

// New returns an empty journal.
func New() *Journal {
	return &Journal{Limits: journal.Limits{Partitions: 2, RecordBytes: 1 << 16, AppendBytes: 1 << 20},
		logs: map[journal.Partition]*log{}, refused: map[journal.Partition]bool{}, changed: make(chan struct{}), members: map[string]time.Time{}}
}

// log returns the records of a partition, which is created if needed. The mutex must be held.
func (j *Journal) log(partition journal.Partition) *log {
	l := j.logs[partition]
	if l == nil {
		l = &log{}
		j.logs[partition] = l
	}
	return l
}

// RefuseAppends makes all later appends to a partition fail with ErrNotDone.
func (j *Journal) RefuseAppends(partition journal.Partition) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.refused[partition] = true
}

// Append implements journal.Journal.
func (j *Journal) Append(ctx context.Context, request journal.Append) (journal.Appended, error) {
	fault, err := j.injectFault(ctx, Append)
	if err != nil {
		return journal.Appended{}, err
	}
	if fault == Delay {
		j.mu.Lock()
		j.delayed = append(j.delayed, request)
		j.mu.Unlock()
		<-ctx.Done()
		return journal.Appended{}, errors.Wrap(journal.ErrUnknown, "append delayed")
	}
	appended, err := j.applyAppend(request)
	if fault == LoseAnswer {
		<-ctx.Done()
		return journal.Appended{}, errors.Wrap(journal.ErrUnknown, "answer lost")
	}
	return appended, err
}

// applyAppend performs an append, unless its condition fails.
func (j *Journal) applyAppend(request journal.Append) (journal.Appended, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.refused[request.Partition] {
		return journal.Appended{}, errors.Wrap(journal.ErrNotDone, "refused")
	}
	target := j.log(request.Partition)
	if request.ExpectedEnd != nil && *request.ExpectedEnd != target.end() {
		return journal.Appended{}, errors.Wrap(journal.ErrPosition, "another end")
	}
	offset := target.end()
	target.records = append(target.records, request.Records...)
	close(j.changed)
	j.changed = make(chan struct{})
	return journal.Appended{Offset: offset, End: target.end()}, nil
}

// ApplyDelayed applies all delayed appends.
func (j *Journal) ApplyDelayed() {
	j.mu.Lock()
	delayed := j.delayed
	j.delayed = nil
	j.mu.Unlock()
	for _, request := range delayed {
		_, _ = j.applyAppend(request) // Appends whose condition fails are dropped.
	}
}

// Trim removes the records of a partition before an offset.
func (j *Journal) Trim(partition journal.Partition, before int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	target := j.log(partition)
	if before > target.first {
		target.records = target.records[min(before, target.end())-target.first:]
		target.first = before
	}
}

// Records returns all records of a partition that have not been trimmed.
func (j *Journal) Records(partition journal.Partition) [][]byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([][]byte(nil), j.log(partition).records...)
}

// Read implements journal.Journal.
func (j *Journal) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	if err := j.countRead(); err != nil {
		return journal.Records{}, err
	}
	if _, err := j.injectFault(ctx, Read); err != nil {
		return journal.Records{}, err
	}
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	for {
		j.mu.Lock()
		target := j.log(request.Partition)
		read := journal.Records{End: target.end(), First: target.first}
		changed := j.changed
		if request.From < target.first {
			j.mu.Unlock()
			return journal.Records{}, &journal.TrimmedError{First: target.first}
		}
		if request.From < target.end() {
			read.Records = append(read.Records, limitBytes(target.records[request.From-target.first:], request.MaxBytes)...)
			j.countBytes(read.Records)
		}
		j.mu.Unlock()
		if len(read.Records) > 0 || request.Wait == 0 {
			if err := j.bandwidth.Send(ctx, totalBytes(read.Records)); err != nil {
				return journal.Records{}, err
			}
			return read, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return read, nil
		case <-ctx.Done():
			return journal.Records{}, errors.Wrap(journal.ErrUnknown, ctx.Err().Error())
		}
	}
}

// limitBytes returns the first records whose total size is at most maxBytes, and at least one
// record. 0 means no limit.
func limitBytes(records [][]byte, maxBytes int) [][]byte {
	if maxBytes <= 0 {
		return records
	}
	size := 0
	for i, record := range records {
		size += len(record)
		if i > 0 && size > maxBytes {
			return records[:i]
		}
	}
	return records
}

// Newest implements journal.Journal.
func (j *Journal) Newest(
	ctx context.Context, partition journal.Partition, afterKey string,
) (journal.KeyedPage, error) {
	if err := j.countRead(); err != nil {
		return journal.KeyedPage{}, err
	}
	if _, err := j.injectFault(ctx, Newest); err != nil {
		return journal.KeyedPage{}, err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	target := j.log(partition)
	newest := map[string]journal.KeyedRecord{}
	for i, record := range target.records {
		keyed, err := journal.DecodeKeyed(record)
		if err != nil {
			continue // Skip records that are not keyed.
		}
		keyed.Offset = target.first + int64(i)
		newest[keyed.Key] = keyed
	}
	page := journal.KeyedPage{End: target.end()}
	for key, record := range newest {
		if key > afterKey && len(record.Value) > 0 {
			page.Records = append(page.Records, record)
		}
	}
	sort.Slice(page.Records, func(a, b int) bool { return page.Records[a].Key < page.Records[b].Key })
	return page, nil
}
