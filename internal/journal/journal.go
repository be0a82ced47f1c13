// Package journal names what woodworks needs of the platform's log: the only
// place where anything outlives a process.
//
// A log has topics, a topic has partitions, a partition is a list of records
// with rising offsets that have no gaps. Records once acknowledged are neither
// lost nor changed until they are trimmed.
//
// The package owns no record. It has the followers, which keep a handler up to date with a keyed
// partition (follow.go), and Revived, which gives up calls that an outage has swallowed. It relies
// on the log alone, which package platform and package logservice speak to.
//
// # Usage
//
//	log := journal.Revive(direct, logger)
//	appended, err := log.Append(ctx, journal.Append{Partition: p, Records: records})
//	go journal.NewKeyedFollower(log, keyed, handler, contactBound, logger).Run(ctx)
package journal

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Errors of a journal's calls. An error that is none of these, or that wraps
// ErrUnknown, promises nothing: the call may have had its effect, or may have
// it later.
var (
	// ErrNotDone: the call had no effect and will have none.
	ErrNotDone = errors.New("journal: not done")
	// ErrUnknown: the call got no usable answer.
	ErrUnknown = errors.New("journal: outcome unknown")
	// ErrPosition: a conditional append found another end; it had no effect.
	ErrPosition = errors.New("journal: the partition ends elsewhere")
	// ErrTrimmed: the offset asked for has been removed. The error wrapping it
	// is a *TrimmedError.
	ErrTrimmed = errors.New("journal: offset trimmed")
)

// TrimmedError says that the records before First are gone.
type TrimmedError struct{ First int64 }

// Error implements error.
func (e *TrimmedError) Error() string {
	return "journal: offset trimmed, the first kept is " + strconv.FormatInt(e.First, 10)
}

// Unwrap makes the error an ErrTrimmed.
func (e *TrimmedError) Unwrap() error { return ErrTrimmed }

// UnavailableError says that the journal could not be reached, or refused to serve this
// caller: the call had no effect. It is an ErrNotDone.
type UnavailableError struct{ Reason string }

// Error implements error.
func (e *UnavailableError) Error() string {
	return "journal: unavailable: " + e.Reason
}

// Unwrap makes the error an ErrNotDone.
func (e *UnavailableError) Unwrap() error { return ErrNotDone }

// ThrottledError says that the journal refused the call as more calls came than it
// grants: the call had no effect, and the same call made again at once makes it worse.
// It is an ErrNotDone.
type ThrottledError struct{ Reason string }

// Error implements error.
func (e *ThrottledError) Error() string {
	return "journal: throttled: " + e.Reason
}

// Unwrap makes the error an ErrNotDone.
func (e *ThrottledError) Unwrap() error { return ErrNotDone }

// Partition names one partition.
type Partition struct {
	Topic  string `cbor:"Topic"`
	Number int    `cbor:"Number"`
}

// Append asks for records to be added to one partition, all or none.
type Append struct {
	Partition Partition `cbor:"Partition"`
	Records   [][]byte  `cbor:"Records"`
	// ExpectedEnd, if not nil, is where the partition must end for the append
	// to happen.
	ExpectedEnd *int64 `cbor:"ExpectedEnd"`
}

// Appended tells where records were put.
type Appended struct {
	// Offset is that of the first record, End the offset after the last.
	Offset int64 `cbor:"Offset"`
	End    int64 `cbor:"End"`
}

// Read asks for the records of a partition from an offset on.
type Read struct {
	Partition Partition `cbor:"Partition"`
	From      int64     `cbor:"From"`
	// Wait is how long the call may wait while there is no record.
	Wait time.Duration `cbor:"Wait"`
	// MaxBytes, if not 0, bounds the records of the answer; there is at least one.
	MaxBytes int `cbor:"MaxBytes"`
}

// Records is a run of records, the first of them at the offset asked for.
type Records struct {
	Records [][]byte `cbor:"Records"`
	// End is the offset after the partition's last record, First the oldest kept.
	End   int64 `cbor:"End"`
	First int64 `cbor:"First"`
}

// KeyedRecord is the newest record of a key. An empty value means that the key
// was dropped.
type KeyedRecord struct {
	Key    string `cbor:"Key"`
	Value  []byte `cbor:"Value"`
	Offset int64  `cbor:"Offset"`
	// Unreadable says that there is a value and that it can't be read; Value is empty.
	Unreadable bool `cbor:"Unreadable"`
}

// KeyedPage is a part of a keyed partition's newest records.
type KeyedPage struct {
	Records []KeyedRecord `cbor:"Records"`
	// More says that keys after the last one of this page remain.
	More bool  `cbor:"More"`
	End  int64 `cbor:"End"`
}

// Join enters a group, or stays in it.
type Join struct {
	Group      string        `cbor:"Group"`
	Member     string        `cbor:"Member"`
	Topics     []string      `cbor:"Topics"`
	Lifetime   time.Duration `cbor:"Lifetime"`
	Generation int64         `cbor:"Generation"`
}

// Assignment is what a member of a group was given.
type Assignment struct {
	Generation int64       `cbor:"Generation"`
	Partitions []Partition `cbor:"Partitions"`
}

// Ownership is one row of who was given what.
type Ownership struct {
	Partition Partition `cbor:"Partition"`
	Member    string    `cbor:"Member"`
}

// Journal is the platform's log. Implementations translate and do no more:
// they neither retry nor cache.
type Journal interface {
	Append(ctx context.Context, request Append) (Appended, error)
	// Read returns records together with an error where an answer broke off after them:
	// they count, so that a reader goes on behind them.
	Read(ctx context.Context, request Read) (Records, error)
	// Newest reads the newest record of each key of a keyed partition, from
	// the key after afterKey on.
	Newest(ctx context.Context, partition Partition, afterKey string) (KeyedPage, error)
	Join(ctx context.Context, request Join) (Assignment, error)
	Leave(ctx context.Context, group, member string) error
	Owners(ctx context.Context, group string) ([]Ownership, error)
	// PartitionsPerTopic is how many partitions each topic has.
	PartitionsPerTopic() int
	// MaxRecordBytes and MaxAppendBytes bound a record and an append.
	MaxRecordBytes() int
	MaxAppendBytes() int
	// RateLimits is what the journal grants all daemons together.
	RateLimits() RateLimits
}

// AppendWithTimeout appends records to a partition, and waits for the answer until the timeout.
func AppendWithTimeout(ctx context.Context, log Journal, timeout time.Duration, partition Partition, records ...[]byte) error {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := log.Append(bounded, Append{Partition: partition, Records: records})
	return err
}

// ReadToEnd gives take the records of a partition from an offset on, up to where it ends, and returns
// the offset after them. Those that were trimmed are passed over. Each read is waited for until the
// timeout.
func ReadToEnd(
	ctx context.Context, log Journal, partition Partition, from int64, timeout time.Duration,
	take func(offset int64, records [][]byte),
) (next int64, err error) {
	for next = from; ; {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		read, err := log.Read(bounded, Read{Partition: partition, From: next})
		cancel()
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) {
			next = trimmed.First
			continue
		}
		if err != nil {
			return next, err
		}
		take(next, read.Records)
		next += int64(len(read.Records))
		if next >= read.End || len(read.Records) == 0 {
			return next, nil
		}
	}
}

// Limits is what a journal takes and grants. It has the methods of a Journal that tell so.
type Limits struct {
	// Partitions is how many partitions each topic has.
	Partitions int
	// RecordBytes and AppendBytes are the largest record and append.
	RecordBytes, AppendBytes int
	Rates                    RateLimits
}

// PartitionsPerTopic implements Journal.
func (s Limits) PartitionsPerTopic() int { return s.Partitions }

// MaxRecordBytes implements Journal.
func (s Limits) MaxRecordBytes() int { return s.RecordBytes }

// MaxAppendBytes implements Journal.
func (s Limits) MaxAppendBytes() int { return s.AppendBytes }

// RateLimits implements Journal.
func (s Limits) RateLimits() RateLimits { return s.Rates }

// RateLimits is what a journal grants all daemons together; 0 where that is not known.
type RateLimits struct {
	// ReadsPerSecond is how many reads they may make in a second.
	ReadsPerSecond float64
	// WritesPerSecond is how many writes they may make in a second.
	WritesPerSecond float64
	// ReadBytesPerSecond is how many bytes it reads out in a second.
	ReadBytesPerSecond float64
}
