package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/announce"
	"woodworks/internal/backend/engine"
	"woodworks/internal/catalogsync"
	"woodworks/internal/membership"
	"woodworks/internal/peer"
	"woodworks/internal/platform/machinelist"
	"woodworks/internal/rendezvous"
)

// RPCName is the name under which Handler answers peers.
const RPCName = "Fleet"

const (
	directoryInterval = 500 * time.Millisecond
	reportInterval    = 250 * time.Millisecond
	callTimeout       = 700 * time.Millisecond
	// subsetOwners is how many owners of other daemons' replicas a daemon asks
	// for reports: state and traffic grow with this and not with the floor.
	subsetOwners = 12
	// pollConcurrency bounds the polls under way at a time.
	pollConcurrency = 32
)

// Peers is what this package needs of the membership.
type Peers interface {
	Self() membership.Member
	Serving() []membership.Member
	Announce(announcements ...announce.Announcement)
}

// Fleet keeps the table up to date. It is safe for concurrent use.
type Fleet struct {
	Table        *Table
	peers        Peers
	pool         *peer.Pool
	list         *machinelist.Client
	logger       *zap.Logger
	pollInterval time.Duration

	mutex  sync.Mutex
	fences map[string]fence
}

// fence is a claim that an engine granted to this daemon.
type fence struct {
	instance string
	number   uint64
}

// New returns a fleet with an empty table.
func New(table *Table, peers Peers, pool *peer.Pool, list *machinelist.Client, pollInterval time.Duration, logger *zap.Logger) *Fleet {
	return &Fleet{
		Table:        table,
		peers:        peers,
		pool:         pool,
		list:         list,
		logger:       logger,
		pollInterval: pollInterval,
		fences:       map[string]fence{},
	}
}

// Run keeps the table up to date until the context ends.
func (fleet *Fleet) Run(ctx context.Context) {
	go every(ctx, directoryInterval, fleet.updateDirectory)
	go every(ctx, reportInterval, fleet.fetchReports)
	every(ctx, fleet.pollInterval, fleet.pollOwned)
}

// every calls the function at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, function func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	function(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			function(ctx)
		}
	}
}

// updateDirectory reads the machine list: relays from the platform, others
// from a relay, and from the platform if no relay answers.
func (fleet *Fleet) updateDirectory(ctx context.Context) {
	self := fleet.peers.Self()
	relays := catalogsync.Relays(fleet.peers.Serving(), self.Zone)
	for _, relay := range relays {
		if relay.ID == self.ID {
			break
		}
		if fleet.directoryFrom(ctx, relay) == nil {
			return
		}
	}
	changes, err := fleet.list.Since(ctx, fleet.Table.Revision())
	if err == nil {
		fleet.Table.ApplyMachines(changes)
	}
}

func (fleet *Fleet) directoryFrom(ctx context.Context, relay membership.Member) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := DirectoryRequest{Since: fleet.Table.Revision()}
	reply, err := peer.Ask[machinelist.Changes](ctx, fleet.pool, relay.Address, peer.Control, RPCName+".Directory", request)
	if err != nil {
		return err
	}
	fleet.Table.ApplyMachines(reply)
	return nil
}

// Owned returns the machines that this daemon owns in its own view.
func (fleet *Fleet) Owned() []machinelist.Machine {
	serving := fleet.peers.Serving()
	self := fleet.peers.Self().ID
	var owned []machinelist.Machine
	for _, machine := range fleet.Table.Machines() {
		if OwnerOf(machine, serving) == self {
			owned = append(owned, machine)
		}
	}
	return owned
}

// pollOwned asks each owned replica for its state.
func (fleet *Fleet) pollOwned(ctx context.Context) {
	tokens := make(chan struct{}, pollConcurrency)
	var polls sync.WaitGroup
	for _, machine := range fleet.Owned() {
		tokens <- struct{}{}
		polls.Add(1)
		go func() {
			defer polls.Done()
			defer func() { <-tokens }()
			fleet.poll(ctx, machine)
		}()
	}
	polls.Wait()
}

// poll asks one replica for its state. The observation counts from before the
// request, so a pause of this process does not make an old state look fresh.
func (fleet *Fleet) poll(ctx context.Context, machine machinelist.Machine) {
	client := fleet.Table.Client(machine.Name)
	if client == nil {
		return
	}
	askedAt := time.Now()
	state, err := client.State(ctx)
	if err == nil && state.Service != machine.Service {
		// Another process has taken the address: it must get no work.
		fleet.logger.Warn("back end is of another service", zap.String("machine", machine.Name),
			zap.String("listed", machine.Service), zap.String("reported", state.Service))
		err = ErrWrongService
	}
	report := Report{Machine: machine.Name, State: state, Reachable: err == nil, Age: time.Since(askedAt)}
	fleet.Table.ApplyReport(time.Now(), report)
	if err == nil && state.Leaving {
		fleet.peers.Announce(announce.Announcement{
			Key:     announce.Key{Kind: announce.InstanceLeaving, Subject: announce.InstanceSubject(machine.Name, state.Instance)},
			Version: 1,
		})
	}
}

// fetchReports asks a bounded subset of owners for their reports.
func (fleet *Fleet) fetchReports(ctx context.Context) {
	var fetches sync.WaitGroup
	for _, owner := range fleet.subset() {
		fetches.Add(1)
		go func() {
			defer fetches.Done()
			fleet.reportsFrom(ctx, owner)
		}()
	}
	fetches.Wait()
}

// subset returns the owners that this daemon asks: those of its own zone
// first, then its region, then others, ranked differently for each daemon.
func (fleet *Fleet) subset() []membership.Member {
	self := fleet.peers.Self()
	byID := map[string]membership.Member{}
	var zone, region, others []string
	for _, member := range fleet.peers.Serving() {
		if member.ID == self.ID {
			continue
		}
		id := string(member.ID)
		byID[id] = member
		switch {
		case member.Zone == self.Zone:
			zone = append(zone, id)
		case member.Region == self.Region:
			region = append(region, id)
		default:
			others = append(others, id)
		}
	}
	return chooseSubset(string(self.ID), byID, zone, region, others)
}

// chooseSubset takes half of the subset from the own zone and half of the rest
// from the own region, and fills up with what there is.
func chooseSubset(self string, byID map[string]membership.Member, zone, region, others []string) []membership.Member {
	key := "subset/" + self
	ordered := rendezvous.Rank(key, zone)
	near := min(len(ordered), subsetOwners/2)
	chosen := append([]string{}, ordered[:near]...)
	rest := append(rendezvous.Rank(key, region), rendezvous.Rank(key, others)...)
	rest = append(rest, ordered[near:]...)
	room := min(subsetOwners-len(chosen), len(rest))
	chosen = append(chosen, rest[:room]...)
	members := make([]membership.Member, len(chosen))
	for i, id := range chosen {
		members[i] = byID[id]
	}
	return members
}

func (fleet *Fleet) reportsFrom(ctx context.Context, owner membership.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	askedAt := time.Now()
	reply, err := peer.Ask[ReportsReply](ctx, fleet.pool, owner.Address, peer.Control, RPCName+".Reports", ReportsRequest{})
	if err != nil {
		return
	}
	travelled := time.Since(askedAt)
	now := time.Now()
	for _, report := range reply.Reports {
		report.Age += travelled
		fleet.Table.ApplyReport(now, report)
	}
}

// ErrNotOwner means that this daemon could not claim a replica.
var ErrNotOwner = errors.New("fleet: replica is claimed by another daemon")

// Claim returns the fence under which this daemon may command an engine, and
// raises it on the engine first if it must.
func (fleet *Fleet) Claim(ctx context.Context, replica Replica) (uint64, error) {
	fleet.mutex.Lock()
	held, known := fleet.fences[replica.Machine.Name]
	fleet.mutex.Unlock()
	self := string(fleet.peers.Self().ID)
	if known && held.instance == replica.State.Instance && replica.State.Fence <= held.number {
		return held.number, nil
	}
	number := replica.State.Fence + 1
	client := fleet.Table.Client(replica.Machine.Name)
	if client == nil {
		return 0, ErrNotOwner
	}
	state, err := client.Claim(ctx, engine.ClaimRequest{Owner: self, Fence: number})
	if err != nil {
		return 0, errors.Wrap(ErrNotOwner, err.Error())
	}
	fleet.mutex.Lock()
	fleet.fences[replica.Machine.Name] = fence{instance: state.Instance, number: number}
	fleet.mutex.Unlock()
	fleet.logger.Info("replica claimed", zap.String("machine", replica.Machine.Name), zap.Uint64("fence", number))
	return number, nil
}

// ErrWrongService means that what answers at a machine's address is not the
// listed service.
var ErrWrongService = errors.New("fleet: another service answers at the address")

// DirectoryRequest asks for what changed in the machine list after a revision.
type DirectoryRequest struct{ Since uint64 }

// ReportsRequest asks for reports on all replicas that the receiver owns.
type ReportsRequest struct{}

// ReportsReply holds them.
type ReportsReply struct{ Reports []Report }

// Handler answers peers' calls.
type Handler struct{ fleet *Fleet }

// Handler returns the receiver to register under RPCName.
func (fleet *Fleet) Handler() *Handler { return &Handler{fleet: fleet} }

// Directory answers from this daemon's copy of the machine list.
func (handler *Handler) Directory(request DirectoryRequest, reply *machinelist.Changes) error {
	*reply = handler.fleet.Table.ChangedSince(request.Since)
	return nil
}

// Reports answers with the state of each owned replica.
func (handler *Handler) Reports(_ ReportsRequest, reply *ReportsReply) error {
	owned := handler.fleet.Owned()
	names := make([]string, len(owned))
	for i, machine := range owned {
		names[i] = machine.Name
	}
	reply.Reports = handler.fleet.Table.ReportsOf(time.Now(), names)
	return nil
}

// Forget drops this daemon's claim on a replica, after the engine refused it.
func (fleet *Fleet) Forget(machine string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	delete(fleet.fences, machine)
}
