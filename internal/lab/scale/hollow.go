// Package scale runs the control part of many daemons, many to a process, over
// loopback, with hollow replicas behind them, and measures what each costs as
// the floor grows.
package scale

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest"
	"go.uber.org/zap"

	"woodworks/internal/backend/engine"
	"woodworks/internal/daemon"
	"woodworks/internal/lab/floor"
	"woodworks/internal/settings"
)

// trainerName is the one trainer of a scale run's policy.
const trainerName = "trainer"

// serviceName is the one engine service.
const serviceName = "engines"

// Plan is what one host process of hollow daemons runs; it is posted to it.
type Plan struct {
	Settings []settings.Settings `json:"settings"`
}

// HostStats is what a host process used since its start.
type HostStats struct {
	Daemons    int     `json:"daemons"`
	CPUSeconds float64 `json:"cpu_seconds"`
	HeapBytes  uint64  `json:"heap_bytes"`
	Goroutines int     `json:"goroutines"`
	Received   uint64  `json:"received"`
	Sent       uint64  `json:"sent"`
}

// Host runs hollow daemons. It is safe for concurrent use.
type Host struct {
	mutex   sync.Mutex
	daemons []*daemon.Daemon
}

// NewHost returns a host without daemons.
func NewHost() *Host { return &Host{} }

// Routes returns the host's control interface.
func (host *Host) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/start", Handler: host.start},
		{Method: http.MethodGet, Path: "/stats", Handler: host.stats},
		{Method: http.MethodGet, Path: "/views", Handler: host.views},
		{Method: http.MethodPost, Path: "/act", Handler: host.act},
	}
}

func (host *Host) start(writer http.ResponseWriter, request *http.Request) {
	var plan Plan
	if err := json.NewDecoder(request.Body).Decode(&plan); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	for _, loaded := range plan.Settings {
		one, err := daemon.New(loaded, zap.NewNop())
		if err != nil {
			http.Error(writer, err.Error(), http.StatusInternalServerError)
			return
		}
		one.StartControl()
		host.mutex.Lock()
		host.daemons = append(host.daemons, one)
		host.mutex.Unlock()
	}
	_, _ = writer.Write([]byte("{}\n"))
}

func (host *Host) stats(writer http.ResponseWriter, _ *http.Request) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	stats := HostStats{Daemons: len(host.daemons), Goroutines: runtime.NumGoroutine()}
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		stats.CPUSeconds = seconds(usage.Utime) + seconds(usage.Stime)
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	stats.HeapBytes = memory.HeapInuse + memory.StackInuse
	for _, one := range host.daemons {
		received, sent := one.Traffic()
		stats.Received += received
		stats.Sent += sent
	}
	_ = json.NewEncoder(writer).Encode(stats)
}

func seconds(value syscall.Timeval) float64 { return float64(value.Sec) + float64(value.Usec)/1e6 }

func (host *Host) views(writer http.ResponseWriter, _ *http.Request) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	views := []daemon.ControlView{}
	for _, one := range host.daemons {
		views = append(views, one.Control(trainerName))
	}
	_ = json.NewEncoder(writer).Encode(views)
}

// Action is something that a hollow daemon is told to do.
type Action struct {
	// Name is the daemon's name, "" for the first.
	Name string `json:"name"`
	// Do is close, leave, publish or announce.
	Do      string `json:"do"`
	Source  string `json:"source,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

func (host *Host) act(writer http.ResponseWriter, request *http.Request) {
	var action Action
	if err := json.NewDecoder(request.Body).Decode(&action); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if err := host.perform(request, action); err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = writer.Write([]byte("{}\n"))
}

func (host *Host) perform(request *http.Request, action Action) error {
	host.mutex.Lock()
	index := -1
	for i, one := range host.daemons {
		if action.Name == "" || one.Control(trainerName).Name == action.Name {
			index = i
			break
		}
	}
	if index < 0 {
		host.mutex.Unlock()
		return errors.Errorf("no daemon %q here", action.Name)
	}
	chosen := host.daemons[index]
	if action.Do == "close" {
		host.daemons = append(host.daemons[:index], host.daemons[index+1:]...)
	}
	host.mutex.Unlock()
	switch action.Do {
	case "close":
		chosen.Close()
	case "leave":
		chosen.Leave()
	case "announce":
		chosen.Announce(trainerName, action.Version, fmt.Sprint("weights-", action.Version))
	case "publish":
		return chosen.Publish(request.Context(), "scale", action.Source)
	default:
		return errors.Errorf("unknown action %q", action.Do)
	}
	return nil
}

// hollowReplica is the control side of an engine: fences, loads and reports.
type hollowReplica struct {
	mutex sync.Mutex
	state engine.State
}

// Replicas is a host of hollow replicas, each on a port of its own.
type Replicas struct {
	mutex    sync.Mutex
	byPort   map[string]*hollowReplica
	swapTime time.Duration
}

// NewReplicas returns a host whose replicas take the time for a swap.
func NewReplicas(swapTime time.Duration) *Replicas {
	return &Replicas{byPort: map[string]*hollowReplica{}, swapTime: swapTime}
}

// Routes returns the host's control interface.
func (replicas *Replicas) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/listen", Handler: replicas.listen},
		{Method: http.MethodGet, Path: "/versions", Handler: replicas.versions},
	}
}

// ListenRequest asks for replicas; the answer lists their addresses.
type ListenRequest struct {
	Count int `json:"count"`
}

func (replicas *Replicas) listen(writer http.ResponseWriter, request *http.Request) {
	var wanted ListenRequest
	if err := json.NewDecoder(request.Body).Decode(&wanted); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	addresses := []string{}
	for range wanted.Count {
		port, err := floor.FreePort(replicaHost)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusInternalServerError)
			return
		}
		address := net.JoinHostPort(replicaHost, strconv.Itoa(port))
		if err := replicas.serve(address); err != nil {
			http.Error(writer, err.Error(), http.StatusInternalServerError)
			return
		}
		addresses = append(addresses, address)
	}
	_ = json.NewEncoder(writer).Encode(addresses)
}

// replicaHost keeps the replicas' ports apart from the daemons'.
const replicaHost = "127.0.3.1"

func (replicas *Replicas) serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "scale")
	}
	replica := &hollowReplica{state: engine.State{Instance: address, Service: serviceName, Slots: 8}}
	replicas.mutex.Lock()
	replicas.byPort[address] = replica
	replicas.mutex.Unlock()
	go func() { _ = http.Serve(listener, replicas.handler(replica)) }()
	return nil
}

func (replicas *Replicas) handler(replica *hollowReplica) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", func(writer http.ResponseWriter, _ *http.Request) {
		replica.mutex.Lock()
		defer replica.mutex.Unlock()
		_ = json.NewEncoder(writer).Encode(replica.state)
	})
	mux.HandleFunc("POST /claim", func(writer http.ResponseWriter, request *http.Request) {
		var claim engine.ClaimRequest
		_ = json.NewDecoder(request.Body).Decode(&claim)
		replica.mutex.Lock()
		defer replica.mutex.Unlock()
		if claim.Fence <= replica.state.Fence {
			writer.WriteHeader(http.StatusConflict)
			return
		}
		replica.state.Fence = claim.Fence
		replica.state.FenceOwner = claim.Owner
		_ = json.NewEncoder(writer).Encode(replica.state)
	})
	mux.HandleFunc("POST /load", func(writer http.ResponseWriter, request *http.Request) {
		var load engine.LoadRequest
		_ = json.NewDecoder(request.Body).Decode(&load)
		replica.mutex.Lock()
		defer replica.mutex.Unlock()
		if load.Fence != replica.state.Fence {
			writer.WriteHeader(http.StatusConflict)
			return
		}
		if !replica.state.Loading {
			replica.state.Loading = true
			time.AfterFunc(replicas.swapTime, func() { replica.finish(load) })
		}
		_ = json.NewEncoder(writer).Encode(replica.state)
	})
	return mux
}

func (replica *hollowReplica) finish(load engine.LoadRequest) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.state.Loading = false
	replica.state.Model = load.Model
	replica.state.Version = load.Version
}

// versions answers how many replicas serve each version.
func (replicas *Replicas) versions(writer http.ResponseWriter, _ *http.Request) {
	replicas.mutex.Lock()
	defer replicas.mutex.Unlock()
	counts := map[uint64]int{}
	for _, replica := range replicas.byPort {
		replica.mutex.Lock()
		counts[replica.state.Version]++
		replica.mutex.Unlock()
	}
	_ = json.NewEncoder(writer).Encode(counts)
}
