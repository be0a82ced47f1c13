package floor

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"woodworks/internal/client"
	"woodworks/internal/lab/netcut"
	"woodworks/internal/platform/machinelist"
	"woodworks/internal/policy"
	"woodworks/internal/settings"
)

// Site describes a floor.
type Site struct {
	Region        string
	Zones         []string
	EngineService string
	Engines       int
	PlainService  string
	Plains        int
	// Policy is the source of the one policy document, under the site's name.
	Name   string
	Policy string
}

// Options holds what a run may set.
type Options struct {
	Site Site
	// Woodworks and Lab are the paths of the two programs.
	Woodworks string
	Lab       string
	Directory string
	Seed      uint64
	// EngineArguments are passed on to every engine.
	EngineArguments []string
	ListLag         time.Duration
	StoreRate       float64
}

// Daemon is one started daemon with its addresses.
type Daemon struct {
	*Process
	Zone     string
	Host     string
	Public   string
	Internal string
}

// Backend is one started back end.
type Backend struct {
	*Process
	Machine machinelist.Machine
}

// Floor is a running floor of separate processes.
type Floor struct {
	Options  Options
	Log      *Process
	Weights  *Process
	List     *Process
	LogURL   string
	StoreURL string
	ListURL  string
	Daemons  []*Daemon
	Engines  []*Backend
	Plains   []*Backend
	Network  *netcut.Network
	// OperatorKey is the key of the operator in the daemons' settings.
	OperatorKey string
}

const (
	operatorKey  = "lab-operator-key"
	startTimeout = 20 * time.Second
	pollDelay    = 25 * time.Millisecond
)

const (
	// firstPort and lastPort lie below the ports that the kernel gives to
	// outgoing connections, so that none takes a port between its choice here
	// and its use by a process.
	firstPort = 20000
	lastPort  = 31999
)

// nextPort starts at another place in each process, so that two lab runs at a
// time rarely try the same ports.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid() * 97 % (lastPort - firstPort))) }

// FreePort returns a TCP port on a host that was free a moment ago and that it
// has not returned before.
func FreePort(host string) (int, error) {
	for range lastPort - firstPort {
		port := firstPort + int(nextPort.Add(1))%(lastPort-firstPort)
		listener, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
		if err == nil {
			_ = listener.Close()
			return port, nil
		}
	}
	return 0, errors.New("floor: no free port")
}

const loopback = "127.0.0.1"

func freeAddress(host string) (string, error) {
	port, err := FreePort(host)
	return net.JoinHostPort(host, strconv.Itoa(port)), err
}

// Start starts every process of a floor, publishes the site's policy and waits
// until each daemon is ready.
func Start(options Options) (*Floor, error) {
	floor := &Floor{Options: options, Network: netcut.New(), OperatorKey: operatorKey}
	steps := []func() error{floor.startPlatform, floor.startBackends, floor.startDaemons, floor.publishFirstPolicy, floor.awaitReady}
	for _, step := range steps {
		if err := step(); err != nil {
			floor.Stop()
			return nil, err
		}
	}
	return floor, nil
}

func (floor *Floor) launchLab(name string, arguments ...string) (*Process, string, error) {
	address, err := freeAddress(loopback)
	if err != nil {
		return nil, "", err
	}
	arguments = append(arguments, "--listen", address, "--seed", strconv.FormatUint(floor.Options.Seed, 10))
	process, err := Launch(name, floor.Options.Lab, filepath.Join(floor.Options.Directory, name+".log"), arguments...)
	return process, address, err
}

func (floor *Floor) startPlatform() error {
	var err error
	var address string
	if floor.Log, address, err = floor.launchLab("log", "stand-log"); err != nil {
		return err
	}
	floor.LogURL = "http://" + address
	rate := strconv.FormatFloat(floor.Options.StoreRate, 'f', -1, 64)
	if floor.Weights, address, err = floor.launchLab("weights", "stand-weights", "--rate", rate); err != nil {
		return err
	}
	floor.StoreURL = "http://" + address
	if floor.List, address, err = floor.launchLab("machines", "stand-machines", "--lag", floor.Options.ListLag.String()); err != nil {
		return err
	}
	floor.ListURL = "http://" + address
	return awaitHTTP(floor.ListURL + "/v1/machines?since=0")
}

func awaitHTTP(url string) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		response, err := http.Get(url)
		if err == nil {
			_ = response.Body.Close()
			return nil
		}
		time.Sleep(pollDelay)
	}
	return errors.Errorf("floor: %s did not answer", url)
}

func (floor *Floor) startBackends() error {
	site := floor.Options.Site
	for i := range site.Engines {
		name := fmt.Sprintf("%s-%d", site.EngineService, i+1)
		arguments := append([]string{"stand-engine", "--name", name, "--service", site.EngineService, "--store", floor.StoreURL}, floor.Options.EngineArguments...)
		backend, err := floor.startBackend(name, site.EngineService, site.Zones[i%len(site.Zones)], arguments)
		if err != nil {
			return err
		}
		floor.Engines = append(floor.Engines, backend)
	}
	for i := range site.Plains {
		name := fmt.Sprintf("%s-%d", site.PlainService, i+1)
		backend, err := floor.startBackend(name, site.PlainService, site.Zones[i%len(site.Zones)], []string{"stand-plain", "--name", name, "--service", site.PlainService})
		if err != nil {
			return err
		}
		floor.Plains = append(floor.Plains, backend)
	}
	return nil
}

func (floor *Floor) startBackend(name, service, zone string, arguments []string) (*Backend, error) {
	process, address, err := floor.launchLab(name, arguments...)
	if err != nil {
		return nil, err
	}
	backend := &Backend{Process: process, Machine: machinelist.Machine{
		Name: name, Service: service, Address: address, Zone: zone, Region: floor.Options.Site.Region, State: machinelist.Live,
	}}
	return backend, floor.ListMachine(backend.Machine)
}

// ListMachine puts a machine's state into the machine list.
func (floor *Floor) ListMachine(machine machinelist.Machine) error {
	return PostJSON(floor.ListURL+"/admin/machines", machine)
}

// PostJSON posts a body and expects status 200.
func PostJSON(url string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "floor: encode")
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return errors.Wrap(err, "floor")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "floor")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("floor: %s answered %s", url, response.Status)
	}
	return nil
}

// GetJSON reads a JSON answer.
func GetJSON(url string, answer any) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "floor")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "floor")
	}
	defer func() { _ = response.Body.Close() }()
	return errors.Wrap(json.NewDecoder(response.Body).Decode(answer), "floor: decode")
}

// startDaemons starts one daemon a zone, each on a loopback IP of its own and
// behind the network that can be cut.
func (floor *Floor) startDaemons() error {
	var advertised []string
	planned := make([]settings.Settings, len(floor.Options.Site.Zones))
	for i, zone := range floor.Options.Site.Zones {
		loaded, err := floor.planDaemon(i, zone)
		if err != nil {
			return err
		}
		if err := floor.Network.Forward(loaded.Listen.AdvertisePeer, loaded.Listen.Peer); err != nil {
			return err
		}
		advertised = append(advertised, loaded.Listen.AdvertisePeer)
		planned[i] = loaded
	}
	for i := range planned {
		planned[i].Seeds = advertised
		daemon, err := floor.launchDaemon(planned[i])
		if err != nil {
			return err
		}
		floor.Daemons = append(floor.Daemons, daemon)
	}
	return nil
}

func (floor *Floor) planDaemon(index int, zone string) (settings.Settings, error) {
	host := fmt.Sprintf("127.0.1.%d", index+1)
	loaded := settings.Defaults()
	loaded.Name = "daemon-" + zone
	loaded.Zone = zone
	loaded.Region = floor.Options.Site.Region
	loaded.Platform = settings.Platform{LogURL: floor.LogURL, MachineListURL: floor.ListURL}
	loaded.Operators = []settings.OperatorKey{{Name: "lab", KeySHA256: policy.KeyDigest(operatorKey)}}
	loaded.Limits.ChunkSamples = 8
	targets := []struct {
		host   string
		target *string
	}{
		{host, &loaded.Listen.Public},
		{host, &loaded.Listen.Internal},
		{host, &loaded.Listen.Peer},
		{fmt.Sprintf("127.0.2.%d", index+1), &loaded.Listen.AdvertisePeer},
	}
	for _, one := range targets {
		address, err := freeAddress(one.host)
		if err != nil {
			return settings.Settings{}, err
		}
		*one.target = address
	}
	return loaded, nil
}

func (floor *Floor) launchDaemon(loaded settings.Settings) (*Daemon, error) {
	encoded, err := yaml.Marshal(loaded)
	if err != nil {
		return nil, errors.Wrap(err, "floor: settings")
	}
	path := filepath.Join(floor.Options.Directory, loaded.Name+".yaml")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return nil, errors.Wrap(err, "floor: settings")
	}
	process, err := Launch(loaded.Name, floor.Options.Woodworks, filepath.Join(floor.Options.Directory, loaded.Name+".log"), "serve", "-c", path)
	if err != nil {
		return nil, err
	}
	host, _, _ := net.SplitHostPort(loaded.Listen.Peer)
	return &Daemon{
		Process: process, Zone: loaded.Zone, Host: host,
		Public: "http://" + loaded.Listen.Public, Internal: "http://" + loaded.Listen.Internal,
	}, nil
}

// Operator returns an operator's client for one daemon.
func (floor *Floor) Operator(index int) *client.Client {
	return client.New(floor.Daemons[index%len(floor.Daemons)].Internal, floor.OperatorKey)
}

// Publish publishes the site's policy document through one daemon.
func (floor *Floor) Publish(ctx context.Context, index int, source string, replaces *uint64) error {
	body := struct {
		Name     string  `json:"name"`
		Source   string  `json:"source"`
		Replaces *uint64 `json:"replaces,omitempty"`
	}{floor.Options.Site.Name, source, replaces}
	return floor.Operator(index).JSON(ctx, http.MethodPost, "/v1/policies", body, nil)
}

func (floor *Floor) publishFirstPolicy() error {
	deadline := time.Now().Add(startTimeout)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
		err := floor.Publish(ctx, 0, floor.Options.Site.Policy, nil)
		cancel()
		if err == nil {
			return nil
		}
		if problem, answered := client.AsProblem(err); (answered && problem.Status == http.StatusUnprocessableEntity) || time.Now().After(deadline) {
			return errors.Wrap(err, "floor: first policy")
		}
		time.Sleep(pollDelay)
	}
}

func (floor *Floor) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, daemon := range floor.Daemons {
		for !IsReady(daemon) {
			if time.Now().After(deadline) {
				return errors.Errorf("floor: %s is not ready", daemon.Name)
			}
			time.Sleep(pollDelay)
		}
	}
	return nil
}

// IsReady asks a daemon whether it is ready.
func IsReady(daemon *Daemon) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, daemon.Internal+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// Stop ends every process of the floor.
func (floor *Floor) Stop() {
	var processes []*Process
	for _, daemon := range floor.Daemons {
		processes = append(processes, daemon.Process)
	}
	for _, backend := range append(append([]*Backend{}, floor.Engines...), floor.Plains...) {
		processes = append(processes, backend.Process)
	}
	for _, process := range append(processes, floor.Log, floor.Weights, floor.List) {
		if process != nil {
			process.Thaw()
			process.Kill()
		}
	}
	floor.Network.Close()
}
