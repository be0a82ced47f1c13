package runner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

// ownerInJournal returns the current owner of a batch, read from the journal.
func ownerInJournal(ctx context.Context, t *testing.T, log *journaltest.Journal, batchID string) string {
	t.Helper()
	partition := ledger.New(ctx, log, zap.NewNop()).PartitionOf(batchID)
	is.New(t).NoErr(partition.CatchUp(ctx))
	return ownerOf(partition, batchID)
}

// refuse makes the journal refuse calls of one kind.
func refuse(log *journaltest.Journal, refused journaltest.Call) {
	log.SetFault(func(call journaltest.Call) journaltest.Fault {
		if call == refused {
			return journaltest.Refuse
		}
		return journaltest.None
	})
}

// Release must wait for the records of batches without items in progress. If the daemon ended
// before these records are written, the batches would stay idle until their owner was found
// silent.
func TestReleaseWaitsForItsRecords(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		owner := newOwnerOfTwo(ctx, t, log)
		refuse(log, journaltest.Append)
		time.AfterFunc(4*time.Second, func() { log.SetFault(nil) })
		bounded, cancel := context.WithTimeout(ctx, 8*time.Second)
		defer cancel()
		owner.Release(bounded)
		is.Equal(ownerInJournal(ctx, t, log, "x"), "")
	})
}

// slowJournal is a journal that delays appends, and reads that are not long polls.
type slowJournal struct {
	*journaltest.Journal
	appends, reads atomic.Int64
}

func (s *slowJournal) Append(ctx context.Context, request journal.Append) (journal.Appended, error) {
	periodic.Pause(ctx, time.Duration(s.appends.Load()))
	return s.Journal.Append(ctx, request)
}

func (s *slowJournal) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	if request.Wait == 0 {
		periodic.Pause(ctx, time.Duration(s.reads.Load()))
	}
	return s.Journal.Read(ctx, request)
}

// acceptFor accepts twoItems for an owner, and releases it unless the owner is "b/1".
func acceptFor(ctx context.Context, partition *ledger.Partition, owner string) error {
	if err := partition.Append(ctx, batch.Accepted(&twoItems, owner)); err != nil || owner == "b/1" {
		return err
	}
	return partition.Append(ctx, batch.Released("x", owner, nil))
}

// A batch that this daemon comes to own while it is stopping must be released: it would otherwise
// stay idle until its owner was found silent.
func TestBatchAcquiredDuringStopIsReleased(t *testing.T) {
	const delay = 300 * time.Millisecond
	for name, acquire := range map[string]func(ctx context.Context, log *slowJournal, stopping *Runner) error{
		"taken over, slow append": func(ctx context.Context, log *slowJournal, stopping *Runner) error {
			err := acceptFor(ctx, stopping.ledger.PartitionOf("x"), "a/1")
			log.appends.Store(int64(delay))
			go func() { _ = stopping.TakeOver(ctx, "x", "") }() // the outcome is read from the journal below
			return err
		},
		"taken over, slow read": func(ctx context.Context, log *slowJournal, stopping *Runner) error {
			err := acceptFor(ctx, stopping.ledger.PartitionOf("x"), "a/1")
			log.reads.Store(int64(delay))
			go func() { _ = stopping.TakeOver(ctx, "x", "") }() // the outcome is read from the journal below
			return err
		},
		"assigned, slow read": func(ctx context.Context, log *slowJournal, stopping *Runner) error {
			err := acceptFor(ctx, stopping.ledger.PartitionOf("x"), "b/1")
			log.reads.Store(int64(delay))
			go stopping.AdoptAssigned("x")
			return err
		},
		"accepted, slow append": func(ctx context.Context, log *slowJournal, stopping *Runner) error {
			log.appends.Store(int64(delay))
			go func() { _ = stopping.Accept(ctx, &twoItems) }() // the outcome is read from the journal below
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx := t.Context()
				log := &slowJournal{Journal: journaltest.New()}
				stopping := newOwner(ctx, t, log, "b/1")
				is.NoErr(acquire(ctx, log, stopping))
				time.Sleep(delay / 2)
				stopping.Release(ctx)
				time.Sleep(2 * delay)
				is.Equal(ownerInJournal(ctx, t, log.Journal, "x"), "")
			})
		})
	}
}

// changingGroup is a group in which other daemons come and go.
type changingGroup struct {
	fakeGroup
	others atomic.Pointer[[]string]
}

func (g *changingGroup) Alive(context.Context) ([]string, error) { return *g.others.Load(), nil }

// Guards against items that stay at no replica for as long as all daemons stop together, each of which has
// released its batches.
func TestABatchIsRunOnWhileThereIsNoSuccessor(t *testing.T) {
	const grace = 8 * time.Second
	for name, comes := range map[string]bool{"one comes": true, "none comes": false} {
		t.Run(name, func(t *testing.T) {
			withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
				owner, group := newOwnerOfTwo(ctx, t, log), &changingGroup{}
				group.others.Store(&[]string{"a/1"})
				owner.SetGroup(group)
				bounded, cancel := context.WithTimeout(ctx, grace)
				defer cancel()
				go owner.Release(bounded)
				time.Sleep(grace / 2)
				is.Equal(ownerInJournal(ctx, t, log, "x"), "a/1")
				is.Equal(startable(owner), 2)
				if comes {
					group.others.Store(&[]string{"a/1", "b/1"})
					time.Sleep(2 * successorInterval)
				} else {
					time.Sleep(grace/2 - releaseMargin/2)
				}
				is.Equal(ownerInJournal(ctx, t, log, "x"), "")
				is.Equal(startable(owner), 0)
			})
		})
	}
}

// Guards against a batch that is released to a daemon which is asked to stop before it has taken the batch
// over: all daemons stop, and none runs the batch.
func TestAReleasedBatchThatNobodyTakesOverIsTakenBack(t *testing.T) {
	withJournal(t, func(ctx context.Context, t *testing.T, is *is.I, log *journaltest.Journal) {
		owner, group := newOwnerOfTwo(ctx, t, log), &changingGroup{}
		group.others.Store(&[]string{"a/1", "b/1"})
		owner.SetGroup(group)
		bounded, cancel := context.WithTimeout(ctx, 8*time.Second)
		defer cancel()
		go owner.Release(bounded)
		time.Sleep(2 * successorDelay)
		is.Equal(ownerInJournal(ctx, t, log, "x"), "")
		group.others.Store(&[]string{}) // all have left
		time.Sleep(takeBackDelay)
		is.Equal(ownerInJournal(ctx, t, log, "x"), "a/1")
		is.Equal(startable(owner), 2)
		group.others.Store(&[]string{"c/1"}) // one has started
		time.Sleep(2 * successorInterval)
		next := newOwner(ctx, t, log, "c/1")
		is.NoErr(next.TakeOver(ctx, "x", ""))
		time.Sleep(2 * takeBackDelay)
		is.Equal(ownerInJournal(ctx, t, log, "x"), "c/1")
		is.Equal(len(owner.jobList()), 0)
	})
}
