// Package labcli is the command line of woodworks-lab: the stand-ins of the
// outside systems, and the runs that drive a floor of separate processes.
package labcli

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest"

	"woodworks/internal/httpserver"
	"woodworks/internal/lab/chaos"
	"woodworks/internal/lab/demo"
	"woodworks/internal/lab/enginestand"
	"woodworks/internal/lab/floor"
	"woodworks/internal/lab/logstand"
	"woodworks/internal/lab/machinestand"
	"woodworks/internal/lab/measure"
	"woodworks/internal/lab/plainstand"
	"woodworks/internal/lab/scale"
	"woodworks/internal/lab/weightstand"
	"woodworks/internal/logging"
)

type options struct {
	listen     string
	name       string
	service    string
	store      string
	seed       uint64
	rate       float64
	lag        time.Duration
	engine     enginestand.Config
	site       string
	woodworks  string
	logs       string
	duration   time.Duration
	quiet      bool
	safetyOnly bool
	sizes      []int
	runs       int
	perDaemon  int
	plots      string
	stdout     io.Writer
}

type command struct {
	node *flaggy.Subcommand
	run  func(options *options) error
}

// Main runs the command line and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	chosen := &options{listen: "127.0.0.1:0", rate: 100, seed: 1, site: "operator", engine: enginestand.DefaultConfig(), perDaemon: 13, runs: 5, stdout: stdout}
	parser := flaggy.NewParser("woodworks-lab")
	parser.Description = "stand-ins of the outside systems, and runs on a floor of separate processes"
	parser.ShowHelpOnUnexpected = false
	commands := attach(parser, chosen)
	if _, err := logging.New("error", "lab"); err != nil {
		_, _ = fmt.Fprintf(stderr, "woodworks-lab: %v\n", err)
		return 1
	}
	if err := parser.ParseArgs(arguments); err != nil {
		_, _ = fmt.Fprintf(stderr, "woodworks-lab: %v\n", err)
		return 2
	}
	for _, candidate := range commands {
		if !candidate.node.Used {
			continue
		}
		if err := candidate.run(chosen); err != nil {
			_, _ = fmt.Fprintf(stderr, "woodworks-lab: %v\n", err)
			return 1
		}
		return 0
	}
	parser.ShowHelp()
	return 2
}

func attach(parser *flaggy.Parser, chosen *options) []command {
	var commands []command
	add := func(name, description string, run func(*options) error) *flaggy.Subcommand {
		node := flaggy.NewSubcommand(name)
		node.Description = description
		node.UInt64(&chosen.seed, "", "seed", "seed of all chance")
		parser.AttachSubcommand(node, 1)
		commands = append(commands, command{node, run})
		return node
	}
	stand := func(name, description string, run func(*options) error) *flaggy.Subcommand {
		node := add(name, description, run)
		node.String(&chosen.listen, "", "listen", "IP:port")
		return node
	}
	stand("stand-log", "stand-in of the log service", runLog)
	stand("stand-weights", "stand-in of the weight store", runWeights).Float64(&chosen.rate, "", "rate", "artifacts a second")
	stand("stand-machines", "stand-in of the machine list", runMachines).Duration(&chosen.lag, "", "lag", "how late changes show")
	for _, node := range []*flaggy.Subcommand{
		stand("stand-engine", "stand-in of a model engine", runEngine),
		stand("stand-plain", "stand-in of a plain back end", runPlain),
	} {
		node.String(&chosen.name, "", "name", "machine name")
		node.String(&chosen.service, "", "service", "service name")
		node.String(&chosen.store, "", "store", "weight store URL")
		node.Int(&chosen.engine.Slots, "", "slots", "streams batched at a time")
		node.Int(&chosen.engine.MedianTokens, "", "median", "median sample length in tokens")
		node.Duration(&chosen.engine.BaseStep, "", "base-step", "time of a step without streams")
		node.Duration(&chosen.engine.StepPerStream, "", "stream-step", "time that each stream adds to a step")
		node.Duration(&chosen.engine.SwapTime, "", "swap-time", "time of a weight swap")
	}
	stand("hollow-daemons", "host of hollow daemons, for a scale run", runHollowDaemons)
	stand("hollow-replicas", "host of hollow replicas, for a scale run", runHollowReplicas)
	measuring := add("measure", "compare ways of scheduling in virtual time", runMeasure)
	measuring.String(&chosen.plots, "", "plots", "directory for the plots")
	measuring.Int(&chosen.runs, "", "runs", "number of seeds, from --seed on")
	sizing := add("scale", "measure the control part of many hollow daemons", runScale)
	sizing.IntSlice(&chosen.sizes, "", "size", "number of daemons; may be given more than once")
	sizing.Int(&chosen.perDaemon, "", "replicas-per-daemon", "hollow replicas for each daemon")
	sizing.String(&chosen.plots, "", "plots", "directory for the table and the plots")
	sizing.String(&chosen.logs, "", "logs", "directory for the processes' logs")
	runs := []*flaggy.Subcommand{
		add("demo", "run a small floor once through its paces", runDemo),
		add("chaos", "run a floor under a seeded schedule of faults", runChaos),
	}
	for _, node := range runs {
		node.String(&chosen.site, "", "site", "operator or qarmoud")
		node.String(&chosen.woodworks, "", "woodworks", "path of the woodworks program")
		node.String(&chosen.logs, "", "logs", "directory for the processes' logs")
		node.Duration(&chosen.duration, "", "duration", "length of the run, where it can be chosen")
		node.Bool(&chosen.quiet, "", "quiet", "print only the result")
		node.Bool(&chosen.safetyOnly, "", "safety-only", "fail on violations only, not on promises that were not put to the test")
	}
	return commands
}

// serve serves a stand-in until the process is told to end.
func serve(chosen *options, routes []rest.Route) error {
	refuse := http.HandlerFunc(http.NotFound)
	server, err := httpserver.Start(chosen.listen, routes, refuse, refuse)
	if err != nil {
		return err
	}
	if _, err := logging.New("error", chosen.name); err != nil {
		return err
	}
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	<-stops
	server.Close()
	return nil
}

func runLog(chosen *options) error { return serve(chosen, logstand.New(chosen.seed).Routes()) }

func runWeights(chosen *options) error { return serve(chosen, weightstand.New(chosen.rate).Routes()) }

func runMachines(chosen *options) error { return serve(chosen, machinestand.New(chosen.lag).Routes()) }

// instance names one run of a stand-in.
func (chosen *options) instance() string {
	return fmt.Sprintf("%s-%x", chosen.name, time.Now().UnixNano())
}

func runEngine(chosen *options) error {
	config := chosen.engine
	config.Instance = chosen.instance()
	config.Service = chosen.service
	config.StoreURL = chosen.store
	config.Seed = chosen.seed
	one := enginestand.New(config)
	stop := make(chan struct{})
	defer close(stop)
	go one.Run(stop)
	return serve(chosen, one.Routes())
}

func runPlain(chosen *options) error {
	const delay = 2 * time.Millisecond
	return serve(chosen, plainstand.New(chosen.instance(), chosen.service, delay, chosen.seed).Routes())
}

// programs returns the paths of woodworks and of this program.
func (chosen *options) programs() (woodworks, lab string, err error) {
	lab, err = os.Executable()
	if err != nil {
		return "", "", errors.Wrap(err, "own path")
	}
	woodworks = chosen.woodworks
	if woodworks == "" {
		woodworks = filepath.Join(filepath.Dir(lab), "woodworks")
	}
	if _, err := os.Stat(woodworks); err != nil {
		return "", "", errors.Wrap(err, "program woodworks")
	}
	return woodworks, lab, nil
}

func runDemo(chosen *options) error {
	woodworks, lab, err := chosen.programs()
	if err != nil {
		return err
	}
	return demo.Run(demo.Options{
		Site: demo.ByName(chosen.site), Woodworks: woodworks, Lab: lab, Seed: chosen.seed,
		Output: chosen.stdout, KeepLogs: chosen.logs, SafetyOnly: chosen.safetyOnly,
	})
}

func runChaos(chosen *options) error {
	woodworks, lab, err := chosen.programs()
	if err != nil {
		return err
	}
	const defaultDuration = 40 * time.Second
	if chosen.duration == 0 {
		chosen.duration = defaultDuration
	}
	return chaos.Run(chaos.Options{
		Site: demo.ByName(chosen.site), Woodworks: woodworks, Lab: lab, Seed: chosen.seed,
		Duration: chosen.duration, Output: chosen.stdout, Logs: chosen.logs, Quiet: chosen.quiet, SafetyOnly: chosen.safetyOnly,
	})
}

func runHollowDaemons(chosen *options) error { return serve(chosen, scale.NewHost().Routes()) }

func runHollowReplicas(chosen *options) error {
	const swapTime = 500 * time.Millisecond
	return serve(chosen, scale.NewReplicas(swapTime).Routes())
}

func runScale(chosen *options) error {
	lab, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "own path")
	}
	if chosen.plots == "" {
		chosen.plots = "out/scale"
	}
	if len(chosen.sizes) == 0 {
		chosen.sizes = []int{10, 25, 50, 100, 200}
	}
	logs, removeLogs, err := floor.LogDirectory(chosen.logs)
	if err != nil {
		return err
	}
	defer removeLogs()
	return scale.Run(scale.Options{
		Sizes: chosen.sizes, ReplicasPerDaemon: chosen.perDaemon, Lab: lab,
		Directory: logs, Output: chosen.stdout, Plots: chosen.plots,
	})
}

func runMeasure(chosen *options) error {
	var seeds []uint64
	for i := range chosen.runs {
		seeds = append(seeds, chosen.seed+uint64(i))
	}
	return measure.Run(measure.Options{Seeds: seeds, Output: chosen.stdout, Plots: chosen.plots})
}
