// Command woodworks-demo runs daemons as separate processes on fake services, once
// through their paces.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"woodworks/internal/daemon/logging"
	"woodworks/internal/demo"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	options := demo.Options{Program: "bin/woodworks", Seed: 1, Output: os.Stdout}
	parser := flaggy.NewParser("woodworks-demo")
	parser.Description = "daemons as separate processes on fake services, once through their paces"
	parser.ShowHelpOnUnexpected = false
	parser.String(&options.Program, "p", "program", "path of the woodworks program")
	parser.String(&options.Folder, "f", "folder", "where settings and logs go; by default a temporary one")
	parser.UInt64(&options.Seed, "s", "seed", "seed of the batches")
	parser.Bool(&options.SafetyOnly, "", "safety-only", "do not fail for a promise that was not put to the test")
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "woodworks-demo:", err)
		return exitUsage
	}
	if _, err := logging.New("error", "demo"); err != nil {
		fmt.Fprintln(os.Stderr, "woodworks-demo:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	outcome, err := demo.Run(ctx, options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "woodworks-demo:", err)
		return exitBroken
	}
	fmt.Println("demo:", outcome)
	if !outcome.Held() {
		return exitBroken
	}
	return exitHeld
}
