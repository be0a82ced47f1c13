// Package services is what stands around daemons that run on the product's own
// services, for the demo and for tests: the log service, engines and plain back ends
// behind listeners on loopback, and operators who write into the log.
//
// It owns the listeners and the records; fakeengine and fakebackend answer behind the
// listeners, journaltest holds the records.
//
// # Usage
//
//	around, err := services.Start(3, 2, []string{"zone-a"})
//	defer around.Stop()
//	cfg := around.Settings("daemon-1", "zone-a")
package services

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/examples"
	"woodworks/internal/api/operator"
	"woodworks/internal/callers/apikey"
	"woodworks/internal/daemon/settings"
	"woodworks/internal/demo/fakebackend"
	"woodworks/internal/demo/fakeengine"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/journal/logservice"
)

// The services of Qarmoud's example policy.
const (
	engineService = "oracle-pool"
	plainService  = "game-front"
)

// Limits of the log service.
const (
	partitions  = 4
	recordBytes = 1 << 18
	appendBytes = 2 << 20
)

const (
	holdTimeout = 10 * time.Second
	holdPause   = 50 * time.Millisecond
	headTimeout = 5 * time.Second
	stopGrace   = 8 * time.Second
	// A plain back end takes plainTime for a request, and plainSlots of them at once.
	plainTime  = 2 * time.Millisecond
	plainSlots = 8
)

// OperatorKey is the key of the operator of the settings.
const OperatorKey = "operator"

// Machine is a back end with its listener.
type Machine struct {
	ID      string
	Address netip.AddrPort
	Server  *http.Server
}

// Kill closes the listener and all its connections. The machine stays listed.
func (m *Machine) Kill() { _ = m.Server.Close() }

// Engine is a fake engine with its listener.
type Engine struct {
	*fakeengine.Engine
	Machine
}

// Plain is a fake back end of a plain service with its listener.
type Plain struct {
	*fakebackend.Backend
	Machine
}

// Services are all of them.
type Services struct {
	// Log holds what lasts; tests may let faults befall it.
	Log      *journaltest.Journal
	Operator *operator.Store
	Engines  []*Engine
	Plains   []*Plain

	zones   []string
	logAddr netip.AddrPort
	servers []*http.Server
}

// DefaultEngine is an engine for short runs.
func DefaultEngine() fakeengine.Shape {
	return fakeengine.Shape{
		Slots: 8, TokenTime: 500 * time.Microsecond, MedianTokens: 60,
		LoadTime: 150 * time.Millisecond, TokensPerEvent: 8,
	}
}

// Start starts the log service with Qarmoud's example policy, and so many engines and plain
// back ends for it, dealt out over the zones.
func Start(engines, plains int, zones []string) (*Services, error) {
	log := journaltest.New()
	log.Partitions, log.RecordBytes, log.AppendBytes = partitions, recordBytes, appendBytes
	s := &Services{Log: log, Operator: operator.New(log, zap.NewNop()), zones: zones}
	if err := s.start(engines, plains); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *Services) start(engines, plains int) (err error) {
	if s.logAddr, _, err = s.serve(logservice.Handler{Journal: s.Log}); err != nil {
		return err
	}
	change := operator.Change{Name: "qarmoud", Author: "operator", Source: examples.QarmoudPolicy}
	if _, err := s.Operator.Publish(context.Background(), change); err != nil {
		return errors.Wrap(err, "services: policy")
	}
	for i := range engines {
		if err := s.startEngine(i); err != nil {
			return err
		}
	}
	for i := range plains {
		if err := s.startPlain(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Services) startEngine(i int) (err error) {
	shape := DefaultEngine()
	shape.ID = fmt.Sprint("engine-", i)
	engine := &Engine{Engine: fakeengine.New(shape)}
	engine.Loaded = func(model string, version int64) { s.hold(shape.ID, model, version) }
	s.Engines = append(s.Engines, engine)
	engine.Machine, err = s.machine(shape.ID, engineService, i, shape.Slots, engine.Engine)
	return err
}

// hold notes a version in an engine's entry, again until the log has taken it.
func (s *Services) hold(engine, model string, version int64) {
	ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	for ctx.Err() == nil && s.Operator.RecordHeldVersion(ctx, engine, model, version) != nil {
		time.Sleep(holdPause)
	}
}

func (s *Services) startPlain(i int) (err error) {
	id := fmt.Sprint("plain-", i)
	plain := &Plain{Backend: fakebackend.New(id, plainTime)}
	s.Plains = append(s.Plains, plain)
	plain.Machine, err = s.machine(id, plainService, i, plainSlots, plain.Backend)
	return err
}

// machine serves a back end on a free address and lists it.
func (s *Services) machine(id, service string, i, slots int, handler http.Handler) (Machine, error) {
	addr, server, err := s.serve(handler)
	if err != nil {
		return Machine{}, err
	}
	entry := operator.Machine{Service: service, Address: addr.String(), Zone: s.zones[i%len(s.zones)], Slots: slots}
	return Machine{id, addr, server}, s.Operator.SetMachine(context.Background(), id, &entry)
}

// serve serves a handler on a free address.
func (s *Services) serve(handler http.Handler) (netip.AddrPort, *http.Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, nil, errors.Wrap(err, "services")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headTimeout}
	go func() { _ = server.Serve(listener) }()
	s.servers = append(s.servers, server)
	return listener.Addr().(*net.TCPAddr).AddrPort(), server, nil
}

// Settings returns the settings of a daemon. Its addresses are the caller's to set.
func (s *Services) Settings(name, zone string) settings.Settings {
	cfg := settings.Defaults()
	cfg.Name, cfg.Zone, cfg.Region = name, zone, "region"
	cfg.Platform.Driver = settings.DriverLog
	cfg.Platform.Store = settings.Store{
		Address: s.logAddr.String(), Partitions: partitions, RecordBytes: recordBytes, AppendBytes: appendBytes,
	}
	digest := apikey.DigestOf(OperatorKey).String()
	cfg.Operators = []settings.OperatorKey{{Name: "operator", KeySHA256: digest}}
	cfg.Timing.StopGrace = settings.Duration(stopGrace)
	return cfg
}

// Stop ends everything.
func (s *Services) Stop() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}
