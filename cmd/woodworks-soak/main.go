// Command woodworks-soak runs real daemons under faults from outside.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
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
	program, other, folder := "target/woodworks", "", "out/soak"
	seed := uint64(time.Now().UnixNano() % 1_000_000)
	duration := time.Minute
	schedule, reader, crashing := soak.ScheduleMixed, "", ""
	daemons, callers := 0, 0
	safetyOnly := false
	var shape soak.StoreShape
	var restarts soak.Restarts
	var links []int
	textBytes, memory := 0, 0
	flaggy.SetName("woodworks-soak")
	flaggy.SetDescription("real daemons as separate processes under faults from outside")
	flaggy.String(&program, "p", "program", "path of the woodworks program")
	flaggy.String(&other, "", "other-program", "path of a second woodworks program: every other daemon starts with it, and a restart may swap the two")
	flaggy.String(&folder, "f", "folder", "where settings and logs go")
	flaggy.UInt64(&seed, "s", "seed", "seed of the schedule")
	flaggy.Duration(&duration, "d", "duration", "how long faults are injected")
	flaggy.Bool(&safetyOnly, "", "safety-only", "do not fail for a rule that was not put to the test")
	flaggy.String(&schedule, "", "schedule", "mixed: all faults at random; planned: only planned stops and configurations; series: planned work of all kinds that overlaps; restart: starts of all daemons and questions for all that was read")
	flaggy.String(&crashing, "", "crashing", "on which way requests come that end their replicas: safe, once, stream, item or all; empty for none")
	flaggy.Int(&daemons, "", "daemons", "how many daemons run; 0 takes the default")
	flaggy.Int(&callers, "", "callers", "how many callers keep their connections; 0 takes the default")
	flaggy.String(&reader, "", "reader", "how the first daemon's output is read: slow, or closes; empty takes a file")
	flaggy.Int(&shape.Partitions, "", "partitions", "partitions of a topic; 0 takes the default")
	flaggy.Int(&shape.RecordBytes, "", "record-bytes", "the store's largest record; 0 takes the default")
	flaggy.Float64(&shape.WritesPerSecond, "", "writes-per-second", "what the store grants; 0 names no bound")
	flaggy.Float64(&shape.ReadsPerSecond, "", "reads-per-second", "what the store grants; 0 names no bound")
	flaggy.Float64(&shape.GrantedMB, "", "granted-mb", "what the store grants all reads in MB a second; 0 names no bound")
	flaggy.Float64(&shape.CarriedMB, "", "carried-mb", "what the store carries of all reads in MB a second; 0 for any")
	flaggy.Bool(&shape.InTurn, "", "in-turn", "answers share that rate in turn; else one is sent after the other, also those that nobody awaits any more")
	flaggy.Duration(&shape.AnswerTime, "", "answer-time", "how long the store takes for an answer")
	flaggy.Duration(&shape.AnswerSpread, "", "answer-spread", "up to how much longer at random")
	flaggy.IntSlice(&links, "", "link-mbit", "rate of a daemon's link to the store in Mbit/s, dealt out in turn; none for any")
	flaggy.Int(&textBytes, "", "text-bytes", "about how long the text of a result is; 0 for short ones")
	flaggy.Int(&memory, "", "memory-mb", "memory_mb of the daemons' settings")
	flaggy.StringSlice(&restarts.Starts, "", "start", "restart: kinds of starts in order: at-once, spread, twice, part, slow, silent, amid, calm; none for each once")
	flaggy.Int(&restarts.Batches, "", "batches", "restart: batches before the first start; 0 takes the default")
	flaggy.Int(&restarts.LeastItems, "", "least-items", "restart: items of the smallest batch")
	flaggy.Int(&restarts.MostItems, "", "most-items", "restart: items of the largest batch; 0 takes the usual number")
	flaggy.Parse()
	for _, link := range links {
		shape.LinkMbits = append(shape.LinkMbits, float64(link))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	fmt.Printf("soak: seed %d, %v of faults\n", seed, duration)
	outcome, err := soak.Run(ctx, soak.Options{Program: program, OtherProgram: other, Folder: filepath.Join(folder, fmt.Sprint(seed)), Seed: seed, Duration: duration,
		Schedule: schedule, Daemons: daemons, Callers: callers, Crashing: crashing, Reader: reader,
		Store: shape, TextBytes: textBytes, MemoryMB: memory, Restarts: restarts, Output: os.Stdout})
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "woodworks-soak:", err)
		return exitUsage
	case len(outcome.Broken) > 0:
		fmt.Printf("soak: seed %d: rules broken: %s\n", seed, strings.Join(outcome.Broken, ", "))
		return exitBroken
	case len(outcome.Untested) > 0 && !safetyOnly:
		fmt.Printf("soak: seed %d: no rule broken, but these were not put to the test: %s\n", seed, strings.Join(outcome.Untested, ", "))
		return exitUntested
	}
	fmt.Printf("soak: seed %d: all rules held\n", seed)
	return exitHeld
}
