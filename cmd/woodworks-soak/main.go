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
	program, folder := "target/woodworks", "out/soak"
	seed := uint64(time.Now().UnixNano() % 1_000_000)
	duration := time.Minute
	schedule, reader, crashing := soak.ScheduleMixed, "", ""
	daemons, callers := 0, 0
	safetyOnly := false
	flaggy.SetName("woodworks-soak")
	flaggy.SetDescription("real daemons as separate processes under faults from outside")
	flaggy.String(&program, "p", "program", "path of the woodworks program")
	flaggy.String(&folder, "f", "folder", "where settings and logs go")
	flaggy.UInt64(&seed, "s", "seed", "seed of the schedule")
	flaggy.Duration(&duration, "d", "duration", "how long faults are injected")
	flaggy.Bool(&safetyOnly, "", "safety-only", "do not fail for a rule that was not put to the test")
	flaggy.String(&schedule, "", "schedule", "mixed: all faults at random; planned: only planned stops and configurations; series: planned work of all kinds that overlaps")
	flaggy.String(&crashing, "", "crashing", "on which way requests come that end their replicas: safe, once, stream, item or all; empty for none")
	flaggy.Int(&daemons, "", "daemons", "how many daemons run; 0 takes the default")
	flaggy.Int(&callers, "", "callers", "how many callers keep their connections; 0 takes the default")
	flaggy.String(&reader, "", "reader", "how the first daemon's output is read: slow, or closes; empty takes a file")
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	fmt.Printf("soak: seed %d, %v of faults\n", seed, duration)
	outcome, err := soak.Run(ctx, soak.Options{Program: program, Folder: filepath.Join(folder, fmt.Sprint(seed)), Seed: seed, Duration: duration,
		Schedule: schedule, Daemons: daemons, Callers: callers, Crashing: crashing, Reader: reader, Output: os.Stdout})
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
