// Package cli is the command line of woodworks.
package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"woodworks/internal/api/client"
	"woodworks/internal/daemon/logging"
	"woodworks/internal/daemon/node"
	"woodworks/internal/daemon/signals"
)

// Exit codes of every command.
const (
	ExitDone = 0
	// ExitFailed: the command did not do what was asked.
	ExitFailed = 1
	// ExitUsage: the arguments, a settings file or a policy are wrong.
	ExitUsage = 2
	// ExitConflict: another change or request came first.
	ExitConflict = 3
	// ExitUnknown: it is not known whether it was done.
	ExitUnknown = 4
)

// Version is the release, set at build time with -ldflags.
var Version = "0.1.0-dev"

// exitError carries an exit code with its cause.
type exitError struct {
	code  int
	cause error
}

// Error implements error.
func (e *exitError) Error() string { return e.cause.Error() }

func usagef(format string, args ...any) error {
	return &exitError{code: ExitUsage, cause: errors.Errorf(format, args...)}
}

func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, cause: err}
}

// options are the values of all flags.
type options struct {
	config       string
	checkOnly    bool
	name         string
	zone         string
	region       string
	listenPublic string
	listenIntern string
	logLevel     string
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
	stderr       io.Writer
}

// command is one leaf of the command tree.
type command struct {
	node *flaggy.Subcommand
	run  func(options *options) error
	// isDaemon is true for a command that takes the signals itself, and whose end waits
	// for no reader.
	isDaemon bool
	// surplus takes further arguments; nil where there must be none.
	surplus func(options *options, args []string)
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
	o := &options{signals: taken, drivers: drivers, server: defaultServer, output: "text", key: os.Getenv(keyVariable), stdout: stdout, stderr: stderr}
	parser := flaggy.NewParser("woodworks")
	parser.Description = "a rollout service for reinforcement learning"
	parser.Version = Version
	parser.ShowHelpOnUnexpected = false
	parser.AdditionalHelpAppend = "\nExit codes: 0 done, 1 failed, 2 wrong arguments, settings or policy, 3 conflict, 4 outcome unknown.\n" +
		"The bearer key is taken from --key or " + keyVariable + ".\n" +
		"Example: woodworks serve -c examples/operator/bern-a.yaml"
	commands := attachCommands(parser, o)
	if err := parser.ParseArgs(args); err != nil {
		return report(stderr, usagef("%v", err))
	}
	if o.output != "text" && o.output != "json" {
		return report(stderr, usagef("--output: %q is not text or json", o.output))
	}
	for _, candidate := range commands {
		if candidate.node.Used {
			if err := takeSurplus(o, candidate, parser.TrailingArguments); err != nil {
				return report(stderr, err)
			}
			if candidate.isDaemon {
				return reportBounded(stderr, candidate.run(o))
			}
			taken.EndProcess()
			return report(stderr, candidate.run(o))
		}
	}
	parser.ShowHelp()
	return ExitUsage
}

// takeSurplus gives a command the arguments beyond those that it names, or says which
// one it does not take.
func takeSurplus(o *options, used command, surplus []string) error {
	if used.surplus == nil && len(surplus) > 0 {
		return usagef("%s: argument %q is not expected", used.node.Name, surplus[0])
	}
	if used.surplus != nil {
		used.surplus(o, surplus)
	}
	return nil
}

// reportBounded is report for a daemon: a reader of stderr that never reads must not
// hold up its end.
func reportBounded(stderr io.Writer, err error) int {
	w := logging.NewAsyncWriter(stderr)
	code := report(w, err)
	_ = w.Sync()
	return code
}

// report prints an error as one line and returns its exit code.
func report(stderr io.Writer, err error) int {
	if err == nil {
		return ExitDone
	}
	fmt.Fprintf(stderr, "woodworks: %v\n", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	if problem, found := client.AsProblem(err); found {
		return codeOf(problem)
	}
	if errors.Is(err, client.ErrNoAnswer) {
		return ExitUnknown
	}
	return ExitFailed
}

func codeOf(problem *client.ProblemError) int {
	switch {
	case problem.Status == 409:
		return ExitConflict
	case problem.Status == 400 || problem.Status == 422:
		return ExitUsage
	case problem.Problem.Outcome == "unknown":
		return ExitUnknown
	default:
		return ExitFailed
	}
}

// leaf makes a command that runs.
func leaf(name, description, example string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	if example != "" {
		sub.AdditionalHelpAppend = "\nExample: " + example
	}
	return sub
}

func attachCommands(parser *flaggy.Parser, o *options) []command {
	serve := leaf("serve", "run a daemon", "woodworks serve -c settings.yaml --zone bern-a")
	serve.String(&o.config, "c", "config", "settings file (YAML)")
	serve.Bool(&o.checkOnly, "", "check", "only check the settings")
	serve.String(&o.name, "", "name", "daemon name, over the file")
	serve.String(&o.zone, "", "zone", "zone, over the file")
	serve.String(&o.region, "", "region", "region, over the file")
	serve.String(&o.listenPublic, "", "listen-public", "public IP:port, over the file")
	serve.String(&o.listenIntern, "", "listen-internal", "internal IP:port, over the file")
	serve.String(&o.logLevel, "", "log-level", "debug, info, warn or error, over the file")
	parser.AttachSubcommand(serve, 1)

	commands := []command{{node: serve, run: runServe, isDaemon: true}}
	commands = append(commands, attachPolicy(parser, o)...)
	commands = append(commands, attachRollout(parser, o)...)
	commands = append(commands, attachQuarantine(parser, o)...)

	status := leaf("status", "show one daemon's view", "woodworks status --server http://127.0.0.1:7181")
	remoteFlags(status, o)
	parser.AttachSubcommand(status, 1)

	drain := leaf("drain", "give a back end no new work", "woodworks drain engine-3; woodworks drain engine-3 --undo")
	drain.AddPositionalValue(&o.machine, "machine", 1, true, "name in the machine list")
	drain.Bool(&o.undo, "", "undo", "take the order back")
	remoteFlags(drain, o)
	parser.AttachSubcommand(drain, 1)

	why := leaf("explain", "tell from logs what befell a request, item, batch, replica, service or window of usage, or how a daemon was stopped", "woodworks explain 9c41d07be2a35f68 edge-1.log edge-2.log")
	why.AddPositionalValue(&o.explainID, "id", 1, true, "id as it stands in the logs")
	why.StringSlice(&o.logFiles, "l", "log", "log file, as is each further argument; without one, standard input is read")
	parser.AttachSubcommand(why, 1)

	version := leaf("version", "print the release", "")
	parser.AttachSubcommand(version, 1)
	return append(commands, command{node: status, run: runStatus}, command{node: drain, run: runDrain},
		command{node: why, run: runExplain, surplus: addLogFiles}, command{node: version, run: runVersion})
}

func attachPolicy(parser *flaggy.Parser, o *options) []command {
	group := leaf("policy", "check, test and publish policies", "woodworks policy publish assessor.star --name assessor")
	check := leaf("check", "compile a policy and say what is wrong", "woodworks policy check assessor.star")
	test := leaf("test", "run a policy's test_* functions offline", "woodworks policy test assessor.star")
	publish := leaf("publish", "publish a policy on the log", "woodworks policy publish assessor.star --name assessor --replaces 12")
	history := leaf("history", "show the changes that the log still has", "woodworks policy history")
	diff := leaf("diff", "compare a file with the policy in force", "woodworks policy diff assessor.star --name assessor")
	for _, sub := range []*flaggy.Subcommand{check, test, publish, diff} {
		sub.AddPositionalValue(&o.file, "file", 1, true, "policy source (Starlark)")
	}
	for _, sub := range []*flaggy.Subcommand{publish, diff} {
		sub.String(&o.documentName, "", "name", "document name; by default the file's name without .star")
		remoteFlags(sub, o)
	}
	publish.String(&o.replaces, "", "replaces", "version of the document that this replaces; by default the one in force")
	remoteFlags(history, o)
	test.String(&o.output, "o", "output", "text or json")
	for _, sub := range []*flaggy.Subcommand{check, test, publish, history, diff} {
		group.AttachSubcommand(sub, 1)
	}
	parser.AttachSubcommand(group, 1)
	return []command{{node: check, run: runPolicyCheck}, {node: test, run: runPolicyTest}, {node: publish, run: runPolicyPublish},
		{node: history, run: runPolicyHistory}, {node: diff, run: runPolicyDiff}}
}

func attachRollout(parser *flaggy.Parser, o *options) []command {
	group := leaf("rollout", "submit and follow batches", "woodworks rollout submit batch.json")
	submit := leaf("submit", "submit a batch from a JSON file", "woodworks rollout submit batch.json")
	submit.AddPositionalValue(&o.file, "file", 1, true, "request (JSON)")
	remoteFlags(submit, o)
	follow := leaf("follow", "print samples as they complete", "woodworks rollout follow assessor step-12 --training-version 7")
	follow.AddPositionalValue(&o.trainer, "trainer", 1, true, "trainer")
	follow.AddPositionalValue(&o.batch, "name", 2, true, "batch")
	follow.UInt64(&o.version, "", "training-version", "weight version that the trainer now trains")
	remoteFlags(follow, o)
	group.AttachSubcommand(submit, 1)
	group.AttachSubcommand(follow, 1)
	parser.AttachSubcommand(group, 1)
	return []command{{node: submit, run: runRolloutSubmit}, {node: follow, run: runRolloutFollow}}
}

func attachQuarantine(parser *flaggy.Parser, o *options) []command {
	group := leaf("quarantine", "see and lift what is held against requests that end their replicas", "woodworks quarantine list --server http://127.0.0.1:7183")
	list := leaf("list", "show the contents that are suspected or refused", "woodworks quarantine list --server http://127.0.0.1:7183")
	lift := leaf("lift", "let a content run again, at all daemons", "woodworks quarantine lift DIGEST --server http://127.0.0.1:7183")
	lift.AddPositionalValue(&o.digest, "digest", 1, true, "digest as list shows it")
	for _, sub := range []*flaggy.Subcommand{list, lift} {
		sub.String(&o.server, "s", "server", "a daemon's address for metrics")
		sub.String(&o.output, "o", "output", "text or json")
		group.AttachSubcommand(sub, 1)
	}
	parser.AttachSubcommand(group, 1)
	return []command{{node: list, run: runQuarantineList}, {node: lift, run: runQuarantineLift}}
}

func remoteFlags(sub *flaggy.Subcommand, o *options) {
	sub.String(&o.server, "s", "server", "a daemon's internal listener")
	sub.String(&o.key, "", "key", "bearer key")
	sub.String(&o.output, "o", "output", "text or json")
}

func (o *options) client() *client.Client { return client.New(o.server, o.key) }

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
