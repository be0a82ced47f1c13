package journal_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

// newSilenceable returns a journal whose calls hang while the flag is set.
func newSilenceable() (*journaltest.Journal, *atomic.Bool) {
	log := journaltest.New()
	silent := &atomic.Bool{}
	log.FaultFunc = func(journaltest.Call) journaltest.Fault {
		if silent.Load() {
			return journaltest.Hang
		}
		return journaltest.None
	}
	return log, silent
}

// callResult is the error of a call and the time at which it returned.
type callResult struct {
	err error
	at  time.Time
}

// runInBackground runs call in a goroutine and sends its result.
func runInBackground(call func() error) chan callResult {
	done := make(chan callResult, 1)
	go func() {
		err := call()
		done <- callResult{err, time.Now()}
	}()
	return done
}

// Guards against calls that were lost in an outage and end only at their timeout.
func TestSwallowedCallsEndWhenTheJournalAnswersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, silent := newSilenceable()
		detector := journal.DetectLostCalls(log, zap.NewNop())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		part := journal.Partition{Topic: "t"}
		silent.Store(true)
		appended := runInBackground(func() error {
			_, err := detector.Append(ctx, journal.Append{Partition: part, Records: [][]byte{{1}}})
			return err
		})
		held := runInBackground(func() error {
			_, err := detector.Read(ctx, journal.Read{Partition: journal.Partition{Topic: "other"}, Wait: time.Second})
			return err
		})
		time.Sleep(3 * time.Second)
		silent.Store(false)
		back := time.Now()
		_, err := detector.Owners(ctx, "g")
		is.NoErr(err)
		for _, each := range []chan callResult{appended, held} {
			outcome := <-each
			is.True(errors.Is(outcome.err, journal.ErrUnknown))
			is.Equal(outcome.at, back)
		}
		is.Equal(detector.CallsGivenUp.Load(), uint64(2))
	})
}

// Guards against giving up long polls, and against giving up appends when only other partitions
// have answered.
func TestCallsThatMayStillBeAnsweredAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, silent := newSilenceable()
		detector := journal.DetectLostCalls(log, zap.NewNop())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		part := journal.Partition{Topic: "t"}
		held := runInBackground(func() error {
			_, err := detector.Read(ctx, journal.Read{Partition: part, Wait: 10 * time.Second})
			return err
		})
		time.Sleep(5 * time.Second)
		_, err := detector.Owners(ctx, "g")
		is.NoErr(err)
		_, err = detector.Append(ctx, journal.Append{Partition: part, Records: [][]byte{{1}}})
		is.NoErr(err)
		outcome := <-held
		is.NoErr(outcome.err)
		// Answers from other partitions are no sign that an append to this partition is lost.
		silent.Store(true)
		pending := runInBackground(func() error {
			_, err := detector.Append(ctx, journal.Append{Partition: part, Records: [][]byte{{2}}})
			return err
		})
		synctest.Wait()
		silent.Store(false)
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			_, err = detector.Owners(ctx, "g")
			is.NoErr(err)
		}
		synctest.Wait()
		is.Equal(len(pending), 0)
		_, err = detector.Read(ctx, journal.Read{Partition: part})
		is.NoErr(err)
		is.True(errors.Is((<-pending).err, journal.ErrUnknown))
		is.Equal(detector.CallsGivenUp.Load(), uint64(1))
	})
}

// waitOrUnknown waits for a duration, or returns ErrUnknown when ctx ends.
func waitOrUnknown(ctx context.Context, wait time.Duration) error {
	if periodic.Pause(ctx, wait); ctx.Err() != nil {
		return errors.Wrap(journal.ErrUnknown, ctx.Err().Error())
	}
	return nil
}

// slowJournal is a journal whose appends and reads take a given time.
type slowJournal struct {
	*journaltest.Journal
	appendTime, readTime time.Duration
}

func (s slowJournal) Append(ctx context.Context, request journal.Append) (journal.Appended, error) {
	if err := waitOrUnknown(ctx, s.appendTime); err != nil {
		return journal.Appended{}, err
	}
	return s.Journal.Append(ctx, request)
}

func (s slowJournal) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	time.Sleep(s.readTime)
	return s.Journal.Read(ctx, request)
}

// Guards against giving up calls when the whole journal is slow.
func TestCallsToASlowJournalAreNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		detector := journal.DetectLostCalls(slowJournal{journaltest.New(), time.Second, 400 * time.Millisecond}, zap.NewNop())
		part := journal.Partition{Topic: "t"}
		appended := runInBackground(func() error {
			_, err := detector.Append(t.Context(), journal.Append{Partition: part, Records: [][]byte{{1}}})
			return err
		})
		time.Sleep(500 * time.Millisecond)
		_, err := detector.Read(t.Context(), journal.Read{Partition: part})
		is.NoErr(err)
		is.NoErr((<-appended).err)
		is.Equal(detector.CallsGivenUp.Load(), uint64(0))
	})
}

// Guards against a lost read that is not given up because there are no other calls to its
// partition.
func TestAnswersOfOtherPartitionsRevealALostRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, silent := newSilenceable()
		detector := journal.DetectLostCalls(log, zap.NewNop())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		const wait, step = time.Second, 100 * time.Millisecond
		silent.Store(true)
		began := time.Now()
		lost := runInBackground(func() error {
			_, err := detector.Read(ctx, journal.Read{Partition: journal.Partition{Topic: "t"}, Wait: wait})
			return err
		})
		synctest.Wait()
		silent.Store(false)
		for len(lost) == 0 {
			time.Sleep(step)
			_, err := detector.Owners(ctx, "g")
			is.NoErr(err)
			synctest.Wait()
		}
		outcome := <-lost
		is.True(errors.Is(outcome.err, journal.ErrUnknown))
		is.True(outcome.at.Sub(began) > wait+500*time.Millisecond)
		is.True(outcome.at.Sub(began) <= wait+600*time.Millisecond+step)
	})
}

// slowRecords is a journal that delays reads of one partition.
type slowRecords struct {
	*journaltest.Journal
	partition journal.Partition
	takes     time.Duration
}

func (s slowRecords) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	if request.Partition == s.partition {
		if err := waitOrUnknown(ctx, s.takes); err != nil {
			return journal.Records{}, err
		}
	}
	return s.Journal.Read(ctx, request)
}

// Guards against giving up reads with large answers because short calls are answered first.
// Answers to other reads of records do count.
func TestALongReadIsNotGivenUpForShortCalls(t *testing.T) {
	for name, bulk := range map[string]bool{"short calls": false, "reads of records": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				long, other := journal.Partition{Topic: "t"}, journal.Partition{Topic: "t", Number: 1}
				detector := journal.DetectLostCalls(slowRecords{journaltest.New(), long, 1200 * time.Millisecond}, zap.NewNop())
				read := runInBackground(func() error {
					_, err := detector.Read(t.Context(), journal.Read{Partition: long})
					return err
				})
				for range 8 {
					time.Sleep(100 * time.Millisecond)
					if bulk {
						_, err := detector.Read(t.Context(), journal.Read{Partition: other})
						is.NoErr(err)
						continue
					}
					_, err := detector.Owners(t.Context(), "g")
					is.NoErr(err)
					_, err = detector.Newest(t.Context(), other, "")
					is.NoErr(err)
				}
				outcome := <-read
				is.Equal(errors.Is(outcome.err, journal.ErrUnknown), bulk)
			})
		})
	}
}

// slowNewest is a journal that delays Newest.
type slowNewest struct {
	*journaltest.Journal
	takes time.Duration
}

func (s slowNewest) Newest(ctx context.Context, partition journal.Partition, afterKey string) (journal.KeyedPage, error) {
	if err := waitOrUnknown(ctx, s.takes); err != nil {
		return journal.KeyedPage{}, err
	}
	return s.Journal.Newest(ctx, partition, afterKey)
}

// Guards against giving up a call to Newest, whose answer may be large, because short calls are
// answered first.
func TestAFullReadIsNotGivenUpForShortCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		detector := journal.DetectLostCalls(slowNewest{journaltest.New(), 1200 * time.Millisecond}, zap.NewNop())
		read := runInBackground(func() error {
			_, err := detector.Newest(t.Context(), followed, "")
			return err
		})
		for range 8 {
			time.Sleep(100 * time.Millisecond)
			_, err := detector.Owners(t.Context(), "g")
			is.NoErr(err)
		}
		is.NoErr((<-read).err)
		is.Equal(detector.CallsGivenUp.Load(), uint64(0))
	})
}
