package journal_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

var followed = journal.Partition{Topic: "keyed.test"}

// values is a handler that stores the records that it receives.
type values struct {
	mu     sync.Mutex
	values map[string]string
	resets int
}

func (v *values) Reset(records []journal.KeyedRecord) {
	v.mu.Lock()
	v.values = map[string]string{}
	v.resets++
	v.mu.Unlock()
	for _, record := range records {
		v.Apply(record)
	}
}

func (v *values) Apply(record journal.KeyedRecord) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(record.Value) == 0 {
		delete(v.values, record.Key)
		return
	}
	v.values[record.Key] = string(record.Value)
}

func (v *values) get(key string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.values[key]
}

func put(t *testing.T, log journal.Journal, key, value string) {
	t.Helper()
	_, err := log.Append(t.Context(), journal.Append{Partition: followed, Records: [][]byte{journal.EncodeKeyed(key, []byte(value))}})
	is.New(t).NoErr(err)
}

func follow(ctx context.Context, log journal.Journal, bound time.Duration) *values {
	seen := &values{}
	go journal.NewKeyedFollower(log, followed, seen, bound, zap.NewNop()).Run(ctx)
	return seen
}

func TestFollowerAppliesChangesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := journaltest.New()
		put(t, log, "a", "1")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		seen := follow(ctx, log, 3*time.Second)
		synctest.Wait()
		is.Equal(seen.get("a"), "1")
		put(t, log, "a", "2")
		put(t, log, "b", "3")
		synctest.Wait()
		is.Equal(seen.get("a"), "2")
		is.Equal(seen.get("b"), "3")
		put(t, log, "a", "")
		synctest.Wait()
		is.Equal(seen.get("a"), "")
	})
}

// Guards against a read that is lost in an outage and holds up the follower for longer than the
// contact bound.
func TestFollowerIsUpToDateWithinTheContactBoundAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const bound = 3 * time.Second
		log := journaltest.New()
		var silent atomic.Bool
		log.FaultFunc = func(call journaltest.Call) journaltest.Fault {
			if silent.Load() && call != journaltest.Append {
				return journaltest.Hang
			}
			return journaltest.None
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		seen := follow(ctx, log, bound)
		for round := 0; round < 20; round++ {
			silent.Store(true)
			time.Sleep(time.Second + time.Duration(round)*137*time.Millisecond)
			silent.Store(false)
			put(t, log, "round", time.Duration(round).String())
			time.Sleep(bound - time.Millisecond)
			is.Equal(seen.get("round"), time.Duration(round).String())
		}
	})
}

// Guards against keys that stay in the handler because the record that deletes them was trimmed.
func TestFollowerReadsFullyAfterTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := journaltest.New()
		put(t, log, "kept", "1")
		var refused atomic.Bool
		log.FaultFunc = func(call journaltest.Call) journaltest.Fault {
			if refused.Load() && call == journaltest.Read {
				return journaltest.Refuse
			}
			return journaltest.None
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		seen := follow(ctx, log, 3*time.Second)
		synctest.Wait()
		refused.Store(true)
		time.Sleep(5 * time.Second)
		put(t, log, "gone", "2")
		put(t, log, "kept", "3")
		put(t, log, "gone", "")
		log.Trim(followed, 3)
		refused.Store(false)
		time.Sleep(3 * time.Second)
		is.Equal(seen.get("gone"), "")
		is.True(seen.resets >= 2)
	})
}
