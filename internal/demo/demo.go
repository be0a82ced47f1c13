// Package demo runs daemons as separate processes on the product's own
// services, with a trainer, players, kills and a planned stop, and checks what
// callers were told against what the services did.
//
// It owns the daemons' processes and the callers; services has what stands around the
// daemons, process starts them, checks counts.
//
// # Usage
//
//	outcome, err := demo.Run(ctx, demo.Options{Program: "bin/woodworks", Output: os.Stdout})
package demo

import (
	"context"
	"io"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/api/client"
	"woodworks/internal/demo/checks"
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

const (
	trainerKey   = "bots"
	playerKey    = "players"
	engines      = 4
	plains       = 3
	startTimeout = 20 * time.Second
	stopTimeout  = 15 * time.Second
	// phase is the time between two events of a run.
	phase = 2 * time.Second
	// staleness is the trainer's bound in the example policy, in versions.
	staleness = 3
	// leavingGrace is how long after the order a leaving back end may still be
	// given work.
	leavingGrace = 3 * time.Second
)

var zones = []string{"hall-a", "hall-b", "hall-c"}

// daemon is one daemon.
type daemon struct {
	*process.Daemon
	// address is where clients come.
	address string
}

// run is one run.
type run struct {
	*checks.Checks
	options  Options
	services *services.Services
	daemons  []*daemon
}

// Run runs the demo and returns what it found.
func Run(ctx context.Context, options Options) (checks.Outcome, error) {
	if options.Folder == "" {
		folder, err := os.MkdirTemp("", "woodworks-demo-")
		if err != nil {
			return checks.Outcome{}, errors.Wrap(err, "demo: folder")
		}
		defer func() { _ = os.RemoveAll(folder) }()
		options.Folder = folder
	}
	if err := os.MkdirAll(options.Folder, 0o755); err != nil {
		return checks.Outcome{}, errors.Wrap(err, "demo: folder")
	}
	around, err := services.Start(engines, plains, zones)
	if err != nil {
		return checks.Outcome{}, err
	}
	defer around.Stop()
	r := &run{Checks: checks.New(options.Output), options: options, services: around}
	defer r.stop()
	if err := r.start(); err != nil {
		return checks.Outcome{}, err
	}
	r.drive(ctx)
	return r.Outcome(rules, options.SafetyOnly), nil
}

// start starts the daemons and waits until they are ready.
func (r *run) start() error {
	r.Note("starting %d daemons, %d engines, %d plain back ends and a log service", len(zones), engines, plains)
	var urls []string
	for _, zone := range zones {
		d, err := r.newDaemon(zone)
		if err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
		urls = append(urls, "http://"+d.address+"/readyz")
	}
	return process.AwaitReady(startTimeout, urls...)
}

func (r *run) newDaemon(zone string) (*daemon, error) {
	cfg := r.services.Settings(zone+"-1", zone)
	if err := process.FreeAddresses(&cfg.Listen.Public, &cfg.Listen.Internal); err != nil {
		return nil, err
	}
	d, err := process.StartDaemon(r.options.Program, r.options.Folder, cfg)
	if err != nil {
		return nil, err
	}
	return &daemon{d, cfg.Listen.Public}, nil
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
	t := &trainer{Checks: r.Checks, clients: r.clients(trainerKey), seed: r.options.Seed}
	p := &players{Checks: r.Checks, clients: r.clients(playerKey), replies: map[string]reply{}}
	var callers sync.WaitGroup
	callers.Go(func() { t.run(ctx) })
	callers.Go(func() { p.run(ctx) })
	time.Sleep(phase)
	r.Note("killing engine %s", r.services.Engines[0].ID)
	r.services.Engines[0].Kill()
	time.Sleep(phase)
	stopped, killed := r.daemons[1], r.daemons[2]
	r.Note("stopping daemon %s by plan", stopped.Name)
	r.Check(plannedStop, stopped.Terminate(stopTimeout), "daemon %s did not stop cleanly", stopped.Name)
	r.Note("killing daemon %s", killed.Name)
	killed.Kill()
	for _, d := range []*daemon{stopped, killed} {
		if err := d.StartAgain(); err != nil {
			r.Note("restart: %v", err)
		}
	}
	time.Sleep(phase)
	checkDrained := r.drainEngine(ctx, r.services.Engines[1])
	time.Sleep(leavingGrace + phase)
	checkDrained()
	cancel()
	callers.Wait()
	p.settle(r.services.Plains)
	r.Note("%d batches with %d samples, versions %v; %d moves", t.batches, t.samples, t.versions, len(p.replies))
}

// drainEngine orders that an engine gets no new work, and returns the check that
// it got none once the grace was over.
func (r *run) drainEngine(ctx context.Context, engine *services.Engine) (check func()) {
	r.Note("draining engine %s", engine.ID)
	if err := r.services.Operator.SetDraining(ctx, engine.ID, true); err != nil {
		r.Note("drain: %v", err)
		return func() {}
	}
	over := time.Now().Add(leavingGrace)
	return func() {
		for _, start := range engine.Starts() {
			r.Check(leavingIdle, start.At.Before(over), "%s was given %s after the order", engine.ID, start.ID)
		}
	}
}
