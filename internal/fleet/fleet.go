package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/announce"
	"woodworks/internal/backend/engine"
	"woodworks/internal/catalogsync"
	"woodworks/internal/membership"
	"woodworks/internal/peer"
	"woodworks/internal/periodic"
	"woodworks/internal/platform/machinelist"
	"woodworks/internal/rendezvous"
)

// RPCName is the name under which Handler answers peers.
const RPCName = "Fleet"

const (
	directoryInterval = 500 * time.Millisecond
	// asksPerSecond bounds the requests for reports that a daemon sends.
	asksPerSecond = 12
	// fastestAsk is the shortest interval between two to the same owner.
	fastestAsk = 250 * time.Millisecond
	// pollsPerSecond bounds the polls of owned replicas.
	pollsPerSecond = 20
	dropInterval   = 10 * time.Second
	// settleQuiet is how long the membership must stand still after the start
	// before replicas are taken over, settleLimit the longest wait for that.
	settleQuiet = time.Second
	settleLimit = 10 * time.Second
	callTimeout = 700 * time.Millisecond
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
	// Version counts the changes of the membership.
	Version() uint64
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
	// owned caches Owned at one version of the membership and revision of the
	// machine list.
	owned           []machinelist.Machine
	ownedMembership uint64
	ownedRevision   uint64
	// settling is true until the membership has been seen to stand still: a
	// daemon that has just started knows few others and would take itself for
	// the owner of the whole floor.
	settling      bool
	startedAt     time.Time
	grewAt        time.Time
	servingBefore int
	// followed holds, for each owner asked, what has been heard from it.
	followed map[membership.NodeID]*following
}

// following is what one owner has reported so far.
type following struct {
	edition uint64
	names   map[string]bool
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
		followed:     map[membership.NodeID]*following{},
		settling:     true,
		startedAt:    time.Now(),
		grewAt:       time.Now(),
	}
}

// Run keeps the table up to date until the context ends.
func (fleet *Fleet) Run(ctx context.Context) {
	go periodic.Every(ctx, directoryInterval, fleet.updateDirectory)
	go periodic.Every(ctx, dropInterval, func(context.Context) { fleet.Table.DropUnheard(time.Now()) })
	go periodic.Repeat(ctx, fleet.fetchReports)
	periodic.Repeat(ctx, fleet.pollOwned)
}

// paced returns the interval at which count things may be done, each so often,
// without more than perSecond of them a second.
func paced(count, perSecond int, fastest time.Duration) time.Duration {
	return max(fastest, time.Duration(count)*time.Second/time.Duration(perSecond))
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

// Owned returns the machines that this daemon owns in its own view. The slice
// must not be changed.
func (fleet *Fleet) Owned() []machinelist.Machine {
	version, revision := fleet.peers.Version(), fleet.Table.Revision()
	serving := fleet.peers.Serving()
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if fleet.isSettling(time.Now(), len(serving)) {
		return nil
	}
	if fleet.ownedMembership == version && fleet.ownedRevision == revision {
		return fleet.owned
	}
	owners := NewOwners(serving)
	self := fleet.peers.Self().ID
	var owned []machinelist.Machine
	for _, machine := range fleet.Table.Machines() {
		if owners.Of(machine) == self {
			owned = append(owned, machine)
		}
	}
	fleet.owned, fleet.ownedMembership, fleet.ownedRevision = owned, version, revision
	return owned
}

// isSettling reports whether the membership still grows after the start. The
// mutex must be held.
func (fleet *Fleet) isSettling(now time.Time, serving int) bool {
	if !fleet.settling {
		return false
	}
	if serving != fleet.servingBefore {
		fleet.servingBefore = serving
		fleet.grewAt = now
	}
	fleet.settling = now.Sub(fleet.grewAt) < settleQuiet && now.Sub(fleet.startedAt) < settleLimit
	return fleet.settling
}

// pollOwned asks each owned replica for its state.
func (fleet *Fleet) pollOwned(ctx context.Context) time.Duration {
	tokens := make(chan struct{}, pollConcurrency)
	var polls sync.WaitGroup
	owned := fleet.Owned()
	for _, machine := range owned {
		tokens <- struct{}{}
		polls.Add(1)
		go func() {
			defer polls.Done()
			defer func() { <-tokens }()
			fleet.poll(ctx, machine)
		}()
	}
	polls.Wait()
	return paced(len(owned), pollsPerSecond, fleet.pollInterval)
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

// fetchReports asks a bounded subset of owners for what changed.
func (fleet *Fleet) fetchReports(ctx context.Context) time.Duration {
	var fetches sync.WaitGroup
	owners := fleet.subset()
	fleet.keepFollowed(owners)
	for _, owner := range owners {
		fetches.Add(1)
		go func() {
			defer fetches.Done()
			fleet.reportsFrom(ctx, owner)
		}()
	}
	fetches.Wait()
	return paced(len(owners), asksPerSecond, fastestAsk)
}

// keepFollowed forgets what was heard from owners no longer asked.
func (fleet *Fleet) keepFollowed(owners []membership.Member) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	kept := map[membership.NodeID]*following{}
	for _, owner := range owners {
		kept[owner.ID] = fleet.followed[owner.ID]
		if kept[owner.ID] == nil {
			kept[owner.ID] = &following{names: map[string]bool{}}
		}
	}
	fleet.followed = kept
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
	fleet.mutex.Lock()
	heard := fleet.followed[owner.ID]
	fleet.mutex.Unlock()
	if heard == nil {
		return
	}
	askedAt := time.Now()
	request := ReportsRequest{To: string(owner.ID), Since: heard.edition}
	reply, err := peer.Ask[ReportsReply](ctx, fleet.pool, owner.Address, peer.Control, RPCName+".Reports", request)
	if err != nil || reply.OtherRun {
		return
	}
	fleet.applyChanges(askedAt, heard, reply.Changes)
}

// applyChanges takes in what an owner reported. Observations are dated from
// before the request was sent. Only one call a following runs at a time.
func (fleet *Fleet) applyChanges(askedAt time.Time, heard *following, changes Changes) {
	now := time.Now()
	travelled := now.Sub(askedAt)
	if heard.edition == 0 {
		heard.names = map[string]bool{}
	}
	spokenOf := map[string]bool{}
	for _, report := range changes.Full {
		heard.names[report.Machine] = true
		spokenOf[report.Machine] = true
		report.Age += travelled
		fleet.Table.ApplyReport(now, report)
	}
	for _, name := range changes.Lagging {
		spokenOf[name] = true
	}
	observedAt := askedAt.Add(-changes.Age)
	for _, load := range changes.Loads {
		spokenOf[load.Machine] = true
		fleet.Table.ApplyLoad(observedAt, load)
	}
	names := uint64(0)
	for name := range heard.names {
		names ^= xxhash.Sum64String(name)
		if !spokenOf[name] {
			fleet.Table.Vouch(observedAt, name)
		}
	}
	heard.edition = changes.Edition
	if names != changes.Names {
		// The owner's replicas are others than those heard of: ask for all.
		heard.edition = 0
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

// ReportsRequest asks for reports on the replicas that one run of a daemon
// owns, as far as they changed after an edition; 0 for all.
type ReportsRequest struct {
	To    string
	Since uint64
}

// ReportsReply holds them. OtherRun says that the request was for another run
// of the daemon, whose editions mean nothing here.
type ReportsReply struct {
	OtherRun bool
	Changes  Changes
}

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
func (handler *Handler) Reports(request ReportsRequest, reply *ReportsReply) error {
	if request.To != string(handler.fleet.peers.Self().ID) {
		reply.OtherRun = true
		return nil
	}
	reply.Changes = handler.fleet.Table.ChangesOf(time.Now(), handler.fleet.Owned(), request.Since)
	return nil
}

// Forget drops this daemon's claim on a replica, after the engine refused it.
func (fleet *Fleet) Forget(machine string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	delete(fleet.fences, machine)
}
