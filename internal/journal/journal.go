// Package journal defines the interface to the platform's log, the only durable storage that
// woodworks uses.
//
// A log has topics, a topic has partitions, and a partition is a sequence of records with
// consecutive, increasing offsets. Acknowledged records are neither lost nor changed until they
// are trimmed.
//
// The package also provides KeyedFollower, which keeps a handler up to date with a keyed
// partition, and LostCallDetector, which gives up calls whose answers were lost in an outage. The
// log itself is accessed by the implementations of Journal in the packages platform and
// logservice.
//
// # Usage
//
//	log := journal.DetectLostCalls(direct, logger)
//	appended, err := log.Append(ctx, journal.Append{Partition: p, Records: records})
//	go journal.NewKeyedFollower(log, keyed, handler, contactBound, logger).Run(ctx)
package journal

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Errors of a journal's calls. After ErrUnknown, or an error that wraps none of these, the call
// may have taken effect, or may still do so later.
var (
	// ErrNotDone means that the call had no effect and will have none.
	ErrNotDone = errors.New("journal: not done")
	// ErrUnknown means that no usable answer arrived, so that the outcome is unknown.
	ErrUnknown = errors.New("journal: outcome unknown")
	// ErrGivenUp means that LostCallDetector gave a read up because later calls were answered, so
	// that another read may be answered at once. It wraps ErrUnknown.
	ErrGivenUp = errors.WithMessage(ErrUnknown, "journal: given up as lost")
	// ErrPosition means that the partition does not end at Append.ExpectedEnd; the append had no
	// effect.
	ErrPosition = errors.New("journal: the partition ends elsewhere")
	// ErrTrimmed means that the record at the requested offset has been trimmed. Errors of this
	// kind are of type *TrimmedError, which wraps ErrTrimmed.
	ErrTrimmed = errors.New("journal: offset trimmed")
)

// TrimmedError reports that the record at the requested offset has been trimmed. First is the
// oldest offset that still has a record. The error wraps ErrTrimmed.
type TrimmedError struct{ First int64 }

// Error implements error.
func (e *TrimmedError) Error() string {
	return "journal: offset trimmed, the first kept is " + strconv.FormatInt(e.First, 10)
}

// Unwrap returns ErrTrimmed.
func (e *TrimmedError) Unwrap() error { return ErrTrimmed }

// UnavailableError reports that the journal could not be reached or refused to serve this caller.
// The call had no effect; the error wraps ErrNotDone.
type UnavailableError struct{ Reason string }

// Error implements error.
func (e *UnavailableError) Error() string {
	return "journal: unavailable: " + e.Reason
}

// Unwrap returns ErrNotDone.
func (e *UnavailableError) Unwrap() error { return ErrNotDone }

// ThrottledError reports that the call was refused because a rate limit of the journal was
// exceeded. The call had no effect; the error wraps ErrNotDone. Callers must wait before they
// retry.
type ThrottledError struct{ Reason string }

// Error implements error.
func (e *ThrottledError) Error() string {
	return "journal: throttled: " + e.Reason
}

// Unwrap returns ErrNotDone.
func (e *ThrottledError) Unwrap() error { return ErrNotDone }

// Partition identifies a partition by its topic and its number within the topic, counted from 0.
type Partition struct {
	Topic  string `cbor:"Topic"`
	Number int    `cbor:"Number"`
}

// Append is a request to append records to a partition. Either all records are appended or none.
type Append struct {
	Partition Partition `cbor:"Partition"`
	Records   [][]byte  `cbor:"Records"`
	// ExpectedEnd, if not nil, is the offset at which the partition must end. If the partition
	// ends elsewhere, the append fails with ErrPosition.
	ExpectedEnd *int64 `cbor:"ExpectedEnd"`
}

// Appended holds the offsets of appended records.
type Appended struct {
	// Offset is the offset of the first appended record, and End the offset after the last one.
	Offset int64 `cbor:"Offset"`
	End    int64 `cbor:"End"`
}

// Read is a request for the records of a partition from offset From on.
type Read struct {
	Partition Partition `cbor:"Partition"`
	From      int64     `cbor:"From"`
	// Wait is how long the read waits for a record if there is none yet (long poll). With 0 the
	// read returns immediately.
	Wait time.Duration `cbor:"Wait"`
	// MaxBytes, if not 0, limits the total size of the returned records. A first record that is
	// larger is returned by itself.
	MaxBytes int `cbor:"MaxBytes"`
}

// Records is the answer to a Read: consecutive records from offset From on.
type Records struct {
	Records [][]byte `cbor:"Records"`
	// End is the offset after the last record of the partition, and First the offset of the
	// oldest record that still exists.
	End   int64 `cbor:"End"`
	First int64 `cbor:"First"`
}

// KeyedRecord is a record with a key. An empty Value means that the key was deleted, unless
// Unreadable is set.
type KeyedRecord struct {
	Key    string `cbor:"Key"`
	Value  []byte `cbor:"Value"`
	Offset int64  `cbor:"Offset"`
	// Unreadable reports that the key has a value that could not be read. Value is then empty.
	Unreadable bool `cbor:"Unreadable"`
}

// KeyedPage is one page of the keys of a keyed partition. It has the newest record of each key, in
// the order of the keys.
type KeyedPage struct {
	Records []KeyedRecord `cbor:"Records"`
	// More reports whether there are further keys after the last key of this page. End is the
	// offset after the last record of the partition.
	More bool  `cbor:"More"`
	End  int64 `cbor:"End"`
}

// Join is a request to join a group, or to renew the membership. The membership lasts for
// Lifetime unless it is renewed. Generation is the last generation of the group that the member
// knows.
type Join struct {
	Group      string        `cbor:"Group"`
	Member     string        `cbor:"Member"`
	Topics     []string      `cbor:"Topics"`
	Lifetime   time.Duration `cbor:"Lifetime"`
	Generation int64         `cbor:"Generation"`
}

// Assignment holds the partitions assigned to a member in a generation of its group.
type Assignment struct {
	Generation int64       `cbor:"Generation"`
	Partitions []Partition `cbor:"Partitions"`
}

// Ownership is the assignment of one partition to a group member.
type Ownership struct {
	Partition Partition `cbor:"Partition"`
	Member    string    `cbor:"Member"`
}

// Journal is the interface to the platform's log. Implementations neither retry nor cache.
type Journal interface {
	// Append appends all records of the request to its partition, or none. It fails with
	// ErrPosition if ExpectedEnd is set and the partition does not end there.
	Append(ctx context.Context, request Append) (Appended, error)
	// Read returns the records of a partition from an offset on. If the answer breaks off, Read
	// returns both an error and the complete records before the break. These records are valid,
	// and the caller may continue after them.
	Read(ctx context.Context, request Read) (Records, error)
	// Newest returns a page with the newest record of each key of a keyed partition, in the order
	// of the keys. The page starts with the first key after afterKey. If afterKey is "", it
	// starts with the first key.
	Newest(ctx context.Context, partition Partition, afterKey string) (KeyedPage, error)
	// Join joins a group or renews a membership, and returns the partitions assigned to the
	// member.
	Join(ctx context.Context, request Join) (Assignment, error)
	// Leave ends the membership of a member, so that its partitions are assigned to others.
	Leave(ctx context.Context, group, member string) error
	// Owners returns the current assignment of all partitions of a group.
	Owners(ctx context.Context, group string) ([]Ownership, error)
	// PartitionsPerTopic returns the number of partitions of each topic.
	PartitionsPerTopic() int
	// MaxRecordBytes and MaxAppendBytes return the maximum size in bytes of a record and of an
	// append.
	MaxRecordBytes() int
	MaxAppendBytes() int
	// RateLimits returns the limits that apply to all daemons together.
	RateLimits() RateLimits
}

// AppendWithTimeout appends records to a partition. timeout bounds the call.
func AppendWithTimeout(ctx context.Context, log Journal, timeout time.Duration, partition Partition, records ...[]byte) error {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := log.Append(bounded, Append{Partition: partition, Records: records})
	return err
}

// ReadToEnd reads a partition from an offset to its end and passes the records to handle, with
// the offset of the first record of each read. It returns the offset after these records, also
// if a read fails after others have succeeded. Trimmed records are skipped. timeout bounds each
// read.
func ReadToEnd(
	ctx context.Context, log Journal, partition Partition, from int64, timeout time.Duration,
	handle func(offset int64, records [][]byte),
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
		handle(next, read.Records)
		next += int64(len(read.Records))
		if next >= read.End || len(read.Records) == 0 {
			return next, nil
		}
	}
}

// Limits holds the sizes and limits of a journal. Implementations of Journal embed it to get the
// methods that return them.
type Limits struct {
	// Partitions is the number of partitions of each topic.
	Partitions int
	// RecordBytes and AppendBytes are the maximum sizes of a record and of an append, in bytes.
	RecordBytes, AppendBytes int
	// Rates holds the limits that apply to all daemons together.
	Rates RateLimits
}

// PartitionsPerTopic implements Journal.
func (l Limits) PartitionsPerTopic() int { return l.Partitions }

// MaxRecordBytes implements Journal.
func (l Limits) MaxRecordBytes() int { return l.RecordBytes }

// MaxAppendBytes implements Journal.
func (l Limits) MaxAppendBytes() int { return l.AppendBytes }

// RateLimits implements Journal.
func (l Limits) RateLimits() RateLimits { return l.Rates }

// RateLimits holds the limits of a journal that apply to all daemons together. A limit of 0 is
// not known.
type RateLimits struct {
	// ReadsPerSecond is the maximum number of reads per second.
	ReadsPerSecond float64
	// WritesPerSecond is the maximum number of writes per second.
	WritesPerSecond float64
	// ReadBytesPerSecond is the maximum number of bytes that reads return per second.
	ReadBytesPerSecond float64
}
