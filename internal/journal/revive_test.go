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

// newSilenceable returns a journal whose calls hang while it is silent.
func newSilenceable() (*journaltest.Journal, *atomic.Bool) {
	log := journaltest.New()
	silent := &atomic.Bool{}
	log.Befall = func(journaltest.Call) journaltest.Fault {
		if silent.Load() {
			return journaltest.Hang
		}
		return journaltest.None
	}
	return log, silent
}

// callResult is how a call callResult, and when.
type callResult struct {
	err error
	at  time.Time
}

// runInBackground runs a call and tells how it ended.
func runInBackground(call func() error) chan callResult {
	done := make(chan callResult, 1)
	go func() {
		err := call()
		done <- callResult{err, time.Now()}
	}()
	return done
}

// A call that a silent outage has swallowed ends as soon as a later one is
// answered, not at its timeout; its outcome is unknown.
func TestSwallowedCallsEndWhenTheJournalAnswersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, silent := newSilenceable()
		revived := journal.DetectLostCalls(log, zap.NewNop())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		part := journal.Partition{Topic: "t"}
		silent.Store(true)
		appended := runInBackground(func() error {
			_, err := revived.Append(ctx, journal.Append{Partition: part, Records: [][]byte{{1}}})
			return err
		})
		held := runInBackground(func() error {
			_, err := revived.Read(ctx, journal.Read{Partition: journal.Partition{Topic: "other"}, Wait: time.Second})
			return err
		})
		time.Sleep(3 * time.Second)
		silent.Store(false)
		back := time.Now()
		_, err := revived.Owners(ctx, "g")
		is.NoErr(err)
		for _, each := range []chan callResult{appended, held} {
			outcome := <-each
			is.True(errors.Is(outcome.err, journal.ErrUnknown))
			is.Equal(outcome.at, back)
		}
		is.Equal(revived.CallsGivenUp.Load(), uint64(2))
	})
}

// Calls are left alone that are held on purpose, that began after the one that
// was answered, or that are no slower than it.
func TestCallsThatMayBeAnsweredYetAreLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, silent := newSilenceable()
		revived := journal.DetectLostCalls(log, zap.NewNop())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		part := journal.Partition{Topic: "t"}
		held := runInBackground(func() error {
			_, err := revived.Read(ctx, journal.Read{Partition: part, Wait: 10 * time.Second})
			return err
		})
		time.Sleep(5 * time.Second)
		_, err := revived.Owners(ctx, "g")
		is.NoErr(err)
		_, err = revived.Append(ctx, journal.Append{Partition: part, Records: [][]byte{{1}}})
		is.NoErr(err)
		outcome := <-held
		is.NoErr(outcome.err)
		// One partition alone may be silent: answers of others say nothing of it.
		silent.Store(true)
		young := runInBackground(func() error {
			_, err := revived.Append(ctx, journal.Append{Partition: part, Records: [][]byte{{2}}})
			return err
		})
		synctest.Wait()
		silent.Store(false)
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			_, err = revived.Owners(ctx, "g")
			is.NoErr(err)
		}
		synctest.Wait()
		is.Equal(len(young), 0)
		_, err = revived.Read(ctx, journal.Read{Partition: part})
		is.NoErr(err)
		is.True(errors.Is((<-young).err, journal.ErrUnknown))
		is.Equal(revived.CallsGivenUp.Load(), uint64(1))
	})
}

// waitOrUnknown waits for a while, or gives a call up of which the outcome is unknown.
func waitOrUnknown(ctx context.Context, wait time.Duration) error {
	if periodic.Pause(ctx, wait); ctx.Err() != nil {
		return errors.Wrap(journal.ErrUnknown, ctx.Err().Error())
	}
	return nil
}

// slowJournal is a journal whose appends and reads take a time.
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

// In a journal that is slow as a whole nothing is given up.
func TestASlowJournalIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		revived := journal.DetectLostCalls(slowJournal{journaltest.New(), time.Second, 400 * time.Millisecond}, zap.NewNop())
		part := journal.Partition{Topic: "t"}
		appended := runInBackground(func() error {
			_, err := revived.Append(t.Context(), journal.Append{Partition: part, Records: [][]byte{{1}}})
			return err
		})
		time.Sleep(500 * time.Millisecond)
		_, err := revived.Read(t.Context(), journal.Read{Partition: part})
		is.NoErr(err)
		is.NoErr((<-appended).err)
		is.Equal(revived.CallsGivenUp.Load(), uint64(0))
	})
}

// A read whose answer is lost, with no other call to its partition, ends some
// time after calls to others are answered: reading again costs little.
func TestALostReadIsToldByOtherPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, silent := newSilenceable()
		revived := journal.DetectLostCalls(log, zap.NewNop())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		const wait, step = time.Second, 100 * time.Millisecond
		silent.Store(true)
		began := time.Now()
		lost := runInBackground(func() error {
			_, err := revived.Read(ctx, journal.Read{Partition: journal.Partition{Topic: "t"}, Wait: wait})
			return err
		})
		synctest.Wait()
		silent.Store(false)
		for len(lost) == 0 {
			time.Sleep(step)
			_, err := revived.Owners(ctx, "g")
			is.NoErr(err)
			synctest.Wait()
		}
		outcome := <-lost
		is.True(errors.Is(outcome.err, journal.ErrUnknown))
		is.True(outcome.at.Sub(began) > wait+500*time.Millisecond)
		is.True(outcome.at.Sub(began) <= wait+600*time.Millisecond+step)
	})
}

// slowRecords is a journal that takes long over the records of one partition.
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

// A long answer that is on its way is not lost because short ones overtake it: begun
// anew it would only come later (9,000 reads were once given up after a start
// of all daemons). Answers to reads of records do tell of it.
func TestALongReadIsNotGivenUpForShortCalls(t *testing.T) {
	for name, bulk := range map[string]bool{"short calls": false, "reads of records": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				long, other := journal.Partition{Topic: "t"}, journal.Partition{Topic: "t", Number: 1}
				revived := journal.DetectLostCalls(slowRecords{journaltest.New(), long, 1200 * time.Millisecond}, zap.NewNop())
				read := runInBackground(func() error {
					_, err := revived.Read(t.Context(), journal.Read{Partition: long})
					return err
				})
				for range 8 {
					time.Sleep(100 * time.Millisecond)
					if bulk {
						_, err := revived.Read(t.Context(), journal.Read{Partition: other})
						is.NoErr(err)
						continue
					}
					_, err := revived.Owners(t.Context(), "g")
					is.NoErr(err)
					_, err = revived.Newest(t.Context(), other, "")
					is.NoErr(err)
				}
				outcome := <-read
				is.Equal(errors.Is(outcome.err, journal.ErrUnknown), bulk)
			})
		})
	}
}

// slowNewest is a journal that takes long over full reads.
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

// A full read brings all newest records, so that its answer is among the longest that there
// are. It was taken for a short call, and given up 0.6 s after it began because a call with
// nothing to tell, as those that keep a member in its group, was answered at once; begun anew it
// came later still.
func TestAFullReadIsNotGivenUpForShortCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		revived := journal.DetectLostCalls(slowNewest{journaltest.New(), 1200 * time.Millisecond}, zap.NewNop())
		read := runInBackground(func() error {
			_, err := revived.Newest(t.Context(), followed, "")
			return err
		})
		for range 8 {
			time.Sleep(100 * time.Millisecond)
			_, err := revived.Owners(t.Context(), "g")
			is.NoErr(err)
		}
		is.NoErr((<-read).err)
		is.Equal(revived.CallsGivenUp.Load(), uint64(0))
	})
}
