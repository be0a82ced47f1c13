package operator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"woodworks/internal/daemon/testseed"
	"woodworks/internal/journal/journaltest"
)

func init() { testseed.Fix() }

const validSource = `traffic_class(name = "%s", weight = 1, queue_limit = 1)`

func TestPublishReplacesOnlyTheExpectedVersion(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := New(journaltest.New(), zap.NewNop())
	first, err := store.Publish(ctx, Change{Name: "a", Source: fmt.Sprintf(validSource, "x")})
	is.NoErr(err)
	is.Equal(first.Version, int64(1))
	stale := int64(0)
	_, err = store.Publish(ctx, Change{Name: "a", Source: fmt.Sprintf(validSource, "y"), Replaces: &stale})
	is.True(errors.Is(err, ErrConflict))
	second, err := store.Publish(ctx, Change{Name: "a", Source: fmt.Sprintf(validSource, "y"), Replaces: &first.Version})
	is.NoErr(err)
	is.Equal(second.Version, int64(2))
	current, err := store.Current(ctx)
	is.NoErr(err)
	is.Equal(current.Documents["a"].Version, int64(2))
}

func TestInvalidPoliciesWriteNothing(t *testing.T) {
	is := is.New(t)
	log := journaltest.New()
	store := New(log, zap.NewNop())
	_, err := store.Publish(context.Background(), Change{Name: "a", Source: "traffic_class("})
	is.True(errors.Is(err, ErrInvalid))
	_, err = store.Publish(context.Background(), Change{Name: "a b", Source: fmt.Sprintf(validSource, "x")})
	is.True(errors.Is(err, ErrInvalid))
	is.Equal(len(log.Records(RecordsPartition)), 0)
}

func TestAnnouncedVersionsNeverDecrease(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := New(journaltest.New(), zap.NewNop())
	for _, step := range []struct{ named, newest int64 }{{3, 3}, {2, 3}, {4, 4}} {
		newest, err := store.AnnounceVersion(ctx, Version{Model: "m", Version: step.named})
		is.NoErr(err)
		is.Equal(newest, step.newest)
	}
}

func TestOnlyListedBackEndsDrain(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := New(journaltest.New(), zap.NewNop())
	is.True(errors.Is(store.SetDraining(ctx, "e1", true), ErrMachineNotListed))
	is.NoErr(store.SetMachine(ctx, "e1", &Machine{Service: "s", Address: "127.0.0.1:1"}))
	is.NoErr(store.SetDraining(ctx, "e1", true))
	is.NoErr(store.SetMachine(ctx, "e1", nil))
	is.True(errors.Is(store.SetDraining(ctx, "e1", true), ErrMachineNotListed))
}

// Operators publish concurrently while the journal loses answers and applies appends late.
// Guards against a change that is reported as made and is lost, or reported as not made and is
// in the configuration.
func TestConcurrentPublishOutcomesMatchTheJournal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(int(journaltest.None), int(journaltest.Delay)), 0, 30).Draw(t, "faults")
		delays := rapid.SliceOfN(rapid.IntRange(0, 30), 30, 30).Draw(t, "delays")
		operators := rapid.IntRange(2, 5).Draw(t, "operators")
		outcomes := make([]error, operators)
		var documents map[string]Document
		synctest.Test(&testing.T{}, func(*testing.T) {
			log := journaltest.New()
			var mu sync.Mutex
			calls := 0
			log.FaultFunc = func(journaltest.Call) journaltest.Fault {
				mu.Lock()
				n := calls
				calls++
				mu.Unlock()
				time.Sleep(time.Duration(delays[n%len(delays)]) * time.Millisecond)
				if n < len(faults) && n%2 == 0 {
					return journaltest.Fault(faults[n])
				}
				return journaltest.None
			}
			var publishers sync.WaitGroup
			for i := range operators {
				publishers.Go(func() {
					_, outcomes[i] = New(log, zap.NewNop()).Publish(context.Background(), Change{Name: fmt.Sprint("d", i), Source: fmt.Sprintf(validSource, fmt.Sprint("c", i))})
				})
			}
			publishers.Wait()
			log.ApplyDelayed()
			log.FaultFunc = nil
			current, err := New(log, zap.NewNop()).Current(context.Background())
			if err != nil {
				panic(err)
			}
			documents = current.Documents
		})
		for i, err := range outcomes {
			_, published := documents[fmt.Sprint("d", i)]
			switch {
			case err == nil && !published:
				t.Fatalf("change %d succeeded and is not in the configuration", i)
			case err != nil && !errors.Is(err, ErrOutcomeUnknown) && published:
				t.Fatalf("change %d is in the configuration although Publish returned %v", i, err)
			}
		}
	})
}
