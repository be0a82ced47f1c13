// Package daemon builds one woodworks daemon from its settings, runs it, and
// stops it without cutting off a request.
package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/proc"
	"go.uber.org/zap"

	"woodworks/internal/announce"
	"woodworks/internal/calls"
	"woodworks/internal/catalog"
	"woodworks/internal/catalogsync"
	"woodworks/internal/chunkhome"
	"woodworks/internal/delivery"
	"woodworks/internal/dispatch"
	"woodworks/internal/epochs"
	"woodworks/internal/fleet"
	"woodworks/internal/gateway"
	"woodworks/internal/gossip"
	"woodworks/internal/logging"
	"woodworks/internal/membership"
	"woodworks/internal/metrics"
	"woodworks/internal/operator"
	"woodworks/internal/peer"
	"woodworks/internal/periodic"
	"woodworks/internal/platform/logservice"
	"woodworks/internal/platform/machinelist"
	"woodworks/internal/policy"
	"woodworks/internal/records"
	"woodworks/internal/register"
	"woodworks/internal/samplestream"
	"woodworks/internal/settings"
	"woodworks/internal/swaps"
)

const (
	// boardCapacity bounds the announcements held.
	boardCapacity = 20_000
	// clockSkew bounds the difference between any two clocks of callers and
	// daemons. Request keys carry times, so it is part of the interface.
	clockSkew = 30 * time.Second
	// maxKeptAttempts bounds the remembered outcomes of permits.
	maxKeptAttempts = 50_000
	idleCheck       = 30 * time.Second
)

// Daemon is one running daemon.
type Daemon struct {
	settings   settings.Settings
	logger     *zap.Logger
	meter      *peer.Meter
	pool       *peer.Pool
	server     *peer.Server
	board      *announce.Board
	gossip     *gossip.Service
	syncer     *catalogsync.Syncer
	records    *records.Service
	epochs     *epochs.Coordinator
	fleet      *fleet.Fleet
	dispatcher *dispatch.Dispatcher
	home       *chunkhome.Home
	calls      *calls.Sender
	swapper    *swaps.Swapper
	operator   *operator.Operator
	gateway    *gateway.Gateway
	metrics    *metrics.Metrics

	context context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// New builds a daemon and binds its peer address. Its identity is the name in
// the settings with the time of this start, so that no two runs share one.
func New(loaded settings.Settings, logger *zap.Logger) (*Daemon, error) {
	generation := uint64(time.Now().UnixNano())
	self := membership.Member{
		ID:         membership.NewNodeID(loaded.Name, generation),
		Name:       loaded.Name,
		Address:    loaded.Listen.PeerAddress(),
		Zone:       loaded.Zone,
		Region:     loaded.Region,
		Generation: generation,
	}
	meter := &peer.Meter{}
	server, err := peer.Listen(loaded.Listen.Peer, meter)
	if err != nil {
		return nil, errors.Wrap(err, "daemon")
	}
	ctx, cancel := context.WithCancel(context.Background())
	daemon := &Daemon{
		settings: loaded,
		logger:   logger,
		meter:    meter,
		pool:     peer.NewPool(loaded.Listen.Peer, meter),
		server:   server,
		board:    announce.NewBoard(boardCapacity),
		metrics:  metrics.New(),
		context:  ctx,
		cancel:   cancel,
	}
	daemon.build(self)
	if err := daemon.register(); err != nil {
		return nil, err
	}
	return daemon, nil
}

// build makes the components; each depends only on those made before it.
func (daemon *Daemon) build(self membership.Member) {
	loaded := daemon.settings
	confirmBound := loaded.Timing.ConfirmBound.Std()
	logClient := logservice.New(loaded.Platform.LogURL, loaded.Listen.Peer)
	daemon.syncer = catalogsync.New(logClient, daemon.pool, daemon.logger)
	daemon.gossip = gossip.New(self, daemon.board, daemon.pool, daemon.syncer, loaded.Seeds, daemon.logger)
	daemon.syncer.Attach(daemon.gossip)
	daemon.syncer.OnOrder(func(order catalog.OrderChange) {
		daemon.gossip.Announce(announce.Announcement{Key: announce.Key{Kind: announce.Drain, Subject: order.Machine}, Version: order.Version})
	})
	table := fleet.NewTable(daemon.board, daemon.kick)
	members := membersAndProofs{Service: daemon.gossip, board: daemon.board, table: table}
	daemon.records = records.New(register.Bounds{
		Retention:  loaded.Timing.RecordRetention.Std(),
		ClockSkew:  clockSkew,
		MaxRecords: loaded.Limits.MaxRecords,
	}, confirmBound, members, daemon.syncer, daemon.pool, daemon.logger)
	daemon.epochs = epochs.New(members, daemon.syncer, logClient, daemon.pool, daemon.logger)
	daemon.dispatcher = dispatch.New(table, daemon.gossip, daemon.syncer, loaded.Limits.MaxQueued)
	daemon.fleet = fleet.New(table, daemon.gossip, daemon.pool, machinelist.New(loaded.Platform.MachineListURL, loaded.Listen.Peer), loaded.Timing.PollInterval.Std(), daemon.logger)
	daemon.swapper = swaps.New(daemon.fleet, daemon.board, daemon.syncer, daemon.gossip, daemon.logger)
	daemon.home = chunkhome.New(daemon.context, chunkhome.Limits{
		MaxChunks:    loaded.Limits.MaxChunks,
		Retention:    loaded.Timing.BatchRetention.Std(),
		ConfirmBound: confirmBound,
	}, daemon.gossip, daemon.syncer, daemon.board, daemon.dispatcher, table, daemon.pool, daemon.logger)
	daemon.calls = calls.New(calls.Bounds{
		ConfirmBound: confirmBound,
		Retention:    loaded.Timing.RecordRetention.Std(),
		ClockSkew:    clockSkew,
		MaxAttempts:  maxKeptAttempts,
	}, daemon.gossip, daemon.syncer, daemon.records, daemon.dispatcher, table, daemon.pool, daemon.logger)
	daemon.operator = operator.New(daemon.syncer, logClient, members, daemon.board)
	daemon.gateway = gateway.New(gateway.Parts{
		Catalog:  daemon.syncer,
		Peers:    daemon.gossip,
		Desk:     delivery.New(daemon.gossip, daemon.syncer, daemon.board, daemon.home, daemon.pool, loaded.Limits.ChunkSamples),
		Calls:    daemon.calls,
		Streamer: samplestream.New(daemon.gossip, daemon.syncer, daemon.board, daemon.dispatcher, table, confirmBound),
		Operator: daemon.operator,
		Table:    table,
		Board:    daemon.board,
		Metrics:  daemon.metrics,
		Logger:   daemon.logger,
		Ready:    daemon.ready,
		Status:   func() any { return daemon.Status() },
	}, gateway.Limits{MaxBodyBytes: loaded.Limits.MaxBodyBytes, ConfirmBound: confirmBound, Operators: loaded.Operators})
	daemon.registerMetrics()
}

// membersAndProofs is the membership with every source of proof that a
// daemon's run is over: a later run at its address, its own last word, the
// machine list, and an operator's word.
type membersAndProofs struct {
	*gossip.Service
	board *announce.Board
	table *fleet.Table
}

// ProvedGone reports whether a daemon's run is known to be over.
func (members membersAndProofs) ProvedGone(id, address string) bool {
	return members.Service.ProvedGone(id, address) || members.board.IsDaemonGone(id) || members.table.ListedGone(address)
}

// kick wakes the dispatcher. The table is made before the dispatcher.
func (daemon *Daemon) kick() {
	if daemon.dispatcher != nil {
		daemon.dispatcher.Kick()
	}
}

func (daemon *Daemon) register() error {
	receivers := []struct {
		name     string
		receiver any
	}{
		{gossip.RPCName, daemon.gossip.Handler()},
		{catalogsync.RPCName, daemon.syncer.Handler()},
		{records.RPCName, daemon.records.Handler()},
		{fleet.RPCName, daemon.fleet.Handler()},
		{chunkhome.RPCName, daemon.home.Handler()},
		{calls.RPCName, daemon.calls.Handler()},
	}
	for _, entry := range receivers {
		if err := daemon.server.Register(entry.name, entry.receiver); err != nil {
			return errors.Wrap(err, "daemon")
		}
	}
	return nil
}

// Start runs the daemon's components and opens its listeners.
func (daemon *Daemon) Start() error {
	// go-zero installs a signal handler that closes listeners after a second
	// and kills the process a few seconds later; the stop is ours to time.
	grace := daemon.settings.Timing.StopGrace.Std()
	proc.Setup(proc.ShutdownConf{WrapUpTime: 2 * grace, WaitTime: 3 * grace})
	daemon.StartControl()
	if err := daemon.gateway.Listen(daemon.settings.Listen.Public, policy.Public); err != nil {
		return err
	}
	if err := daemon.gateway.Listen(daemon.settings.Listen.Internal, policy.Internal); err != nil {
		return err
	}
	logging.TakeOver(daemon.logger)
	daemon.logger.Info("daemon started", zap.String("id", string(daemon.gossip.Self().ID)),
		zap.String("zone", daemon.settings.Zone), zap.String("public", daemon.settings.Listen.Public),
		zap.String("internal", daemon.settings.Listen.Internal), zap.String("peer", daemon.settings.Listen.Peer))
	return nil
}

// StartControl runs everything but the listeners for callers: what a daemon
// does for control. A scale run starts many such daemons in one process.
func (daemon *Daemon) StartControl() {
	go daemon.server.Serve()
	for _, run := range []func(context.Context){
		daemon.gossip.Run,
		daemon.syncer.Run,
		daemon.records.Run,
		daemon.epochs.Run,
		daemon.fleet.Run,
		daemon.swapper.Run,
		daemon.dispatcher.Run,
		daemon.home.Run,
		daemon.calls.Run,
		daemon.closeIdleConnections,
	} {
		daemon.running.Add(1)
		go func() {
			defer daemon.running.Done()
			run(daemon.context)
		}()
	}
}

func (daemon *Daemon) closeIdleConnections(ctx context.Context) {
	periodic.Every(ctx, idleCheck, func(context.Context) { daemon.pool.CloseIdle(time.Now()) })
}

// ready reports whether the daemon can serve: a policy is in force and
// confirmed, and the state of every listed replica's owner has been heard.
func (daemon *Daemon) ready() (bool, string) {
	state := daemon.syncer.State()
	if len(state.Documents) == 0 {
		return false, "no policy is in force"
	}
	age, confirmed := daemon.syncer.ConfirmationAge()
	if !confirmed || age > daemon.settings.Timing.ConfirmBound.Std() {
		return false, "the policy is not confirmed"
	}
	if daemon.fleet.Table.Revision() == 0 {
		return false, "the machine list has not been read"
	}
	now := time.Now()
	for service := range daemon.syncer.Policy().Services {
		replicas := daemon.fleet.Table.Replicas(now, service)
		heard := 0
		for _, replica := range replicas {
			if replica.LastHeard < readyHearing {
				heard++
			}
		}
		if len(replicas) > 0 && heard == 0 {
			return false, "no replica of " + service + " has been heard of"
		}
	}
	return true, ""
}

// readyHearing is how recent a report must be to count as heard.
const readyHearing = 5 * time.Second
