// Package journaltest is a journal in memory for tests. It behaves as the
// platform's log may at its worst: answers are lost, appends take effect late,
// calls hang or are refused, partitions are dealt anew and records are trimmed.
package journaltest

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/journal"
)

// Fault is what befalls one call.
type Fault int

// Faults of a call.
const (
	// None lets the call through.
	None Fault = iota
	// Refuse answers that nothing was done.
	Refuse
	// Hang never answers; nothing is done.
	Hang
	// LoseAnswer does what was asked and never answers.
	LoseAnswer
	// Late never answers, and does what was asked when Settle is called, if
	// its condition still holds then.
	Late
)

// Call names a kind of call.
type Call string

// Calls that faults may befall.
const (
	Append Call = "append"
	Read   Call = "read"
	Newest Call = "newest"
	Join   Call = "join"
	Leave  Call = "leave"
	Owners Call = "owners"
)

// Journal is a journal in memory. It is safe for concurrent use.
type Journal struct {
	// Befall, if not nil, decides the fault of each call.
	Befall func(call Call) Fault
	// Partitions is PartitionsPerTopic.
	Partitions int
	// RecordBytes and AppendBytes are MaxRecordBytes and MaxAppendBytes.
	RecordBytes, AppendBytes int
	// Granted is Grants. Where it has ReadsPerSecond, further reads within a second are
	// throttled.
	Granted journal.Grants

	mutex      sync.Mutex
	logs       map[journal.Partition]*log
	changed    chan struct{}
	late       []journal.Append
	generation int64
	members    map[string]time.Time
	topics     []string
	turn       int
	usage      Usage
	// second is the one in which reads were counted last, inSecond how many.
	second   int64
	inSecond int
	outlet   outlet
}

// Usage is what a journal's callers used of it.
type Usage struct {
	// Reads counts the reads of all kinds, Throttled those of them that were refused.
	Reads, Throttled int
	// ReadBytes counts the bytes of the records read.
	ReadBytes int
	// MostInSecond is the largest number of reads in one second.
	MostInSecond int
}

type log struct {
	first   int64
	records [][]byte
}

func (l *log) end() int64 { return l.first + int64(len(l.records)) }

var _ journal.Journal = (*Journal)(nil)

// New returns an empty journal.
func New() *Journal {
	return &Journal{Partitions: 2, RecordBytes: 1 << 16, AppendBytes: 1 << 20, logs: map[journal.Partition]*log{},
		changed: make(chan struct{}), members: map[string]time.Time{}}
}

// PartitionsPerTopic implements journal.Journal.
func (j *Journal) PartitionsPerTopic() int { return j.Partitions }

// MaxRecordBytes implements journal.Journal.
func (j *Journal) MaxRecordBytes() int { return j.RecordBytes }

// MaxAppendBytes implements journal.Journal.
func (j *Journal) MaxAppendBytes() int { return j.AppendBytes }

// Grants implements journal.Journal.
func (j *Journal) Grants() journal.Grants { return j.Granted }

// SetBefall sets Befall while calls may be under way.
func (j *Journal) SetBefall(befall func(call Call) Fault) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.Befall = befall
}

// Usage returns what was used since the journal was made or ResetUsage was called.
func (j *Journal) Usage() Usage {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.usage
}

// ResetUsage begins to count anew.
func (j *Journal) ResetUsage() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.usage = Usage{}
}

// countRead counts a read, and refuses it if more come in a second than are granted.
func (j *Journal) countRead() error {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if second := time.Now().Unix(); second != j.second {
		j.second, j.inSecond = second, 0
	}
	j.inSecond++
	j.usage.Reads++
	j.usage.MostInSecond = max(j.usage.MostInSecond, j.inSecond)
	if granted := j.Granted.ReadsPerSecond; granted > 0 && float64(j.inSecond) > granted {
		j.usage.Throttled++
		return &journal.ThrottledError{Reason: "too many reads"}
	}
	return nil
}

// countBytes counts the bytes of records read. The mutex is held.
func (j *Journal) countBytes(records [][]byte) {
	j.usage.ReadBytes += sizeOf(records)
}

// fault returns what befalls a call; hanging calls have already hung.
func (j *Journal) fault(ctx context.Context, call Call) (Fault, error) {
	fault := None
	j.mutex.Lock()
	befall := j.Befall
	j.mutex.Unlock()
	if befall != nil {
		fault = befall(call)
	}
	switch fault {
	case Refuse:
		return fault, errors.Wrap(journal.ErrNotDone, "refused")
	case Hang:
		<-ctx.Done()
		return fault, errors.Wrap(journal.ErrUnknown, "hung")
	}
	return fault, nil
}

func (j *Journal) log(partition journal.Partition) *log {
	found := j.logs[partition]
	if found == nil {
		found = &log{}
		j.logs[partition] = found
	}
	return found
}

// Append implements journal.Journal.
func (j *Journal) Append(ctx context.Context, request journal.Append) (journal.Appended, error) {
	fault, err := j.fault(ctx, Append)
	if err != nil {
		return journal.Appended{}, err
	}
	if fault == Late {
		j.mutex.Lock()
		j.late = append(j.late, request)
		j.mutex.Unlock()
		<-ctx.Done()
		return journal.Appended{}, errors.Wrap(journal.ErrUnknown, "late")
	}
	appended, err := j.put(request)
	if fault == LoseAnswer {
		<-ctx.Done()
		return journal.Appended{}, errors.Wrap(journal.ErrUnknown, "answer lost")
	}
	return appended, err
}

func (j *Journal) put(request journal.Append) (journal.Appended, error) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
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

// Settle lets the late appends take effect now.
func (j *Journal) Settle() {
	j.mutex.Lock()
	late := j.late
	j.late = nil
	j.mutex.Unlock()
	for _, request := range late {
		_, _ = j.put(request)
	}
}

// Trim removes the records before an offset.
func (j *Journal) Trim(partition journal.Partition, before int64) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	target := j.log(partition)
	if before > target.first {
		target.records = target.records[min(before, target.end())-target.first:]
		target.first = before
	}
}

// Records returns all records kept of a partition.
func (j *Journal) Records(partition journal.Partition) [][]byte {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return append([][]byte(nil), j.log(partition).records...)
}

// Read implements journal.Journal.
func (j *Journal) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	if err := j.countRead(); err != nil {
		return journal.Records{}, err
	}
	if _, err := j.fault(ctx, Read); err != nil {
		return journal.Records{}, err
	}
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	for {
		j.mutex.Lock()
		target := j.log(request.Partition)
		read := journal.Records{End: target.end(), First: target.first}
		changed := j.changed
		if request.From < target.first {
			j.mutex.Unlock()
			return journal.Records{}, &journal.TrimmedError{First: target.first}
		}
		if request.From < target.end() {
			read.Records = append(read.Records, cut(target.records[request.From-target.first:], request.MaxBytes)...)
			j.countBytes(read.Records)
		}
		j.mutex.Unlock()
		if len(read.Records) > 0 || request.Wait == 0 {
			if err := j.outlet.send(ctx, sizeOf(read.Records)); err != nil {
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

// cut returns the first records that fit in a number of bytes, at least one; 0 is no bound.
func cut(records [][]byte, maxBytes int) [][]byte {
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
func (j *Journal) Newest(ctx context.Context, partition journal.Partition, afterKey string) (journal.KeyedPage, error) {
	if err := j.countRead(); err != nil {
		return journal.KeyedPage{}, err
	}
	if _, err := j.fault(ctx, Newest); err != nil {
		return journal.KeyedPage{}, err
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	target := j.log(partition)
	newest := map[string]journal.KeyedRecord{}
	for i, record := range target.records {
		keyed, err := j.SplitKeyed(record)
		if err != nil {
			continue // A record without a key is the newest of none.
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

// SplitKeyed implements journal.Journal.
func (j *Journal) SplitKeyed(record []byte) (journal.KeyedRecord, error) {
	return journal.DecodeKeyed(record)
}

// JoinKeyed implements journal.Journal.
func (j *Journal) JoinKeyed(record journal.KeyedRecord) []byte {
	return journal.EncodeKeyed(record.Key, record.Value)
}

// KeyedTopic implements journal.Journal.
func (j *Journal) KeyedTopic(name string) string { return journal.KeyedTopicName(name) }

// Join implements journal.Journal. Partitions are dealt evenly, in order.
func (j *Journal) Join(ctx context.Context, request journal.Join) (journal.Assignment, error) {
	if _, err := j.fault(ctx, Join); err != nil {
		return journal.Assignment{}, err
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.expire()
	if _, known := j.members[request.Member]; !known {
		j.generation++
	}
	j.members[request.Member] = time.Now().Add(request.Lifetime)
	j.topics = request.Topics
	assignment := journal.Assignment{Generation: j.generation}
	for _, row := range j.deal() {
		if row.Member == request.Member {
			assignment.Partitions = append(assignment.Partitions, row.Partition)
		}
	}
	return assignment, nil
}

// expire drops the members that have been silent. The mutex is held.
func (j *Journal) expire() {
	for member, until := range j.members {
		if time.Now().After(until) {
			delete(j.members, member)
			j.generation++
		}
	}
}

// deal gives each partition to a member. The mutex is held.
func (j *Journal) deal() []journal.Ownership {
	members := make([]string, 0, len(j.members))
	for member := range j.members {
		members = append(members, member)
	}
	if len(members) == 0 {
		return nil
	}
	sort.Strings(members)
	var rows []journal.Ownership
	for _, topic := range j.topics {
		for number := 0; number < j.Partitions; number++ {
			rows = append(rows, journal.Ownership{Partition: journal.Partition{Topic: topic, Number: number}, Member: members[(len(rows)+j.turn)%len(members)]})
		}
	}
	return rows
}

// DealAnew gives all partitions to other members at once.
func (j *Journal) DealAnew() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.turn++
	j.generation++
}

// Leave implements journal.Journal.
func (j *Journal) Leave(ctx context.Context, _, member string) error {
	if _, err := j.fault(ctx, Leave); err != nil {
		return err
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	delete(j.members, member)
	j.generation++
	return nil
}

// Owners implements journal.Journal.
func (j *Journal) Owners(ctx context.Context, _ string) ([]journal.Ownership, error) {
	if _, err := j.fault(ctx, Owners); err != nil {
		return nil, err
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.expire()
	return j.deal(), nil
}
