// Package catalogsync keeps a daemon's configuration the newest there is, and
// knows how long ago that was last confirmed.
//
// Two daemons a zone (relays) read the log; the others ask the relays. While
// the log is out of reach, a relay confirms with a majority of the witness
// group instead: a change counts as accepted only once a majority of the
// witnesses hold it, so the two majorities meet. A daemon whose confirmation
// is older than a bound must not admit new work.
package catalogsync

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/catalog"
	"woodworks/internal/membership"
	"woodworks/internal/peer"
	"woodworks/internal/periodic"
	"woodworks/internal/platform/logservice"
	"woodworks/internal/policy"
	"woodworks/internal/rendezvous"
)

// RPCName is the name under which Handler answers peers.
const RPCName = "Catalog"

const (
	// relaysPerZone is how many daemons of a zone read the platform.
	relaysPerZone = 2
	syncInterval  = 700 * time.Millisecond
	logPollWait   = time.Second
	retryDelay    = 200 * time.Millisecond
	callTimeout   = time.Second
	// recentRecords is how many records are kept to send to peers that are
	// behind; a peer further behind gets the whole state.
	recentRecords = 256
)

// Peers is what this package needs of the membership. It is never called with
// the syncer's lock held, but for Spread, which must not block.
type Peers interface {
	Self() membership.Member
	Serving() []membership.Member
	// Spread starts an exchange with a few peers soon.
	Spread()
}

// Syncer holds the configuration in force. It is safe for concurrent use.
//
// Invariant: the offset in force only rises.
type Syncer struct {
	mutex       sync.Mutex
	state       catalog.State
	set         *policy.Set
	recent      []catalog.Record
	confirmedAt time.Time
	changed     chan struct{}

	log    *logservice.Client
	pool   *peer.Pool
	peers  Peers
	logger *zap.Logger
	behind chan string
	// onOrder is called for each order read, without the lock held.
	onOrder func(catalog.OrderChange)
}

// New returns a syncer with an empty configuration.
func New(log *logservice.Client, pool *peer.Pool, logger *zap.Logger) *Syncer {
	empty, err := policy.Compile(nil)
	if err != nil {
		panic(errors.Wrap(err, "catalogsync: the empty policy is valid"))
	}
	return &Syncer{
		state:   catalog.Empty(),
		set:     empty,
		changed: make(chan struct{}),
		log:     log,
		pool:    pool,
		logger:  logger,
		behind:  make(chan string, 1),
	}
}

// Attach gives the syncer its view of the peers, before Run.
func (syncer *Syncer) Attach(peers Peers) { syncer.peers = peers }

// OnOrder sets what is done with operators' orders, before Run.
func (syncer *Syncer) OnOrder(onOrder func(catalog.OrderChange)) { syncer.onOrder = onOrder }

// State returns the configuration in force.
func (syncer *Syncer) State() catalog.State {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return syncer.state
}

// Policy returns the policies in force.
func (syncer *Syncer) Policy() *policy.Set {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return syncer.set
}

// Offset returns the offset in force.
func (syncer *Syncer) Offset() uint64 {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return syncer.state.Offset
}

// Behind notes that a peer has a higher offset. It does not block.
func (syncer *Syncer) Behind(address string, _ uint64) {
	select {
	case syncer.behind <- address:
	default:
	}
}

// Changed returns a channel that is closed when the next record is applied.
func (syncer *Syncer) Changed() <-chan struct{} {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return syncer.changed
}

// ConfirmationAge returns how long ago the configuration was known to be the
// newest, and whether it ever was.
func (syncer *Syncer) ConfirmationAge() (time.Duration, bool) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	if syncer.confirmedAt.IsZero() {
		return 0, false
	}
	return time.Since(syncer.confirmedAt), true
}

// confirm notes that the state, with at least this offset, was the newest at a
// time.
func (syncer *Syncer) confirm(at time.Time, offset uint64) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	if syncer.state.Offset >= offset && at.After(syncer.confirmedAt) {
		syncer.confirmedAt = at
	}
}

// apply folds records in. Records that are already in force are passed over;
// a gap ends the call.
func (syncer *Syncer) apply(records []catalog.Record) {
	defer syncer.passOrders(records)
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	before := syncer.state.Offset
	for _, record := range records {
		if record.Offset <= syncer.state.Offset {
			continue
		}
		next, verdict, err := syncer.state.Apply(record, policy.Validate)
		if err != nil {
			syncer.logger.Warn("catalog gap", zap.Error(err))
			break
		}
		syncer.state = next
		syncer.recent = append(syncer.recent, record)
		syncer.logger.Info("catalog record", zap.Uint64("offset", record.Offset),
			zap.String("kind", string(record.Kind)), zap.String("verdict", string(verdict)))
	}
	if excess := len(syncer.recent) - recentRecords; excess > 0 {
		syncer.recent = append([]catalog.Record{}, syncer.recent[excess:]...)
	}
	syncer.finishChange(before)
}

// passOrders hands on the orders among records. An order may be handed on more
// than once; its version settles that.
func (syncer *Syncer) passOrders(records []catalog.Record) {
	if syncer.onOrder == nil {
		return
	}
	for _, record := range records {
		var order catalog.OrderChange
		if record.Kind == catalog.KindOrder && json.Unmarshal(record.Payload, &order) == nil {
			syncer.onOrder(order)
		}
	}
}

// adopt replaces the state by a peer's later one.
func (syncer *Syncer) adopt(snapshot catalog.State) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	before := syncer.state.Offset
	if snapshot.Offset <= before {
		return
	}
	if snapshot.Documents == nil {
		snapshot.Documents = map[string]catalog.Document{}
	}
	syncer.state = snapshot
	syncer.recent = nil
	syncer.finishChange(before)
}

// finishChange compiles the policies if the offset rose. The mutex must be held.
func (syncer *Syncer) finishChange(before uint64) {
	if syncer.state.Offset == before {
		return
	}
	set, err := policy.Compile(syncer.state.Sources())
	if err != nil {
		// The fold accepts only sets that compile, so a peer runs another
		// release. The set in force stays; it is not replaced by nothing.
		syncer.logger.Error("policy does not compile", zap.Error(err))
	} else {
		syncer.set = set
	}
	close(syncer.changed)
	syncer.changed = make(chan struct{})
	if syncer.peers != nil {
		syncer.peers.Spread()
	}
}

// Run keeps the configuration up to date until the context ends.
func (syncer *Syncer) Run(ctx context.Context) {
	go syncer.followPeers(ctx)
	for ctx.Err() == nil {
		if syncer.isRelay() {
			syncer.readPlatform(ctx)
		} else if !syncer.askRelays(ctx) {
			syncer.readPlatform(ctx)
		} else {
			periodic.Pause(ctx, syncInterval)
		}
	}
}

// followPeers fetches from peers that gossip showed to be ahead.
func (syncer *Syncer) followPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-syncer.behind:
			_, _ = syncer.syncWith(ctx, address)
		}
	}
}

// Relays returns the daemons that read the platform for a zone.
func Relays(serving []membership.Member, zone string) []membership.Member {
	byID := map[string]membership.Member{}
	var ids []string
	for _, member := range serving {
		if member.Zone == zone {
			byID[string(member.ID)] = member
			ids = append(ids, string(member.ID))
		}
	}
	ranked := rendezvous.Rank("relay/"+zone, ids)
	var relays []membership.Member
	for _, id := range ranked[:min(relaysPerZone, len(ranked))] {
		relays = append(relays, byID[id])
	}
	return relays
}

func (syncer *Syncer) isRelay() bool {
	self := syncer.peers.Self()
	for _, relay := range Relays(syncer.peers.Serving(), self.Zone) {
		if relay.ID == self.ID {
			return true
		}
	}
	return false
}

// readPlatform reads on in the log; where it does not answer, the witnesses
// are asked to confirm.
func (syncer *Syncer) readPlatform(ctx context.Context) {
	if syncer.ReadLog(ctx, logPollWait) == nil {
		return
	}
	syncer.confirmWithWitnesses(ctx)
	periodic.Pause(ctx, retryDelay)
}

// ReadLog reads from the log once, waiting up to wait for a new record. What
// was in force is confirmed as of the moment before the request was sent, so a
// process that was paused does not take a late answer for a fresh one.
func (syncer *Syncer) ReadLog(ctx context.Context, wait time.Duration) error {
	askedAt := time.Now()
	answer, err := syncer.log.Read(ctx, syncer.Offset()+1, wait)
	if err != nil {
		return err
	}
	syncer.apply(answer.Records)
	syncer.confirm(askedAt, answer.Head)
	return nil
}

// askRelays syncs with the zone's relays and reports whether one could vouch
// for the configuration.
func (syncer *Syncer) askRelays(ctx context.Context) bool {
	self := syncer.peers.Self()
	for _, relay := range Relays(syncer.peers.Serving(), self.Zone) {
		askedAt := time.Now()
		reply, err := syncer.syncWith(ctx, relay.Address)
		if err == nil && reply.Confirmed {
			syncer.confirm(askedAt.Add(-reply.Age), reply.Offset)
			return true
		}
	}
	return false
}

// SyncRequest asks for what is newer than an offset.
type SyncRequest struct{ Offset uint64 }

// SyncReply holds what is newer: records, or the whole state where the records
// are no longer kept.
type SyncReply struct {
	From     string
	Offset   uint64
	Records  []catalog.Record
	Snapshot *catalog.State
	// Confirmed and Age say how long ago Offset was known to be the newest.
	Confirmed bool
	Age       time.Duration
}

func (syncer *Syncer) syncWith(ctx context.Context, address string) (SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := peer.Ask[SyncReply](ctx, syncer.pool, address, peer.Control, RPCName+".Sync", SyncRequest{Offset: syncer.Offset()})
	if err != nil {
		return SyncReply{}, err
	}
	if reply.Snapshot != nil {
		syncer.adopt(*reply.Snapshot)
	}
	syncer.apply(reply.Records)
	return reply, nil
}

// Handler answers peers' calls.
type Handler struct{ syncer *Syncer }

// Handler returns the receiver to register under RPCName.
func (syncer *Syncer) Handler() *Handler { return &Handler{syncer: syncer} }

// Sync answers with what is newer than the caller's offset.
func (handler *Handler) Sync(request SyncRequest, reply *SyncReply) error {
	syncer := handler.syncer
	// Peers are asked outside the lock: gossip asks for the offset under its own.
	reply.From = string(syncer.peers.Self().ID)
	age, confirmed := syncer.ConfirmationAge()
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	reply.Offset = syncer.state.Offset
	reply.Age = age
	reply.Confirmed = confirmed
	if request.Offset >= syncer.state.Offset {
		return nil
	}
	if len(syncer.recent) > 0 && syncer.recent[0].Offset <= request.Offset+1 {
		skip := request.Offset + 1 - syncer.recent[0].Offset
		reply.Records = append([]catalog.Record{}, syncer.recent[skip:]...)
		return nil
	}
	snapshot := syncer.state.Clone()
	reply.Snapshot = &snapshot
	return nil
}

// Hold fetches from the caller until this daemon holds the offset.
func (handler *Handler) Hold(request HoldRequest, reply *HoldReply) error {
	syncer := handler.syncer
	if syncer.Offset() < request.Offset {
		_, _ = syncer.syncWith(context.Background(), request.Address)
	}
	reply.From = string(syncer.peers.Self().ID)
	reply.Offset = syncer.Offset()
	return nil
}
