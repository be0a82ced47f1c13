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

const valid = `traffic_class(name = "%s", weight = 1, queue_limit = 1)`

func TestADocumentComesIntoForceAndIsReplaced(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	one := New(journaltest.New(), zap.NewNop())
	first, err := one.Publish(ctx, Change{Name: "a", Source: fmt.Sprintf(valid, "x")})
	is.NoErr(err)
	is.Equal(first.Version, int64(1))
	stale := int64(0)
	_, err = one.Publish(ctx, Change{Name: "a", Source: fmt.Sprintf(valid, "y"), Replaces: &stale})
	is.True(errors.Is(err, ErrConflict))
	second, err := one.Publish(ctx, Change{Name: "a", Source: fmt.Sprintf(valid, "y"), Replaces: &first.Version})
	is.NoErr(err)
	is.Equal(second.Version, int64(2))
	current, err := one.Current(ctx)
	is.NoErr(err)
	is.Equal(current.Documents["a"].Version, int64(2))
}

func TestWrongPoliciesChangeNothing(t *testing.T) {
	is := is.New(t)
	log := journaltest.New()
	one := New(log, zap.NewNop())
	_, err := one.Publish(context.Background(), Change{Name: "a", Source: "traffic_class("})
	is.True(errors.Is(err, ErrInvalid))
	_, err = one.Publish(context.Background(), Change{Name: "a b", Source: fmt.Sprintf(valid, "x")})
	is.True(errors.Is(err, ErrInvalid))
	is.Equal(len(log.Records(RecordsPartition)), 0)
}

func TestVersionsOnlyRise(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	one := New(journaltest.New(), zap.NewNop())
	for _, step := range []struct{ named, newest int64 }{{3, 3}, {2, 3}, {4, 4}} {
		newest, err := one.AnnounceVersion(ctx, Version{Model: "m", Version: step.named})
		is.NoErr(err)
		is.Equal(newest, step.newest)
	}
}

func TestDrainsNameAListedBackEnd(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	one := New(journaltest.New(), zap.NewNop())
	is.True(errors.Is(one.SetDraining(ctx, "e1", true), ErrMachineNotListed))
	is.NoErr(one.SetMachine(ctx, "e1", &Machine{Service: "s", Address: "127.0.0.1:1"}))
	is.NoErr(one.SetDraining(ctx, "e1", true))
	is.NoErr(one.SetMachine(ctx, "e1", nil))
	is.True(errors.Is(one.SetDraining(ctx, "e1", true), ErrMachineNotListed))
}

// Operators race while the log loses answers and does things late. Each change
// that was said to be done is in the configuration, and none that was said not
// to be.
func TestRacingOperatorsLoseNothingThatWasAccepted(t *testing.T) {
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
			var racing sync.WaitGroup
			for i := range operators {
				racing.Go(func() {
					_, outcomes[i] = New(log, zap.NewNop()).Publish(context.Background(), Change{Name: fmt.Sprint("d", i), Source: fmt.Sprintf(valid, fmt.Sprint("c", i))})
				})
			}
			racing.Wait()
			log.ApplyDelayed()
			log.FaultFunc = nil
			current, err := New(log, zap.NewNop()).Current(context.Background())
			if err != nil {
				panic(err)
			}
			documents = current.Documents
		})
		for i, err := range outcomes {
			_, there := documents[fmt.Sprint("d", i)]
			switch {
			case err == nil && !there:
				t.Fatalf("change %d was accepted and is not there", i)
			case err != nil && !errors.Is(err, ErrOutcomeUnknown) && there:
				t.Fatalf("change %d is there though its operator heard %v", i, err)
			}
		}
	})
}
