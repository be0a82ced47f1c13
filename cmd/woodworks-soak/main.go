// Command woodworks-soak runs real daemons under faults from outside.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"woodworks/platform/platformtest/soak"
)

// Exit codes.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitUsage    = 2
	exitUntested = 3
)

func main() { os.Exit(run()) }

func run() int {
	options := parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	fmt.Printf("soak: seed %d, %v of faults\n", options.Seed, options.Duration)
	outcome, err := soak.Run(ctx, options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "woodworks-soak:", err)
		return exitUsage
	}
	fmt.Printf("soak: seed %d: %v\n", options.Seed, outcome)
	switch {
	case len(outcome.Broken) > 0:
		return exitBroken
	case len(outcome.Untested) > 0:
		return exitUntested
	}
	return exitHeld
}

// parse takes the options from the command line.
func parse() soak.Options {
	o := soak.Options{
		Program: "target/woodworks", Folder: "out/soak", Seed: uint64(time.Now().UnixNano() % 1_000_000),
		Duration: time.Minute, Schedule: soak.ScheduleMixed, Output: os.Stdout,
	}
	flaggy.SetName("woodworks-soak")
	flaggy.SetDescription("real daemons as separate processes under faults from outside")
	flaggy.String(&o.Program, "p", "program", "path of the woodworks program")
	flaggy.String(&o.OtherProgram, "", "other-program",
		"path of a second woodworks program: every other daemon starts with it, and a restart may swap the two")
	flaggy.String(&o.Folder, "f", "folder", "where settings and logs go")
	flaggy.UInt64(&o.Seed, "s", "seed", "seed of the schedule")
	flaggy.Duration(&o.Duration, "d", "duration", "how long faults are injected")
	flaggy.Bool(&o.SafetyOnly, "", "safety-only", "do not fail for a rule that was not put to the test")
	flaggy.String(&o.Schedule, "", "schedule", "mixed: all faults at random; "+
		"planned: only planned stops and configurations; series: planned work of all kinds that overlaps; "+
		"bursts: engines that end in bursts, with a calm after each; restart: starts of all daemons and questions for all that was read")
	flaggy.String(&o.Crashing, "", "crashing",
		"on which way requests come that end their replicas: safe, once, stream, item or all; empty for none")
	flaggy.Int(&o.Daemons, "", "daemons", "how many daemons run; 0 takes the default")
	flaggy.Int(&o.Callers, "", "callers", "how many callers keep their connections; 0 takes the default")
	flaggy.String(&o.Reader, "", "reader",
		"how the first daemon's output is read: slow, or closes; empty takes a file")
	parseStore(&o.Store)
	flaggy.Int(&o.TextBytes, "", "text-bytes", "about how long the text of a result is; 0 for short ones")
	flaggy.StringSlice(&o.Restarts.Starts, "", "start", "restart: kinds of starts in order: "+
		"at-once, spread, twice, part, slow, silent, amid, calm; none for each once")
	flaggy.Int(&o.Restarts.Batches, "", "batches", "restart: batches before the first start; 0 takes the default")
	flaggy.Int(&o.Restarts.LeastItems, "", "least-items", "restart: items of the smallest batch")
	flaggy.Int(&o.Restarts.MostItems, "", "most-items",
		"restart: items of the largest batch; 0 takes the usual number")
	flaggy.Parse()
	o.Folder = filepath.Join(o.Folder, fmt.Sprint(o.Seed))
	return o
}

// parseStore declares the options of the store.
func parseStore(shape *soak.StoreShape) {
	flaggy.Int(&shape.Partitions, "", "partitions", "partitions of a topic; 0 takes the default")
	flaggy.Int(&shape.RecordBytes, "", "record-bytes", "the store's largest record; 0 takes the default")
	flaggy.Float64(&shape.WritesPerSecond, "", "writes-per-second", "what the store grants; 0 names no bound")
	flaggy.Float64(&shape.ReadsPerSecond, "", "reads-per-second", "what the store grants; 0 names no bound")
	flaggy.Float64(&shape.GrantedMB, "", "granted-mb",
		"what the store grants all reads in MB a second; 0 names no bound")
	flaggy.Float64(&shape.CarriedMB, "", "carried-mb",
		"what the store carries of all reads in MB a second; 0 for any")
	flaggy.Duration(&shape.AnswerTime, "", "answer-time", "how long the store takes for an answer")
	flaggy.Float64Slice(&shape.LinkMbits, "", "link-mbit",
		"rate of a daemon's link to the store in Mbit/s, dealt out in turn; none for any")
}
