// Package world is what stands around daemons that run on the product's own
// services: the log service, engines and plain back ends behind listeners on
// loopback, and operators who write into the log.
//
// # Usage
//
//	around, err := world.Start(world.Shape{Engines: 3, EngineService: "assessor-lm"})
//	defer around.Stop()
//	loaded := around.Settings("daemon-1", "zone-a")
package world

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/api/operator"
	"woodworks/internal/callers/apikey"
	"woodworks/internal/daemon/settings"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/journal/logservice"
	"woodworks/internal/lab/enginestand"
	"woodworks/internal/lab/plainstand"
)

// Shape says what there is.
type Shape struct {
	EngineService string
	Engines       int
	PlainService  string
	Plains        int
	Zones         []string
	// Policies are the documents that operators publish first.
	Policies map[string]string
	Engine   enginestand.Shape
}

// Limits of the log service.
const (
	partitions  = 4
	recordBytes = 1 << 18
	appendBytes = 2 << 20
)

const (
	holdTimeout = 10 * time.Second
	holdPause   = 50 * time.Millisecond
)

// OperatorKey is the key of the operator of the settings.
const OperatorKey = "operator"

// Engine is a stand-in with its listener.
type Engine struct {
	*enginestand.Engine
	ID     string
	server *http.Server
}

// Plain is a stand-in with its listener.
type Plain struct {
	*plainstand.Backend
	ID      string
	Address netip.AddrPort
	Server  *http.Server
}

// World is all of them.
type World struct {
	// Log holds what lasts; tests may let faults befall it.
	Log      *journaltest.Journal
	Operator *operator.Operator
	Engines  []*Engine
	Plains   []*Plain

	shape   Shape
	logAddr netip.AddrPort

	mu      sync.Mutex
	servers []*http.Server
}

// DefaultEngine is an engine for short runs.
func DefaultEngine() enginestand.Shape {
	return enginestand.Shape{Slots: 8, Pace: 500 * time.Microsecond, MedianTokens: 60, LoadTime: 150 * time.Millisecond, TokensPerEvent: 8}
}

// Start starts the world and publishes its policies.
func Start(shape Shape) (*World, error) {
	log := journaltest.New()
	log.Partitions, log.RecordBytes, log.AppendBytes = partitions, recordBytes, appendBytes
	w := &World{Log: log, Operator: operator.New(log, zap.NewNop()), shape: shape}
	addr, _, err := w.serve(logservice.Handler{Journal: log})
	if err != nil {
		return nil, err
	}
	w.logAddr = addr
	for name, source := range shape.Policies {
		if _, err := w.Operator.Publish(context.Background(), operator.Change{Name: name, Author: "operator", Source: source}); err != nil {
			w.Stop()
			return nil, errors.Wrapf(err, "policy %s", name)
		}
	}
	for i := range shape.Engines {
		if err := w.startEngine(i); err != nil {
			w.Stop()
			return nil, err
		}
	}
	for i := range shape.Plains {
		if err := w.startPlain(i); err != nil {
			w.Stop()
			return nil, err
		}
	}
	return w, nil
}

func (w *World) startEngine(i int) error {
	shape := w.shape.Engine
	shape.ID = fmt.Sprint("engine-", i)
	engine := &Engine{Engine: enginestand.New(shape), ID: shape.ID}
	engine.Loaded = func(model string, version int64) { w.hold(engine.ID, model, version) }
	addr, server, err := w.serve(engine.Engine)
	if err != nil {
		return err
	}
	engine.server = server
	w.Engines = append(w.Engines, engine)
	entry := operator.Machine{Service: w.shape.EngineService, Address: addr.String(), Zone: w.zone(i), Slots: shape.Slots}
	return w.Operator.List(context.Background(), engine.ID, &entry)
}

// hold notes a version in an engine's entry, again until the log has taken it.
func (w *World) hold(engine, model string, version int64) {
	ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	for ctx.Err() == nil && w.Operator.Hold(ctx, engine, model, version) != nil {
		time.Sleep(holdPause)
	}
}

func (w *World) startPlain(i int) error {
	plain := &Plain{Backend: plainstand.New(fmt.Sprint("plain-", i), 2*time.Millisecond), ID: fmt.Sprint("plain-", i)}
	addr, server, err := w.serve(plain.Backend)
	if err != nil {
		return err
	}
	plain.Server, plain.Address = server, addr
	w.Plains = append(w.Plains, plain)
	entry := operator.Machine{Service: w.shape.PlainService, Address: addr.String(), Zone: w.zone(i), Slots: 8}
	return w.Operator.List(context.Background(), plain.ID, &entry)
}

func (w *World) zone(i int) string { return w.shape.Zones[i%len(w.shape.Zones)] }

// serve serves a handler on a free address.
func (w *World) serve(handler http.Handler) (netip.AddrPort, *http.Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, nil, errors.Wrap(err, "world")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	w.servers = append(w.servers, server)
	return listener.Addr().(*net.TCPAddr).AddrPort(), server, nil
}

// Kill closes an engine's listener and all its connections. It stays listed.
func (e *Engine) Kill() { _ = e.server.Close() }

// Settings returns the settings of a daemon. Its addresses are the caller's to set.
func (w *World) Settings(name, zone string) settings.Settings {
	loaded := settings.Defaults()
	loaded.Name, loaded.Zone, loaded.Region = name, zone, "region"
	loaded.Platform.Driver = settings.DriverLog
	loaded.Platform.Store = settings.Store{Address: w.logAddr.String(), Partitions: partitions, RecordBytes: recordBytes, AppendBytes: appendBytes}
	loaded.Operators = []settings.OperatorKey{{Name: "operator", KeySHA256: apikey.DigestOf(OperatorKey).String()}}
	loaded.Timing.StopGrace = settings.Duration(8 * time.Second)
	return loaded
}

// Stop ends everything.
func (w *World) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, server := range w.servers {
		_ = server.Close()
	}
}
