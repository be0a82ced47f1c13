package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woodworks/internal/scheduler"
	"woodworks/internal/testseed"
)

func init() { testseed.Fix() }

func drawCandidate(t *rapid.T, index int) scheduler.Candidate {
	return scheduler.Candidate{
		Name:     fmt.Sprint("r", index),
		Healthy:  rapid.IntRange(0, 3).Draw(t, "healthy") > 0,
		Leaving:  rapid.IntRange(0, 3).Draw(t, "leaving") == 0,
		Model:    rapid.SampledFrom([]string{"m", "other"}).Draw(t, "model"),
		Version:  uint64(rapid.IntRange(0, 5).Draw(t, "version")),
		Slots:    rapid.SampledFrom([]int{0, 4}).Draw(t, "slots"),
		Load:     rapid.IntRange(0, 6).Draw(t, "load"),
		Distance: scheduler.Distance(rapid.IntRange(0, 2).Draw(t, "distance")),
	}
}

// What is picked passes every filter, and nothing is refused while some
// candidate passes.
func TestPickHonoursTheFilters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []scheduler.Candidate
		for i := range rapid.IntRange(0, 8).Draw(t, "count") {
			candidates = append(candidates, drawCandidate(t, i))
		}
		request := scheduler.Request{Model: "m", MinVersion: 3, NewestVersion: 5, Excluded: map[string]bool{"r0": true}}
		fits := func(one scheduler.Candidate) bool {
			return one.Healthy && !one.Leaving && one.Name != "r0" && one.Model == "m" && one.Version >= 3 &&
				(one.Slots == 0 || one.Load < one.Slots)
		}
		possible := false
		for _, one := range candidates {
			possible = possible || fits(one)
		}
		decision := scheduler.Pick(request, candidates, scheduler.DefaultWeights(), rapid.Float64Range(0, 0.999).Draw(t, "random"))
		if possible != (decision.Index >= 0) {
			t.Fatalf("possible %t, decision %+v", possible, decision)
		}
		if decision.Index >= 0 && !fits(candidates[decision.Index]) {
			t.Fatalf("picked %+v", candidates[decision.Index])
		}
	})
}

func TestReasonsNameTheFilter(t *testing.T) {
	is := is.New(t)
	request := scheduler.Request{Model: "m", MinVersion: 2}
	reason := func(candidates ...scheduler.Candidate) scheduler.Reason {
		return scheduler.Pick(request, candidates, scheduler.DefaultWeights(), 0).Reason
	}
	is.Equal(reason(), scheduler.NoReplica)
	is.Equal(reason(scheduler.Candidate{}), scheduler.NoneHealthy)
	is.Equal(reason(scheduler.Candidate{Healthy: true, Model: "m", Version: 1}), scheduler.NoVersion)
	is.Equal(reason(scheduler.Candidate{Healthy: true, Model: "m", Version: 2, Slots: 1, Load: 1}), scheduler.NoneFree)
	is.Equal(reason(scheduler.Candidate{Healthy: true, Model: "m", Version: 2, Slots: 1}), scheduler.Picked)
}

func always(scheduler.Job) bool { return true }

// Two classes that always wait share by weight.
func TestClassesShareByWeight(t *testing.T) {
	is := is.New(t)
	queue := scheduler.NewQueue()
	queue.Configure("heavy", 3, 1000)
	queue.Configure("light", 1, 1000)
	for i := range uint64(400) {
		is.True(queue.Push(scheduler.Job{ID: 2 * i, Class: "heavy", Sequence: i}))
		is.True(queue.Push(scheduler.Job{ID: 2*i + 1, Class: "light", Sequence: i}))
	}
	served := map[string]int{}
	for range 200 {
		job, found := queue.Pop(always)
		is.True(found)
		served[job.Class]++
	}
	is.Equal(served["heavy"], 150)
	is.Equal(served["light"], 50)
}

// No job is lost or served twice, and the bounds hold.
func TestQueueKeepsEveryJobOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := scheduler.NewQueue()
		const limit = 5
		waiting := map[uint64]string{}
		next := uint64(0)
		classes := []string{"a", "b", "c"}
		for i, class := range classes {
			queue.Configure(class, int64(i), limit)
		}
		inClass := func(class string) int {
			count := 0
			for _, held := range waiting {
				if held == class {
					count++
				}
			}
			return count
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			class := rapid.SampledFrom(classes).Draw(t, "class")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				next++
				pushed := queue.Push(scheduler.Job{ID: next, Class: class, Expected: rapid.IntRange(0, 3).Draw(t, "expected"), Sequence: next})
				if pushed != (inClass(class) < limit) {
					t.Fatalf("pushed %t with %d waiting", pushed, inClass(class))
				}
				if pushed {
					waiting[next] = class
				}
			case 1:
				job, found := queue.Pop(func(job scheduler.Job) bool { return job.Class != class })
				if found {
					if waiting[job.ID] != job.Class || job.Class == class {
						t.Fatalf("popped %+v", job)
					}
					delete(waiting, job.ID)
				}
			default:
				id := uint64(rapid.IntRange(1, int(next)+1).Draw(t, "id"))
				held, known := waiting[id]
				if queue.Remove(held, id) != known {
					t.Fatalf("remove %d: known %t", id, known)
				}
				delete(waiting, id)
			}
			if queue.Len() != len(waiting) {
				t.Fatalf("length %d, want %d", queue.Len(), len(waiting))
			}
		}
	})
}

func benchmarkCandidates(count int) []scheduler.Candidate {
	candidates := make([]scheduler.Candidate, count)
	for i := range candidates {
		candidates[i] = scheduler.Candidate{Name: fmt.Sprint("r", i), Healthy: true, Model: "m", Version: 3, Slots: 8, Load: i % 8}
	}
	return candidates
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{50, 500, 5000} {
		candidates := benchmarkCandidates(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				scheduler.Pick(scheduler.Request{Model: "m", MinVersion: 1, NewestVersion: 3}, candidates, scheduler.DefaultWeights(), 0.5)
			}
		})
	}
}
