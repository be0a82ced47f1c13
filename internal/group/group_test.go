package group

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

var topics = []string{"t"}

func start(ctx context.Context, log journal.Journal, name string) *Member {
	member := New(log, name, topics, zap.NewNop())
	go member.Run(ctx)
	return member
}

// A member that leaves drops its partitions at once and repeats its leaving
// until it is done: they once lay idle for its whole lifetime after one refusal
// (bench: qarmoud-arena trouble-2, seed 3).
func TestLeavingIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := journaltest.New()
		var refusals atomic.Int64
		log.Befall = func(call journaltest.Call) journaltest.Fault {
			if call == journaltest.Leave && refusals.Add(1) <= 2 {
				return journaltest.Refuse
			}
			return journaltest.None
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		first, second := start(ctx, log, "a/1"), start(ctx, log, "b/1")
		time.Sleep(2 * joinInterval)
		is.Equal(len(first.Partitions()), 1)
		is.Equal(len(second.Partitions()), 1)
		began := time.Now()
		first.Leave(ctx)
		is.Equal(len(first.Partitions()), 0)
		is.True(time.Since(began) < lifetime/2)
		time.Sleep(joinInterval)
		is.Equal(len(second.Partitions()), 2)
		time.Sleep(5 * joinInterval)
		is.Equal(len(first.Partitions()), 0)
	})
}

func TestASilentMembersPartitionsPassOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := journaltest.New()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		bounded, kill := context.WithCancel(ctx)
		start(bounded, log, "a/1")
		second := start(ctx, log, "b/1")
		time.Sleep(2 * joinInterval)
		kill()
		time.Sleep(lifetime + 2*joinInterval)
		is.Equal(len(second.Partitions()), 2)
		alive, err := second.Alive(ctx)
		is.NoErr(err)
		is.Equal(alive, []string{"b/1"})
		owner, known := second.OwnerOf(ctx, journal.Partition{Topic: "t"})
		is.True(known)
		is.Equal(owner, "b/1")
	})
}
