package ledger

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"

	"woodworks/internal/batches/batch"
	"woodworks/internal/daemon/testseed"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

func init() { testseed.Fix() }

func submission(id string) *batch.Submission {
	return &batch.Submission{ID: id, Items: []batch.Item{{ID: id + "-0", Body: []byte("b")}}}
}

func exists(p *Partition, id string) bool {
	return p.ViewBatch(id, func(*batch.Batch) {})
}

// operation is one call of a history: an acceptance or a query whether the batch exists.
type operation struct {
	accept bool
	// known is set if the outcome of an acceptance is certain.
	known bool
	// found is the answer to a query.
	found bool
}

// existenceModel models one batch: it does not exist until an acceptance creates it, and exists from
// then on.
var existenceModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		called := input.(operation)
		if called.accept {
			return true, true
		}
		return output.(operation).found == state.(bool), state
	},
	Equal: func(first, second any) bool { return first == second },
}

// recorder records a history.
type recorder struct {
	mutex   sync.Mutex
	history []porcupine.Operation
	start   time.Time
}

func (r *recorder) add(client int, began time.Time, done operation, open bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	end := time.Since(r.start).Nanoseconds()
	if open {
		// An append with an unknown outcome may take effect at any later time.
		end = int64(1) << 62
	}
	r.history = append(r.history, porcupine.Operation{
		ClientId: client,
		Input:    done,
		Output:   done,
		Call:     began.Sub(r.start).Nanoseconds(),
		Return:   end,
	})
}

// A batch that was acknowledged or found must never be reported as missing later, although daemons
// accept and query concurrently while the journal loses answers, hangs or appends late.
func TestReportedBatchesAreNeverDenied(t *testing.T) {
	checked := 0
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, 11), 60, 60).Draw(rt, "faults")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 900), 24, 24).Draw(rt, "pauses")
		history := recordHistory(t, faults, pauses)
		checked += len(history)
		result := porcupine.CheckOperationsTimeout(existenceModel, history, 10*time.Second)
		if result == porcupine.Illegal {
			rt.Fatalf("history is not linearizable: %+v", history)
		}
	})
	if checked < 1000 {
		t.Fatalf("only %d calls were checked", checked)
	}
}

// drawnFaults returns a function that gives each call the next of some faults, 0 to 3, or none for a
// higher number. Reads are only refused or hang.
func drawnFaults(faults []int) func(journaltest.Call) journaltest.Fault {
	var mutex sync.Mutex
	calls := 0
	return func(call journaltest.Call) journaltest.Fault {
		mutex.Lock()
		defer mutex.Unlock()
		calls++
		drawn := faults[calls%len(faults)]
		if call == journaltest.Read && drawn > 1 {
			return journaltest.None
		}
		return map[int]journaltest.Fault{
			0: journaltest.Refuse,
			1: journaltest.Hang,
			2: journaltest.LoseAnswer,
			3: journaltest.Delay,
		}[drawn]
	}
}

// recordHistory runs three daemons against a faulty journal and returns the history of their calls.
func recordHistory(t *testing.T, faults, pauses []int) []porcupine.Operation {
	seen := &recorder{}
	synctest.Test(t, func(t *testing.T) {
		seen.start = time.Now()
		log := journaltest.New()
		log.FaultFunc = drawnFaults(faults)
		ctx, cancel := context.WithCancel(t.Context())
		var clients sync.WaitGroup
		const daemons = 3
		for client := 0; client < daemons; client++ {
			clients.Add(1)
			go func() {
				defer clients.Done()
				runClient(ctx, client, New(ctx, log, zap.NewNop()), pauses, seen)
			}()
		}
		go func() {
			for ctx.Err() == nil {
				time.Sleep(1300 * time.Millisecond)
				log.ApplyDelayed()
			}
		}()
		clients.Wait()
		cancel()
		time.Sleep(5 * time.Second)
	})
	return seen.history
}

// runClient queries the batch repeatedly. Client 0 also accepts it, in every other step.
func runClient(ctx context.Context, client int, batches *Ledger, pauses []int, seen *recorder) {
	const id = "batch"
	p := batches.PartitionOf(id)
	for i := client; i < len(pauses); i += 3 {
		time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
		began := time.Now()
		if client == 0 && i%2 == 0 {
			err := p.Append(ctx, batch.Accepted(submission(id), fmt.Sprint("owner", client)))
			if !errors.Is(err, ErrNotDone) {
				seen.add(client, began, operation{accept: true, known: err == nil}, err != nil)
			}
			continue
		}
		if exists(p, id) {
			seen.add(client, began, operation{found: true}, false)
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, readTimeout)
		err := p.CatchUp(bounded)
		cancel()
		if err == nil {
			seen.add(client, began, operation{found: exists(p, id)}, false)
		}
	}
}

// A record longer than the journal's limit must be read back whole.
func TestLongRecordsAreReadWhole(t *testing.T) {
	is := is.New(t)
	log := journaltest.New()
	log.RecordBytes = 600
	long := submission("long")
	long.Items[0].Body = make([]byte, 10_000)
	first, second := New(t.Context(), log, zap.NewNop()), New(t.Context(), log, zap.NewNop())
	is.NoErr(first.PartitionOf("long").Append(t.Context(), batch.Accepted(long, "o")))
	is.NoErr(second.PartitionOf("long").CatchUp(t.Context()))
	is.True(exists(second.PartitionOf("long"), "long"))
}

// A record split into several appends must not take effect before its last one, and a failure of an
// earlier one must be reported as ErrNotDone.
func TestRecordsSplitIntoSeveralAppends(t *testing.T) {
	is := is.New(t)
	log := journaltest.New()
	log.RecordBytes, log.AppendBytes = 600, 2_000
	long := submission("long")
	long.Items[0].Body = make([]byte, 10_000)
	batches := New(t.Context(), log, zap.NewNop())
	calls := 0
	log.FaultFunc = func(call journaltest.Call) journaltest.Fault {
		if call != journaltest.Append {
			return journaltest.None
		}
		calls++
		if calls == 3 {
			return journaltest.Refuse
		}
		return journaltest.None
	}
	is.True(errors.Is(batches.PartitionOf("long").Append(t.Context(), batch.Accepted(long, "one")), ErrNotDone))
	reader := New(t.Context(), log, zap.NewNop())
	is.NoErr(reader.PartitionOf("long").CatchUp(t.Context()))
	is.True(!exists(reader.PartitionOf("long"), "long"))
	is.NoErr(batches.PartitionOf("long").Append(t.Context(), batch.Accepted(long, "two")))
	is.True(calls > 6)
	is.NoErr(reader.PartitionOf("long").CatchUp(t.Context()))
	reader.PartitionOf("long").View(func(state *batch.State) {
		known, ok := state.Get("long")
		is.True(ok)
		is.Equal(known.Owner, "two")
		is.Equal(len(known.Items[0].Body), 10_000)
	})
}

// Guards against fragments of a record that stay in each fold for good: the record was given up after some
// of its appends, and once the journal takes appends again that is recorded.
func TestFragmentsOfARefusedRecordAreAbandoned(t *testing.T) {
	for name, fault := range map[string]journaltest.Fault{"refused": journaltest.Refuse, "no answer": journaltest.Hang} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := journaltest.New()
				log.RecordBytes, log.AppendBytes = 600, 2_000
				long := submission("long")
				long.Items[0].Body = make([]byte, 10_000)
				batches, calls := New(t.Context(), log, zap.NewNop()), 0
				var away atomic.Bool
				away.Store(true)
				log.SetFault(func(call journaltest.Call) journaltest.Fault {
					if call != journaltest.Append {
						return journaltest.None
					}
					if calls++; calls > 2 && away.Load() {
						return fault
					}
					return journaltest.None
				})
				partition := batches.PartitionOf("long")
				is.True(errors.Is(partition.Append(t.Context(), batch.Accepted(long, "one")), ErrNotDone))
				time.Sleep(3 * appendTimeout)
				before := len(log.Records(partition.Name()))
				away.Store(false)
				time.Sleep(2 * appendTimeout)
				records := log.Records(partition.Name())
				is.Equal(len(records), before+1)
				var first, last struct {
					Kind int    `cbor:"1,keyasint"`
					Key  string `cbor:"8,keyasint"`
				}
				is.NoErr(cbor.Unmarshal(records[0], &first))
				is.NoErr(cbor.Unmarshal(records[before], &last))
				is.Equal(last.Key, first.Key)
				is.Equal(records[before], batch.FragmentsAbandoned(first.Key))
			})
		})
	}
}

// After a trim, a new fold must continue at the first record left, and an old one keep its batches.
func TestFoldsContinueAfterTrim(t *testing.T) {
	is := is.New(t)
	log := journaltest.New()
	batches := New(t.Context(), log, zap.NewNop())
	p := batches.PartitionOf("a")
	is.NoErr(p.Append(t.Context(), batch.Accepted(submission("a"), "o")))
	late := New(t.Context(), log, zap.NewNop()).Partition(p.Name())
	is.NoErr(p.Append(t.Context(), batch.Accepted(submission("b"), "o")))
	log.Trim(p.Name(), 1)
	is.NoErr(late.CatchUp(t.Context()))
	is.True(!exists(late, "a"))
	is.True(exists(late, "b"))
	is.NoErr(p.CatchUp(t.Context()))
	is.True(exists(p, "a"))
}

// loadedPartitions returns the partitions whose folds are cached.
func (l *Ledger) loadedPartitions() []*Partition {
	l.mu.Lock()
	defer l.mu.Unlock()
	partitions := make([]*Partition, 0, len(l.partitions))
	for _, p := range l.partitions {
		partitions = append(partitions, p)
	}
	return partitions
}

// Sweep must drop an unused fold, but none that is followed or being read.
func TestUnusedFoldsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := journaltest.New()
		log.SetFault(func(journaltest.Call) journaltest.Fault {
			time.Sleep(time.Second)
			return journaltest.None
		})
		batches := New(t.Context(), log, zap.NewNop())
		release := batches.PartitionOf("a").Follow()
		batches.PartitionOf("b")
		synctest.Wait()
		batches.Sweep(time.Now().Add(2 * unusedFoldTTL))
		is.Equal(len(batches.loadedPartitions()), 1)
		release()
		batches.Sweep(time.Now().Add(2 * unusedFoldTTL))
		is.Equal(len(batches.loadedPartitions()), 1) // a read is in progress
		time.Sleep(time.Second)
		synctest.Wait()
		batches.Sweep(time.Now().Add(2 * unusedFoldTTL))
		is.Equal(len(batches.loadedPartitions()), 0)
	})
}

// Records that arrive both by a read and by an append must be applied once, without skipping others.
func TestRecordsAreAppliedOnce(t *testing.T) {
	is := is.New(t)
	p := New(t.Context(), journaltest.New(), zap.NewNop()).PartitionOf("a")
	first, second := batch.Accepted(submission("a"), "o"), batch.Accepted(submission("b"), "o")
	p.fold(0, [][]byte{first})
	p.fold(0, [][]byte{first})
	p.fold(5, [][]byte{second})
	is.True(!exists(p, "b"))
	p.fold(0, [][]byte{first, second})
	is.True(exists(p, "b"))
	is.Equal(p.nextOffset(), int64(2))
}

// singleRecordJournal is a journal whose reads return one record at a time.
type singleRecordJournal struct{ *journaltest.Journal }

func (p singleRecordJournal) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	read, err := p.Journal.Read(ctx, request)
	read.Records = read.Records[:min(len(read.Records), 1)]
	return read, err
}

// A fold that holds only the first pages of a partition must not count as read, or a watcher runs
// items of batches that have ended.
func TestPartialReadsDoNotCountAsReadToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := singleRecordJournal{journaltest.New()}
		writer := New(ctx, log, zap.NewNop()).PartitionOf("a")
		is.NoErr(writer.Append(ctx, batch.Accepted(submission("a"), "one")))
		is.NoErr(writer.Append(ctx, batch.Ended("a", "")))
		reader := New(ctx, log, zap.NewNop()).PartitionOf("a")
		_, err := reader.readOnce(ctx, 0)
		is.NoErr(err)
		is.True(exists(reader, "a"))
		is.True(reader.LastReadToEnd().IsZero())
		_, err = reader.readOnce(ctx, 0)
		is.NoErr(err)
		is.True(!reader.LastReadToEnd().IsZero())
	})
}

// A malformed record must be logged with its location, and the records after it must be applied.
func TestMalformedRecordIsLogged(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	core, lines := observer.New(zap.WarnLevel)
	p := New(ctx, journaltest.New(), zap.New(core)).PartitionOf("a")
	is.NoErr(p.Append(ctx, []byte("no record")))
	is.NoErr(p.Append(ctx, batch.Accepted(submission("a"), "one")))
	is.True(exists(p, "a"))
	is.Equal(lines.Len(), 1)
	line := lines.All()[0]
	is.Equal(line.Message, "record not decoded")
	is.Equal(line.ContextMap()["topic"], p.Name().Topic)
	is.Equal(line.ContextMap()["partition"], int64(p.Name().Number))
	is.Equal(line.ContextMap()["offset"], int64(0))
}

// A failed read must not fail callers who came during it: they all wait for the next read.
func TestFailedReadFailsOnlyEarlierCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		log := journaltest.New()
		calls := 0 // not locked: reads are sequential
		log.SetFault(func(journaltest.Call) journaltest.Fault {
			calls++
			first := calls == 1
			time.Sleep(100 * time.Millisecond)
			if first {
				return journaltest.Refuse
			}
			return journaltest.None
		})
		p := New(ctx, log, zap.NewNop()).PartitionOf("a")
		failed := make(chan error, 1)
		go func() { failed <- p.CatchUp(ctx) }()
		synctest.Wait()
		const later = 8
		outcomes := make(chan error, later)
		for range later {
			go func() { outcomes <- p.CatchUp(ctx) }()
		}
		is.True(errors.Is(<-failed, ErrNotCaughtUp))
		for range later {
			is.NoErr(<-outcomes)
		}
		is.Equal(calls, 2)
	})
}
