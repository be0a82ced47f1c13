// Package chaos runs a floor of separate processes under a seeded schedule of
// faults, and compares what callers were told with what back ends did.
package chaos

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"woodworks/internal/lab/demo"
	"woodworks/internal/lab/enginestand"
	"woodworks/internal/lab/floor"
	"woodworks/internal/lab/workload"
)

// Options holds what a run may set.
type Options struct {
	Site      demo.SiteUnderTest
	Woodworks string
	Lab       string
	Seed      uint64
	Duration  time.Duration
	Output    io.Writer
	// Logs is a directory for the processes' logs, "" for a temporary one.
	Logs string
	// SafetyOnly passes over promises that were never put to the test and over
	// progress after the last fault.
	SafetyOnly bool
	// Quiet leaves the single faults out of the output.
	Quiet bool
}

const (
	prompts          = 6
	samplesPerPrompt = 6
	maxTokens        = 500
	trainTime        = 250 * time.Millisecond
	listLag          = 500 * time.Millisecond
	storeRate        = 100
	// settleTime is how long after the last fault the floor gets to finish.
	settleTime = 12 * time.Second
	// shortestGap and longestGap lie between two faults.
	shortestGap = 250 * time.Millisecond
	longestGap  = 1200 * time.Millisecond
)

// run is one run under way.
type run struct {
	options    Options
	floor      *floor.Floor
	ledger     *workload.Ledger
	statistics *workload.Statistics
	trainer    *workload.Trainer
	callers    *workload.Callers
	watch      *configurationWatch
	random     *rand.Rand
	startedAt  time.Time

	mutex    sync.Mutex
	injected map[string]int
	// busy names the processes that a fault has in hand.
	busy map[string]bool
	// leavings are the spans in which back ends must get no work.
	leavings []leaving
	healing  sync.WaitGroup
}

// leaving is a span in which a back end must get no new work.
type leaving struct {
	backend *floor.Backend
	from    time.Time
	until   time.Time
}

// Run runs the floor and returns demo.ErrBroken if a promise was violated or
// never put to the test.
func Run(options Options) error {
	directory, removeLogs, err := floor.LogDirectory(options.Logs)
	if err != nil {
		return err
	}
	defer removeLogs()
	started, err := floor.Start(floor.Options{
		Site: options.Site.Site, Woodworks: options.Woodworks, Lab: options.Lab, Directory: directory,
		Seed: options.Seed, ListLag: listLag, StoreRate: storeRate,
	})
	if err != nil {
		return err
	}
	defer started.Stop()
	one := newRun(options, started)
	one.drive()
	return one.report()
}

func newRun(options Options, started *floor.Floor) *run {
	site := options.Site
	median := enginestand.DefaultConfig().MedianTokens
	one := &run{
		options: options, floor: started,
		ledger: workload.NewLedger(), statistics: workload.NewStatistics(),
		random:   rand.New(rand.NewPCG(options.Seed, 11)),
		injected: map[string]int{}, busy: map[string]bool{}, startedAt: time.Now(),
	}
	trainerClients := demo.Clients(started.Daemons, false, site.Trainer)
	one.trainer = &workload.Trainer{
		Name: site.Trainer, Clients: trainerClients, Ledger: one.ledger, Statistics: one.statistics,
		Bound: site.Bound, Prompts: prompts, SamplesPerPrompt: samplesPerPrompt, MaxTokens: maxTokens,
		MedianTokens: median, TrainTime: trainTime, Random: rand.New(rand.NewPCG(options.Seed, 7)),
	}
	one.callers = &workload.Callers{
		Service: site.PlainService, Lookup: site.Lookup, Move: site.Move, Trainer: site.Trainer, MedianTokens: median,
		Public: demo.Clients(started.Daemons, false, site.PublicCaller), Internal: demo.Clients(started.Daemons, true, site.InternalCaller),
		Streams: trainerClients, Ledger: one.ledger, Statistics: one.statistics,
		Pause: 25 * time.Millisecond, Workers: 8, Seed: options.Seed,
	}
	one.watch = newConfigurationWatch(started, one.ledger)
	return one
}

func (one *run) say(format string, arguments ...any) {
	if one.options.Quiet {
		return
	}
	_, _ = fmt.Fprintf(one.options.Output, "%6.1fs "+format+"\n", append([]any{time.Since(one.startedAt).Seconds()}, arguments...)...)
}

// drive runs the workload under faults, heals everything, and lets the floor
// finish what is open.
func (one *run) drive() {
	ctx, cancel := context.WithCancel(context.Background())
	var working sync.WaitGroup
	start := func(work func(context.Context)) {
		working.Add(1)
		go func() { defer working.Done(); work(ctx) }()
	}
	start(func(ctx context.Context) { one.trainer.Run(ctx) })
	start(one.callers.Run)
	start(one.watch.run)
	end := time.Now().Add(one.options.Duration)
	for time.Now().Before(end) {
		time.Sleep(shortestGap + time.Duration(one.random.Int64N(int64(longestGap-shortestGap))))
		one.injectOne()
	}
	one.healing.Wait()
	one.say("faults are over, settling")
	settled := one.batchesAfter(settleTime)
	one.ledger.Check(workload.ExactlyOnce, settled || one.options.SafetyOnly, "the trainer got no whole batch within %s of the last fault", settleTime)
	cancel()
	working.Wait()
}

// batchesAfter reports whether a batch became whole within the time.
func (one *run) batchesAfter(limit time.Duration) bool {
	before := one.batches()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if one.batches() > before {
			return true
		}
	}
	return false
}

func (one *run) batches() int {
	count := 0
	one.statistics.Read(func(statistics *workload.Statistics) { count = statistics.Batches })
	return count
}

// injectOne draws a fault and a victim, and starts it.
func (one *run) injectOne() {
	drawn := one.random.IntN(totalWeight())
	for _, candidate := range faults {
		drawn -= candidate.weight
		if drawn < 0 {
			one.mutex.Lock()
			one.injected[candidate.name]++
			one.mutex.Unlock()
			candidate.inject(one)
			return
		}
	}
}

// claim takes a process in hand, so that two faults do not restart it twice.
func (one *run) claim(name string) bool {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	if one.busy[name] {
		return false
	}
	one.busy[name] = true
	return true
}

func (one *run) release(name string) {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	delete(one.busy, name)
}

// heal runs a fault's end in the background after a while.
func (one *run) heal(after time.Duration, end func()) {
	one.healing.Add(1)
	go func() {
		defer one.healing.Done()
		time.Sleep(after)
		end()
	}()
}

func (one *run) between(lowest, highest time.Duration) time.Duration {
	return lowest + time.Duration(one.random.Int64N(int64(highest-lowest)))
}

func (one *run) report() error {
	one.checkLeavings()
	executions, err := demo.Executions(one.floor.Plains)
	if err != nil {
		return err
	}
	applied, doubled := one.callers.Settle(executions)
	output := one.options.Output
	one.statistics.Read(func(statistics *workload.Statistics) {
		_, _ = fmt.Fprintf(output, "seed %d, %s of faults: %s\n", one.options.Seed, one.options.Duration, counts(one.injected))
		_, _ = fmt.Fprintf(output, "samples delivered %d in %d whole batches, versions seen %d, moves applied %d doubled %d\n",
			statistics.Delivered, statistics.Batches, len(statistics.Versions), applied, doubled)
		_, _ = fmt.Fprintf(output, "refusals and losses: %s\n", counts(statistics.Refusals))
	})
	return demo.Verdict(output, one.ledger, workload.Promises, one.options.SafetyOnly)
}

func counts(values map[string]int) string {
	var parts []string
	for name, count := range values {
		parts = append(parts, fmt.Sprintf("%s=%d", name, count))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}
