package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/client"
	"woodworks/internal/lab/enginestand"
	"woodworks/internal/lab/floor"
	"woodworks/internal/lab/plainstand"
	"woodworks/internal/lab/workload"
)

// Options holds what a demo run may set.
type Options struct {
	Site      SiteUnderTest
	Woodworks string
	Lab       string
	Seed      uint64
	Output    io.Writer
	// SafetyOnly passes over promises that were never put to the test, for
	// machines that are too busy for a verdict on more.
	SafetyOnly bool
	// KeepLogs is a directory for the processes' logs, "" for a temporary one.
	KeepLogs string
}

const (
	prompts          = 8
	samplesPerPrompt = 8
	maxTokens        = 600
	trainTime        = 400 * time.Millisecond
	stopTimeout      = 30 * time.Second
	// leavingGrace is how long after its announcement a leaving back end may
	// still be given work: "a few seconds".
	leavingGrace = 3 * time.Second
)

// ErrBroken means that a promise did not hold, or was never put to the test.
var ErrBroken = errors.New("demo: a promise did not hold")

// Run runs a floor with a trainer, callers, a planned stop of a daemon, a
// drain and a kill of engines, and reports. It returns ErrBroken if a promise
// did not hold.
func Run(options Options) error {
	directory, removeLogs, err := floor.LogDirectory(options.KeepLogs)
	if err != nil {
		return err
	}
	defer removeLogs()
	say := func(format string, arguments ...any) {
		_, _ = fmt.Fprintf(options.Output, format+"\n", arguments...)
	}
	say("starting a floor: %d daemons, %d engines, %d plain back ends, log, weight store, machine list",
		len(options.Site.Zones), options.Site.Engines, options.Site.Plains)
	started, err := floor.Start(floor.Options{
		Site: options.Site.Site, Woodworks: options.Woodworks, Lab: options.Lab, Directory: directory,
		Seed: options.Seed, ListLag: 500 * time.Millisecond, StoreRate: 100,
	})
	if err != nil {
		return err
	}
	defer started.Stop()
	run := newRun(started, options)
	run.drive(say)
	return run.report(options.Output)
}

type demoRun struct {
	safetyOnly bool
	floor      *floor.Floor
	site       SiteUnderTest
	seed       uint64
	ledger     *workload.Ledger
	statistics *workload.Statistics
	trainer    *workload.Trainer
	callers    *workload.Callers
	startedAt  time.Time
	took       time.Duration
}

// Clients returns a client to each daemon's public or internal listener.
func Clients(daemons []*floor.Daemon, internal bool, key string) []*client.Client {
	var clients []*client.Client
	for _, daemon := range daemons {
		base := daemon.Public
		if internal {
			base = daemon.Internal
		}
		clients = append(clients, client.New(base, key))
	}
	return clients
}

func newRun(started *floor.Floor, options Options) *demoRun {
	site := options.Site
	run := &demoRun{safetyOnly: options.SafetyOnly, floor: started, site: site, seed: options.Seed, ledger: workload.NewLedger(), statistics: workload.NewStatistics()}
	run.trainer = &workload.Trainer{
		Name: site.Trainer, Clients: Clients(started.Daemons, false, site.Trainer), Ledger: run.ledger, Statistics: run.statistics,
		Bound: site.Bound, Prompts: prompts, SamplesPerPrompt: samplesPerPrompt, MaxTokens: maxTokens,
		MedianTokens: enginestand.DefaultConfig().MedianTokens, TrainTime: trainTime,
		Random: rand.New(rand.NewPCG(options.Seed, 7)),
	}
	run.callers = &workload.Callers{
		Service: site.PlainService, Lookup: site.Lookup, Move: site.Move,
		Public: Clients(started.Daemons, false, site.PublicCaller), Internal: Clients(started.Daemons, true, site.InternalCaller),
		Ledger: run.ledger, Statistics: run.statistics, Pause: 20 * time.Millisecond, Workers: 8, Seed: options.Seed,
	}
	return run
}

// drive runs the workload and the events in its middle.
func (run *demoRun) drive(say func(string, ...any)) {
	run.startedAt = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	var working sync.WaitGroup
	working.Add(2)
	go func() { defer working.Done(); run.trainer.Run(ctx) }()
	go func() { defer working.Done(); run.callers.Run(ctx) }()

	time.Sleep(4 * time.Second)
	killed := run.floor.Engines[0]
	say("killing engine %s", killed.Name)
	killed.Kill()

	time.Sleep(2 * time.Second)
	stopped := run.floor.Daemons[1]
	say("stopping daemon %s by plan", stopped.Name)
	clean := stopped.Terminate(stopTimeout)
	run.ledger.Check(workload.NothingCut, clean, "daemon %s did not stop cleanly", stopped.Name)

	drained := run.floor.Engines[1]
	say("draining engine %s", drained.Name)
	if err := floor.PostJSON("http://"+drained.Machine.Address+"/admin/faults", enginestand.Faults{Leaving: true}); err != nil {
		say("drain: %v", err)
	}
	time.Sleep(2 * time.Second)
	say("starting daemon %s and engine %s again", stopped.Name, killed.Name)
	if err := stopped.Restart(); err != nil {
		say("restart: %v", err)
	}
	if err := killed.Restart(); err != nil {
		say("restart: %v", err)
	}
	time.Sleep(5 * time.Second)
	cancel()
	working.Wait()
	run.took = time.Since(run.startedAt)
	run.checkLeaving(drained)
}

// checkLeaving checks that a leaving engine was given nothing after a while.
func (run *demoRun) checkLeaving(drained *floor.Backend) {
	var ledger []enginestand.Start
	err := floor.GetJSON("http://"+drained.Machine.Address+"/admin/ledger", &ledger)
	run.ledger.Check(workload.LeavingIdle, err == nil, "ledger of %s: %v", drained.Name, err)
	for _, start := range ledger {
		run.ledger.Check(workload.LeavingIdle, start.LeavingFor <= leavingGrace.Milliseconds(),
			"%s was given %s after leaving for %d ms", drained.Name, start.ID, start.LeavingFor)
	}
}

// Executions reads the ledgers of the plain back ends.
func Executions(plains []*floor.Backend) ([]plainstand.Execution, error) {
	var all []plainstand.Execution
	for _, backend := range plains {
		var ledger []plainstand.Execution
		if err := floor.GetJSON("http://"+backend.Machine.Address+"/admin/ledger", &ledger); err != nil {
			return nil, err
		}
		all = append(all, ledger...)
	}
	return all, nil
}

func (run *demoRun) report(output io.Writer) error {
	executions, err := Executions(run.floor.Plains)
	if err != nil {
		return err
	}
	applied, doubled := run.callers.Settle(executions)
	table := tabwriter.NewWriter(output, 0, 4, 2, ' ', 0)
	run.statistics.Read(func(statistics *workload.Statistics) {
		row := func(name, format string, arguments ...any) {
			_, _ = fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, arguments...))
		}
		_, exactlyOnce := run.ledger.Count(workload.ExactlyOnce)
		_, overBound := run.ledger.Count(workload.BoundedStaleness)
		row("samples delivered", "%d in %d whole batches", statistics.Delivered, statistics.Batches)
		row("samples doubled or lost", "%d", exactlyOnce)
		row("samples over the bound", "%d", overBound)
		row("weight versions seen", "%d", len(statistics.Versions))
		row("moves applied, doubled", "%d, %d", applied, doubled)
		row("trainer idle", "%.1f s of %.1f s", statistics.Idle.Seconds(), run.took.Seconds())
		row("refusals and losses", "%s", refusals(statistics.Refusals))
		for _, kind := range []string{"lookup", "move", "internal"} {
			row(kind+" latency", "%s", percentiles(statistics.Latencies[kind]))
		}
	})
	_ = table.Flush()
	return Verdict(output, run.ledger, demoPromises, run.safetyOnly)
}

// demoPromises are those that a demo puts to the test.
var demoPromises = []workload.Promise{
	workload.TruthfulVersions, workload.BoundedStaleness, workload.ExactlyOnce, workload.WholeAnswers,
	workload.TrueRefusals, workload.AtMostOnce, workload.LeavingIdle, workload.NothingCut,
}

// Verdict prints a row a promise. It returns ErrBroken if one was violated, or,
// unless only safety is asked about, never put to the test.
func Verdict(output io.Writer, ledger *workload.Ledger, promises []workload.Promise, safetyOnly bool) error {
	table := tabwriter.NewWriter(output, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nPROMISE\tCHECKED\tVIOLATED")
	untested := 0
	for _, promise := range promises {
		checked, violated := ledger.Count(promise)
		if checked == 0 {
			untested++
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\n", promise, checked, violated)
	}
	_ = table.Flush()
	violations, details := ledger.Violations()
	for _, detail := range details {
		_, _ = fmt.Fprintln(output, "VIOLATION "+detail)
	}
	if violations > 0 || (untested > 0 && !safetyOnly) {
		return errors.Wrapf(ErrBroken, "%d violations, %d promises never put to the test", violations, untested)
	}
	return nil
}

func refusals(counts map[string]int) string {
	var parts []string
	for code, count := range counts {
		parts = append(parts, fmt.Sprintf("%s=%d", code, count))
	}
	sort.Strings(parts)
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, " ")
}

func percentiles(latencies []time.Duration) string {
	if len(latencies) == 0 {
		return "none"
	}
	sorted := append([]time.Duration{}, latencies...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	at := func(share float64) time.Duration {
		return sorted[int(share*float64(len(sorted)-1))].Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("p50 %s p95 %s p99 %s (%d)", at(0.5), at(0.95), at(0.99), len(sorted))
}
