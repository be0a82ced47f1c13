// Command woodworks-lab runs daemons with the stand-ins of what surrounds them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"woodworks/internal/daemon/logging"
	"woodworks/internal/lab/demo"
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
	parser := flaggy.NewParser("woodworks-lab")
	parser.Description = "daemons with the stand-ins of what surrounds them"
	parser.ShowHelpOnUnexpected = false
	command := flaggy.NewSubcommand("demo")
	command.Description = "daemons as separate processes, once through their paces"
	command.String(&options.Program, "p", "program", "path of the woodworks program")
	command.String(&options.Folder, "f", "folder", "where settings and logs go; by default a temporary one")
	command.UInt64(&options.Seed, "s", "seed", "seed of the batches")
	command.Bool(&options.SafetyOnly, "", "safety-only", "do not fail for a promise that was not put to the test")
	parser.AttachSubcommand(command, 1)
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "woodworks-lab:", err)
		return exitUsage
	}
	if !command.Used {
		parser.ShowHelp()
		return exitUsage
	}
	if _, err := logging.New("error", "lab"); err != nil {
		fmt.Fprintln(os.Stderr, "woodworks-lab:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := demo.Run(ctx, options); err != nil {
		fmt.Fprintln(os.Stderr, "woodworks-lab:", err)
		return exitBroken
	}
	return exitHeld
}
