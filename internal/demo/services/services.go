// Package services is what stands around daemons that run on the product's own
// services, for the demo and for tests: the log service, engines and plain back ends behind listeners on
// loopback, and operators who write into the log.
//
// # Usage
//
//	around, err := services.Start(services.Shape{Engines: 3, EngineService: "assessor-lm"})
//	defer around.Stop()
//	loaded := around.Settings("daemon-1", "zone-a")
package services

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
	"woodworks/internal/demo/fakebackend"
	"woodworks/internal/demo/fakeengine"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/journal/logservice"
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
	Engine   fakeengine.Shape
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

// Engine is a fake with its listener.
type Engine struct {
	*fakeengine.Engine
	ID     string
	server *http.Server
}

// Plain is a fake with its listener.
type Plain struct {
	*fakebackend.Backend
	ID      string
	Address netip.AddrPort
	Server  *http.Server
}

// Services are all of them.
type Services struct {
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
func DefaultEngine() fakeengine.Shape {
	return fakeengine.Shape{Slots: 8, TokenTime: 500 * time.Microsecond, MedianTokens: 60, LoadTime: 150 * time.Millisecond, TokensPerEvent: 8}
}

// Start starts the services and publishes its policies.
func Start(shape Shape) (*Services, error) {
	log := journaltest.New()
	log.Partitions, log.RecordBytes, log.AppendBytes = partitions, recordBytes, appendBytes
	s := &Services{Log: log, Operator: operator.New(log, zap.NewNop()), shape: shape}
	addr, _, err := s.serve(logservice.Handler{Journal: log})
	if err != nil {
		return nil, err
	}
	s.logAddr = addr
	for name, source := range shape.Policies {
		if _, err := s.Operator.Publish(context.Background(), operator.Change{Name: name, Author: "operator", Source: source}); err != nil {
			s.Stop()
			return nil, errors.Wrapf(err, "policy %s", name)
		}
	}
	for i := range shape.Engines {
		if err := s.startEngine(i); err != nil {
			s.Stop()
			return nil, err
		}
	}
	for i := range shape.Plains {
		if err := s.startPlain(i); err != nil {
			s.Stop()
			return nil, err
		}
	}
	return s, nil
}

func (s *Services) startEngine(i int) error {
	shape := s.shape.Engine
	shape.ID = fmt.Sprint("engine-", i)
	engine := &Engine{Engine: fakeengine.New(shape), ID: shape.ID}
	engine.Loaded = func(model string, version int64) { s.hold(engine.ID, model, version) }
	addr, server, err := s.serve(engine.Engine)
	if err != nil {
		return err
	}
	engine.server = server
	s.Engines = append(s.Engines, engine)
	entry := operator.Machine{Service: s.shape.EngineService, Address: addr.String(), Zone: s.zone(i), Slots: shape.Slots}
	return s.Operator.List(context.Background(), engine.ID, &entry)
}

// hold notes a version in an engine's entry, again until the log has taken it.
func (s *Services) hold(engine, model string, version int64) {
	ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	for ctx.Err() == nil && s.Operator.Hold(ctx, engine, model, version) != nil {
		time.Sleep(holdPause)
	}
}

func (s *Services) startPlain(i int) error {
	plain := &Plain{Backend: fakebackend.New(fmt.Sprint("plain-", i), 2*time.Millisecond), ID: fmt.Sprint("plain-", i)}
	addr, server, err := s.serve(plain.Backend)
	if err != nil {
		return err
	}
	plain.Server, plain.Address = server, addr
	s.Plains = append(s.Plains, plain)
	entry := operator.Machine{Service: s.shape.PlainService, Address: addr.String(), Zone: s.zone(i), Slots: 8}
	return s.Operator.List(context.Background(), plain.ID, &entry)
}

func (s *Services) zone(i int) string { return s.shape.Zones[i%len(s.shape.Zones)] }

// serve serves a handler on a free address.
func (s *Services) serve(handler http.Handler) (netip.AddrPort, *http.Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, nil, errors.Wrap(err, "services")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	s.servers = append(s.servers, server)
	return listener.Addr().(*net.TCPAddr).AddrPort(), server, nil
}

// Kill closes an engine's listener and all its connections. It stays listed.
func (e *Engine) Kill() { _ = e.server.Close() }

// Settings returns the settings of a daemon. Its addresses are the caller's to set.
func (s *Services) Settings(name, zone string) settings.Settings {
	loaded := settings.Defaults()
	loaded.Name, loaded.Zone, loaded.Region = name, zone, "region"
	loaded.Platform.Driver = settings.DriverLog
	loaded.Platform.Store = settings.Store{Address: s.logAddr.String(), Partitions: partitions, RecordBytes: recordBytes, AppendBytes: appendBytes}
	loaded.Operators = []settings.OperatorKey{{Name: "operator", KeySHA256: apikey.DigestOf(OperatorKey).String()}}
	loaded.Timing.StopGrace = settings.Duration(8 * time.Second)
	return loaded
}

// Stop ends everything.
func (s *Services) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		_ = server.Close()
	}
}
