// Package demo runs daemons as separate processes on the product's own
// services, with a trainer, players, kills and a planned stop, and checks what
// callers were told against what the services did.
//
// # Usage
//
//	err := demo.Run(ctx, demo.Options{Program: "bin/woodworks", Output: os.Stdout})
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"woodworks/examples"
	"woodworks/internal/api/client"
	"woodworks/internal/demo/process"
	"woodworks/internal/demo/services"
)

// Options holds what a run may set.
type Options struct {
	// Program is the path of the woodworks program.
	Program string
	// Folder is where settings and logs go; "" for a temporary one that is removed.
	Folder string
	Seed   uint64
	Output io.Writer
	// SafetyOnly passes over promises that were never put to the test, for
	// machines that are too busy for a verdict on more.
	SafetyOnly bool
}

// ErrBroken means that a promise did not hold, or was never put to the test.
var ErrBroken = errors.New("demo: a promise did not hold")

const (
	trainer      = "bots"
	player       = "players"
	engines      = 4
	plains       = 3
	startTimeout = 20 * time.Second
	stopTimeout  = 15 * time.Second
	// phase is the time between two events of a run.
	phase = 2 * time.Second
	// staleness is the trainer's bound in the example policy, in versions.
	staleness = 3
)

var zones = []string{"hall-a", "hall-b", "hall-c"}

// daemon is one daemon with the newest of its processes.
type daemon struct {
	*process.Process
	name string
	// address is where clients come.
	address string
}

// run is one run.
type run struct {
	options  Options
	services *services.Services
	daemons  []*daemon
	checks   *checks
	trainer  *trainerLoop
	players  *playerLoop
}

// Run runs the demo. It returns ErrBroken if a promise did not hold.
func Run(ctx context.Context, options Options) error {
	if options.Folder == "" {
		folder, err := os.MkdirTemp("", "woodworks-demo-")
		if err != nil {
			return errors.Wrap(err, "demo: folder")
		}
		defer func() { _ = os.RemoveAll(folder) }()
		options.Folder = folder
	}
	if err := os.MkdirAll(options.Folder, 0o755); err != nil {
		return errors.Wrap(err, "demo: folder")
	}
	started, err := services.Start(services.Shape{
		EngineService: "oracle-pool", Engines: engines, PlainService: "game-front", Plains: plains, Zones: zones,
		Policies: map[string]string{"qarmoud": examples.QarmoudPolicy}, Engine: services.DefaultEngine(),
	})
	if err != nil {
		return err
	}
	defer started.Stop()
	r := &run{options: options, services: started, checks: newChecks()}
	defer r.stop()
	if err := r.start(); err != nil {
		return err
	}
	r.drive(ctx)
	return r.report()
}

func (r *run) say(format string, args ...any) {
	_, _ = fmt.Fprintf(r.options.Output, format+"\n", args...)
}

// start starts the daemons and waits until they are ready.
func (r *run) start() error {
	r.say("starting %d daemons, %d engines, %d plain back ends and a log service", len(zones), engines, plains)
	for _, zone := range zones {
		if err := r.startDaemon(zone); err != nil {
			return err
		}
	}
	var urls []string
	for _, d := range r.daemons {
		urls = append(urls, "http://"+d.address+"/readyz")
	}
	return process.AwaitReady(startTimeout, urls...)
}

func (r *run) startDaemon(zone string) error {
	loaded := r.services.Settings(zone+"-1", zone)
	if err := process.FreeAddresses(&loaded.Listen.Public, &loaded.Listen.Internal); err != nil {
		return err
	}
	encoded, err := yaml.Marshal(loaded)
	if err != nil {
		return errors.Wrap(err, "demo: settings")
	}
	d := &daemon{name: loaded.Name, address: loaded.Listen.Public}
	if err := os.WriteFile(r.file(d, ".yaml"), encoded, 0o600); err != nil {
		return errors.Wrap(err, "demo: settings")
	}
	if err := r.launch(d); err != nil {
		return err
	}
	r.daemons = append(r.daemons, d)
	return nil
}

// launch starts a process of a daemon.
func (r *run) launch(d *daemon) error {
	p, err := process.Launch(d.name, r.options.Program, r.file(d, ".log"), "serve", "-c", r.file(d, ".yaml"))
	if err != nil {
		return err
	}
	d.Process = p
	return nil
}

func (r *run) file(d *daemon, suffix string) string {
	return filepath.Join(r.options.Folder, d.name+suffix)
}

func (r *run) stop() {
	for _, d := range r.daemons {
		d.Kill()
	}
}

// clients speak to each daemon with a caller's key.
func (r *run) clients(key string) []*client.Client {
	var clients []*client.Client
	for _, d := range r.daemons {
		clients = append(clients, client.New("http://"+d.address, key))
	}
	return clients
}

// drive runs the callers, and the events in their midst.
func (r *run) drive(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.trainer = &trainerLoop{clients: r.clients(trainer), checks: r.checks, seed: r.options.Seed}
	r.players = &playerLoop{clients: r.clients(player), checks: r.checks, told: map[string]telling{}}
	var working sync.WaitGroup
	working.Go(func() { r.trainer.run(ctx) })
	working.Go(func() { r.players.run(ctx) })
	time.Sleep(phase)
	r.say("killing engine %s", r.services.Engines[0].ID)
	r.services.Engines[0].Kill()
	time.Sleep(phase)
	r.say("stopping daemon %s by plan", r.daemons[1].name)
	r.checks.that(plannedStop, r.daemons[1].Terminate(stopTimeout), "daemon %s did not stop cleanly", r.daemons[1].name)
	r.say("killing daemon %s", r.daemons[2].name)
	r.daemons[2].Kill()
	for _, d := range r.daemons[1:] {
		if err := r.launch(d); err != nil {
			r.say("restart: %v", err)
		}
	}
	time.Sleep(phase)
	checkDrained := r.drainEngine(ctx, 1)
	time.Sleep(leavingGrace + phase)
	checkDrained()
	cancel()
	working.Wait()
	r.players.settle(r.services.Plains)
}

const (
	// leavingGrace is how long after the order a leaving back end may still be
	// given work.
	leavingGrace = 3 * time.Second
)

// drainEngine orders that an engine gets no new work, and returns the check that
// it got none once the grace was over.
func (r *run) drainEngine(ctx context.Context, number int) func() {
	engine := r.services.Engines[number]
	r.say("draining engine %s", engine.ID)
	if err := r.services.Operator.Drain(ctx, engine.ID, true); err != nil {
		r.say("drain: %v", err)
		return func() {}
	}
	over := time.Now().Add(leavingGrace)
	return func() {
		for _, start := range engine.Starts() {
			r.checks.that(leavingIdle, start.At.Before(over), "%s was given %s after the order", engine.ID, start.ID)
		}
	}
}

// report prints what was checked.
func (r *run) report() error {
	r.say("%d batches with %d samples, versions %v; %d moves told of", r.trainer.batches, r.trainer.samples, r.trainer.seen(), r.players.count())
	broken := r.checks.print(r.options.Output, r.options.SafetyOnly)
	if broken {
		return ErrBroken
	}
	return nil
}
