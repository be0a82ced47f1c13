// Package cli is the command line of woodworks: the daemon's (serve) and that of its callers and
// operators.
//
// It owns the flags, the exit codes, and what a running daemon does about signals and a changed
// settings file. All else it asks of a daemon through package client.
//
// # Usage
//
//	os.Exit(cli.Main(os.Args[1:], drivers, os.Stdout, os.Stderr))
package cli

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"woodworks/internal/api/client"
	"woodworks/internal/daemon/node"
	"woodworks/internal/daemon/settings"
	"woodworks/internal/daemon/signals"
)

// Version is the release, set at build time with -ldflags.
var Version = "0.1.0-dev"

// options are the values of all flags.
type options struct {
	config    string
	checkOnly bool
	// over has what flags say over the file, "" where they say nothing.
	over         settings.Settings
	server       string
	key          string
	output       string
	file         string
	documentName string
	replaces     string
	trainer      string
	batch        string
	version      uint64
	machine      string
	undo         bool
	digest       string
	drivers      Drivers
	signals      *signals.Taken
	explainID    string
	logFiles     []string
	stdout       io.Writer
}

// command is one leaf of the command tree.
type command struct {
	node *flaggy.Subcommand
	run  func(options *options) error
	// isDaemon is true for a command that takes the signals itself, and whose end waits
	// for no reader.
	isDaemon bool
	// takesFiles says that further arguments are log files; other commands take none.
	takesFiles bool
}

const (
	defaultServer = "http://127.0.0.1:7181"
	keyVariable   = "WOODWORKS_KEY"
)

// Drivers are the platforms that this build knows, by their name in the settings.
type Drivers map[string]node.Connect

// Main runs the command line and returns the exit code.
func Main(args []string, drivers Drivers, stdout, stderr io.Writer) int {
	taken := signals.Take()
	defer taken.Release()
	o := &options{signals: taken, drivers: drivers, server: defaultServer, output: "text",
		key: os.Getenv(keyVariable), stdout: stdout}
	parser := flaggy.NewParser("woodworks")
	parser.Description = "a rollout service for reinforcement learning"
	parser.Version = Version
	parser.ShowHelpOnUnexpected = false
	parser.AdditionalHelpAppend = "\nExit codes: 0 done, 1 failed, 2 wrong arguments, settings or policy, 3 conflict, 4 outcome unknown.\n" +
		"The bearer key is taken from --key or " + keyVariable + ".\n" +
		"Example: woodworks serve -c examples/operator/bern-a.yaml"
	commands := attachCommands(parser, o)
	if err := refuseEmpty(args, commands); err != nil {
		return report(stderr, err)
	}
	if err := parser.ParseArgs(args); err != nil {
		return report(stderr, usagef("%v", err))
	}
	if o.output != "text" && o.output != "json" {
		return report(stderr, usagef("--output: %q is not text or json", o.output))
	}
	for _, candidate := range commands {
		if !candidate.node.Used {
			continue
		}
		surplus := parser.TrailingArguments
		if len(surplus) > 0 && !candidate.takesFiles {
			return report(stderr, usagef("%s: argument %q is not expected", candidate.node.Name, surplus[0]))
		}
		o.logFiles = append(o.logFiles, surplus...)
		if candidate.isDaemon {
			return reportBounded(stderr, candidate.run(o))
		}
		taken.EndProcess()
		return report(stderr, candidate.run(o))
	}
	parser.ShowHelp()
	return ExitUsage
}

// refuseEmpty refuses an empty argument that is no value of the command's flags: flaggy panics
// at it.
func refuseEmpty(args []string, commands []command) error {
	var used *flaggy.Subcommand
	for i, arg := range args {
		at := slices.IndexFunc(commands, func(c command) bool { return c.node.Name == arg })
		switch {
		case arg == "" && i == 0:
			return usagef("argument 1 is empty")
		case arg == "" && !takesValue(used, args[i-1]):
			return usagef("argument %d, after %q, is empty", i+1, args[i-1])
		case used == nil && at >= 0:
			used = commands[at].node
		}
	}
	return nil
}

// takesValue reports whether an argument is a flag of a command, nil for none, whose value is the
// next one.
func takesValue(used *flaggy.Subcommand, arg string) bool {
	name := strings.TrimLeft(arg, "-")
	return used != nil && name != "" && name != arg && slices.ContainsFunc(used.Flags, func(flag *flaggy.Flag) bool {
		_, isBool := flag.AssignmentVar.(*bool)
		return !isBool && flag.HasName(name)
	})
}

func (o *options) client() *client.Client { return client.New(o.server, o.key) }

// remoteTimeout bounds a call to a daemon.
const remoteTimeout = 20 * time.Second

// call makes one call to a daemon, with a body unless that is nil.
func (o *options) call(method, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	return o.client().DoJSON(ctx, method, path, body, answer)
}

// print writes a value as JSON, or as text by the given function.
func (o *options) print(value any, text func(io.Writer)) error {
	if o.output == "json" {
		encoder := json.NewEncoder(o.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	text(o.stdout)
	return nil
}
