package scale

import (
	"fmt"
	"io"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/daemon"
	"woodworks/internal/lab/floor"
	"woodworks/internal/platform/machinelist"
	"woodworks/internal/settings"
)

// Options holds what a scale run may set.
type Options struct {
	// Sizes are the numbers of daemons, one after another.
	Sizes []int
	// ReplicasPerDaemon is as at the target: 10,000 replicas for 770 daemons.
	ReplicasPerDaemon int
	Lab               string
	Directory         string
	Output            io.Writer
	// Plots is the directory for the table and the plots.
	Plots string
}

const (
	daemonsPerHost = 25
	daemonHost     = "127.0.4.1"
	// steadyTime is how long the steady state is measured.
	steadyTime = 20 * time.Second
	// changeInterval is the target's rate of configuration changes: 8,400 a day.
	changeInterval = 10 * time.Second
	settleLimit    = 3 * time.Minute
	eventLimit     = 90 * time.Second
	pollInterval   = 20 * time.Millisecond
	maxZones       = 19
	regions        = 5
)

// Row is what was measured at one size. Rates are for each daemon.
type Row struct {
	Daemons  int `json:"daemons"`
	Replicas int `json:"replicas"`
	Zones    int `json:"zones"`
	// CPUPercent is the share of one core that a daemon uses.
	CPUPercent  float64 `json:"cpu_percent"`
	HeapMB      float64 `json:"heap_mb"`
	SentKBps    float64 `json:"sent_kb_per_second"`
	ReceivedKBs float64 `json:"received_kb_per_second"`
	// The times are in seconds, -1 where the limit passed.
	JoinSeconds  float64 `json:"join_seconds"`
	SpreadP50    float64 `json:"change_spread_p50_seconds"`
	SpreadMax    float64 `json:"change_spread_max_seconds"`
	DeadSeconds  float64 `json:"dead_known_seconds"`
	LeaveSeconds float64 `json:"leave_known_seconds"`
	SwapSeconds  float64 `json:"swap_wave_seconds"`
	ZoneSeconds  float64 `json:"zone_lost_epoch_seconds"`
}

// hollowFloor is the floor at one size.
type hollowFloor struct {
	options  Options
	size     int
	zones    int
	log      *floor.Process
	list     *floor.Process
	replicas *floor.Process
	hosts    []*floor.Process
	logURL   string
	listURL  string
	replURL  string
	hostURLs []string
	// hostOf names the host of each daemon.
	hostOf map[string]string
	names  []string
	zoneOf map[string]string
	// settingsOf holds each daemon's settings.
	settingsOf map[string]settings.Settings
}

// Run measures each size and writes the table, the fits and the plots.
func Run(options Options) error {
	var rows []Row
	for _, size := range options.Sizes {
		row, err := measure(options, size)
		if err != nil {
			return errors.Wrapf(err, "scale: %d daemons", size)
		}
		rows = append(rows, row)
		PrintTable(options.Output, rows[len(rows)-1:], len(rows) == 1)
	}
	return writeResults(options, rows)
}

func measure(options Options, size int) (Row, error) {
	one := &hollowFloor{options: options, size: size, zones: min(maxZones, max(3, size/10)), hostOf: map[string]string{}, zoneOf: map[string]string{}, settingsOf: map[string]settings.Settings{}}
	defer one.stop()
	row := Row{Daemons: size, Replicas: size * options.ReplicasPerDaemon, Zones: one.zones}
	if err := one.start(); err != nil {
		return row, err
	}
	startedAt := time.Now()
	if !one.await(settleLimit, one.settled(size)) {
		return row, errors.New("the floor did not settle")
	}
	row.JoinSeconds = time.Since(startedAt).Seconds()
	if err := one.publish(0); err != nil {
		return row, err
	}
	row.SwapSeconds = one.swapWave(1)
	one.measureSteady(&row)
	row.SwapSeconds = one.swapWave(2)
	row.LeaveSeconds = one.loseOne("leave", size-1)
	row.DeadSeconds = one.loseOne("close", size-2)
	if !one.await(settleLimit, func(views []daemon.ControlView) bool { return one.allIn(views, size-2) }) {
		return row, errors.New("no epoch without the lost daemons came about")
	}
	row.ZoneSeconds = one.loseZone()
	return row, nil
}

func (one *hollowFloor) launch(name string, arguments ...string) (*floor.Process, string, error) {
	port, err := floor.FreePort("127.0.0.1")
	if err != nil {
		return nil, "", err
	}
	address := "127.0.0.1:" + strconv.Itoa(port)
	process, err := floor.Launch(name, one.options.Lab, filepath.Join(one.options.Directory, name+".log"), append(arguments, "--listen", address)...)
	if err != nil {
		return nil, "", err
	}
	return process, "http://" + address, awaitPort(address)
}

func (one *hollowFloor) start() error {
	var err error
	if one.log, one.logURL, err = one.launch("log", "stand-log"); err != nil {
		return err
	}
	if one.list, one.listURL, err = one.launch("machines", "stand-machines"); err != nil {
		return err
	}
	if one.replicas, one.replURL, err = one.launch("replicas", "hollow-replicas"); err != nil {
		return err
	}
	if err := one.listReplicas(); err != nil {
		return err
	}
	return one.startDaemons()
}

func (one *hollowFloor) zone(index int) string { return fmt.Sprintf("zone-%02d", index%one.zones) }

func (one *hollowFloor) region(index int) string {
	return fmt.Sprintf("region-%d", index%one.zones%regions)
}

func (one *hollowFloor) listReplicas() error {
	var addresses []string
	if err := postFor(one.replURL+"/listen", ListenRequest{Count: one.size * one.options.ReplicasPerDaemon}, &addresses); err != nil {
		return err
	}
	for i, address := range addresses {
		machine := machinelist.Machine{
			Name: fmt.Sprintf("engine-%d", i), Service: serviceName, Address: address,
			Zone: one.zone(i), Region: one.region(i), State: machinelist.Live,
		}
		if err := floor.PostJSON(one.listURL+"/admin/machines", machine); err != nil {
			return err
		}
	}
	return nil
}

func (one *hollowFloor) startDaemons() error {
	var seeds []string
	var plans []settings.Settings
	for i := range one.size {
		port, err := floor.FreePort(daemonHost)
		if err != nil {
			return err
		}
		loaded := settings.Defaults()
		loaded.Name = fmt.Sprintf("d%d", i)
		loaded.Zone = one.zone(i)
		loaded.Region = one.region(i)
		loaded.Listen.Peer = daemonHost + ":" + strconv.Itoa(port)
		loaded.Platform = settings.Platform{LogURL: one.logURL, MachineListURL: one.listURL}
		if i < 3 {
			seeds = append(seeds, loaded.Listen.Peer)
		}
		if err := one.listDaemon(loaded, machinelist.Live); err != nil {
			return err
		}
		one.settingsOf[loaded.Name] = loaded
		plans = append(plans, loaded)
		one.names = append(one.names, loaded.Name)
		one.zoneOf[loaded.Name] = loaded.Zone
	}
	for i := range plans {
		plans[i].Seeds = seeds
	}
	for first := 0; first < one.size; first += daemonsPerHost {
		part := plans[first:min(first+daemonsPerHost, one.size)]
		process, url, err := one.launch(fmt.Sprintf("hollow-%d", first), "hollow-daemons")
		if err != nil {
			return err
		}
		one.hosts = append(one.hosts, process)
		one.hostURLs = append(one.hostURLs, url)
		for _, loaded := range part {
			one.hostOf[loaded.Name] = url
		}
		if err := floor.PostJSON(url+"/start", Plan{Settings: part}); err != nil {
			return err
		}
	}
	return nil
}

// listDaemon puts a daemon's machine into the machine list.
func (one *hollowFloor) listDaemon(loaded settings.Settings, state machinelist.State) error {
	return floor.PostJSON(one.listURL+"/admin/machines", machinelist.Machine{
		Name: loaded.Name, Service: machinelist.DaemonService, Address: loaded.Listen.Peer, Zone: loaded.Zone, Region: loaded.Region, State: state,
	})
}

func (one *hollowFloor) stop() {
	for _, process := range append([]*floor.Process{one.log, one.list, one.replicas}, one.hosts...) {
		if process != nil {
			process.Kill()
		}
	}
}

func (one *hollowFloor) views() []daemon.ControlView {
	var all []daemon.ControlView
	for _, url := range one.hostURLs {
		var views []daemon.ControlView
		if floor.GetJSON(url+"/views", &views) == nil {
			all = append(all, views...)
		}
	}
	return all
}

// await polls the daemons' views until the condition holds.
func (one *hollowFloor) await(limit time.Duration, holds func([]daemon.ControlView) bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if holds(one.views()) {
			return true
		}
	}
	return false
}

// settled reports whether every daemon sees all, in an epoch of all.
func (one *hollowFloor) settled(size int) func([]daemon.ControlView) bool {
	return func(views []daemon.ControlView) bool {
		owned := 0
		for _, view := range views {
			if view.Serving != size || view.Members != size {
				return false
			}
			owned += view.Owned
		}
		return len(views) == size && owned == one.size*one.options.ReplicasPerDaemon
	}
}

// allIn reports whether every daemon is in an epoch of a size.
func (one *hollowFloor) allIn(views []daemon.ControlView, size int) bool {
	for _, view := range views {
		if view.Members != size {
			return false
		}
	}
	return len(views) == size
}

const scalePolicy = `
traffic_class(name = "rollout", weight = 1)
service(name = "engines", kind = "engine", audience = "public")
trainer(name = "trainer", service = "engines", max_staleness = 1, traffic_class = "rollout")
# change %d
`

func (one *hollowFloor) act(name string, action Action) error {
	action.Name = name
	return floor.PostJSON(one.hostOf[name]+"/act", action)
}

func (one *hollowFloor) publish(number int) error {
	return one.act(one.names[0], Action{Do: "publish", Source: fmt.Sprintf(scalePolicy, number)})
}

// swapWave announces a version and returns the time until every replica serves it.
func (one *hollowFloor) swapWave(version uint64) float64 {
	startedAt := time.Now()
	if one.act(one.names[0], Action{Do: "announce", Version: version}) != nil {
		return -1
	}
	for time.Since(startedAt) < eventLimit {
		var counts map[uint64]int
		if floor.GetJSON(one.replURL+"/versions", &counts) == nil && counts[version] == one.size*one.options.ReplicasPerDaemon {
			return time.Since(startedAt).Seconds()
		}
		time.Sleep(pollInterval)
	}
	return -1
}

// loseOne makes a daemon leave or die and returns the time until no other
// counts it as serving.
func (one *hollowFloor) loseOne(how string, want int) float64 {
	victim := one.names[len(one.names)-1]
	one.names = one.names[:len(one.names)-1]
	startedAt := time.Now()
	if one.act(victim, Action{Do: how}) != nil {
		return -1
	}
	known := one.await(eventLimit, func(views []daemon.ControlView) bool {
		for _, view := range views {
			if view.Name != victim && view.Serving > want {
				return false
			}
		}
		return true
	})
	took := time.Since(startedAt).Seconds()
	if how == "leave" {
		_ = one.act(victim, Action{Do: "close"})
	}
	if one.listDaemon(one.settingsOf[victim], machinelist.Gone) != nil {
		return -1
	}
	if !known {
		return -1
	}
	return took
}

// loseZone ends every daemon of one zone at once and returns the time until
// all others are in an epoch without it.
func (one *hollowFloor) loseZone() float64 {
	zone := one.zoneOf[one.names[len(one.names)-1]]
	epoch := uint64(0)
	for _, view := range one.views() {
		epoch = max(epoch, view.Epoch)
	}
	startedAt := time.Now()
	left := 0
	for _, name := range one.names {
		if one.zoneOf[name] != zone {
			left++
			continue
		}
		if one.act(name, Action{Do: "close"}) != nil {
			return -1
		}
	}
	moved := one.await(eventLimit, func(views []daemon.ControlView) bool {
		for _, view := range views {
			if view.Epoch <= epoch || view.Members > left {
				return false
			}
		}
		return len(views) == left
	})
	if !moved {
		return -1
	}
	return time.Since(startedAt).Seconds()
}
