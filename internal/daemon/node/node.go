// Package node is one woodworks daemon: it builds the parts from the settings, runs them, and
// stops without cutting off a request.
//
// It owns the listeners (clients, health and metrics), the order in which parts are made,
// started and stopped, and whether the daemon calls itself ready. It decides nothing about
// requests or batches, and keeps nothing: what must last is in the journal that the platform's
// drivers bring.
//
// Start reading at build, which is the list of the parts; Start runs them, Stop ends them.
//
// # Usage
//
//	daemon, err := node.New(loaded, platform.Connect, logger)
//	err = daemon.Start()
//	defer daemon.Stop()
package node

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/ledger"
	"woodworks/internal/batches/results"
	"woodworks/internal/batches/runner"
	"woodworks/internal/callers/usage"
	"woodworks/internal/daemon/metrics"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/daemon/settings"
	"woodworks/internal/daemon/shutdown"
	"woodworks/internal/journal"
	"woodworks/internal/journal/relay"
	"woodworks/internal/membership/duty"
	"woodworks/internal/membership/group"
	"woodworks/internal/membership/identity"
	"woodworks/internal/membership/lease"
	"woodworks/internal/replicas/catalog"
	"woodworks/internal/replicas/demand"
	"woodworks/internal/replicas/engine"
	"woodworks/internal/replicas/fleet"
	"woodworks/internal/replicas/modelsync"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/headers"
	"woodworks/internal/requests/holding"
	"woodworks/internal/requests/ingress"
	"woodworks/internal/requests/upstream"
)

// dutyTopic holds the claims of the lease. Its name is stored.
const dutyTopic = "woodworks.duty"

const (
	// sweepInterval is the time between two clean-ups of what is not used.
	sweepInterval = time.Second
	// maxJournalSilence is how long the journal may be silent before this daemon
	// calls itself not ready.
	maxJournalSilence = 1500 * time.Millisecond
	// peerContactBound is within which time the list of peers is up to date after an
	// outage. It changes only as machines come, so that its reads are held for long:
	// each daemon makes them.
	peerContactBound = 30 * time.Second
	// operatorReadFraction, replicaReadShare and peerReadShare are the parts of the reads
	// that the journal grants which all daemons together use to follow the operator's
	// records, the replicas' and the peers'. Half of the reads and more are left for
	// batches.
	operatorReadFraction = 0.1
	replicaReadFraction  = 0.1
	peerReadFraction     = 0.02
	// connectTimeout bounds the making of a connection to a replica.
	connectTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent bytes may lack an acknowledgement before a connection
	// to a replica is given up.
	unackedTimeout = 1200 * time.Millisecond
)

// Drivers are the platform's side of a daemon.
type Drivers struct {
	Journal         journal.Journal
	Decoder         catalog.Decoder
	Engines         engine.Driver
	Codec           ingress.Codec
	Headers         headers.Names
	OperatorRecords journal.Partition
	ReplicaRecords  journal.Partition
	// Duties is nil where the platform expects no calls of the system as a whole.
	Duties duty.Driver
	// NewHandlers, if not nil, makes the handlers for callers from the parts of
	// the daemon. Without it clients speak to the ingress as it is.
	NewHandlers func(parts Deps) Handlers
}

// Deps are what an interface for callers is made of.
type Deps struct {
	Settings settings.Settings
	Identity string
	Journal  journal.Journal
	Operator *catalog.OperatorState
	Replicas *replica.Table
	Results  *results.Reader
	Runner   *runner.Runner
	Ingress  *ingress.Handler
	Metrics  *metrics.Metrics
	Logger   *zap.Logger
	// Ready reports whether clients should come here, and why not.
	Ready func() (bool, string)
	// ConfigurationAge is how long ago the configuration was last confirmed.
	ConfigurationAge func() time.Duration
	// Stopping ends when a planned stop begins.
	Stopping context.Context
}

// Handlers are the handlers of the daemon's listeners for callers.
type Handlers struct{ Public, Internal http.Handler }

// Connect makes the drivers of a platform from the settings.
type Connect func(loaded settings.Settings, replicas *upstream.Pool) (Drivers, error)

// Node is one running daemon.
type Node struct {
	settings settings.Settings
	logger   *zap.Logger
	metrics  *metrics.Metrics
	identity string
	// context ends when the daemon has stopped.
	context context.Context
	cancel  context.CancelFunc

	// The ways to the journal. Relay and peerFollower are nil where the settings name no
	// address for peers; so are the parts below that speak to peers.
	journal      *journal.LostCallDetector
	relay        *relay.Journal
	peerFollower *journal.KeyedFollower
	// partitions is how many the journal has of each topic.
	partitions int

	// What the operator and the replicas have written.
	operator         *catalog.OperatorState
	operatorFollower *journal.KeyedFollower
	table            *replica.Table
	replicaFollower  *journal.KeyedFollower

	// Requests of clients.
	public     *clientListener
	internal   *clientListener
	handler    *ingress.Handler
	holding    *holding.Budget
	pool       *upstream.Pool
	quarantine *quarantineDeps

	// Batches.
	ledger    *ledger.Ledger
	results   *results.Reader
	member    *group.Member
	assigner  *runner.Assigner
	runner    *runner.Runner
	watcher   *runner.Watcher
	occupancy *occupancyDeps

	// Duties of one daemon: the holder of the lease.
	lease          *lease.Lease
	syncer         *modelsync.Syncer
	demands        *demand.State
	demandFollower *journal.KeyedFollower
	// usage and reporter are nil where the platform wants no reports of usage.
	usage    *usage.Recorder
	reporter *usage.Reporter
	// fleet is nil where the platform starts no replicas on order.
	fleet *fleet.Manager

	health *healthServer

	// The planned stop. Grace is how long it may take, a time.Duration.
	shutdown *shutdown.Stop
	grace    atomic.Int64
	stopOnce sync.Once
}

// New builds a daemon. Its identity is its name with the time of this start, so that no two
// incarnations share one. The error is that of connecting to the platform.
func New(loaded settings.Settings, connect Connect, logger *zap.Logger) (*Node, error) {
	pool := upstream.NewPool(upstream.Options{
		LocalAddress: loaded.Listen.Public, ConnectTimeout: connectTimeout, UnackedTimeout: unackedTimeout,
	})
	drivers, err := connect(loaded, pool)
	if err != nil {
		return nil, errors.Wrap(err, "node")
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := &Node{
		settings: loaded, logger: logger, metrics: metrics.New(), pool: pool,
		identity: identity.New(loaded.Name, time.Now()),
		context:  ctx, cancel: cancel, shutdown: shutdown.New(),
	}
	node.build(drivers)
	return node, nil
}

// Start opens the listeners and runs the parts.
func (n *Node) Start() error {
	if err := n.health.listen(n.settings.Listen.Health, n.settings.Listen.Metrics); err != nil {
		return errors.Wrap(err, "node")
	}
	if err := n.public.listen(n.settings.Listen.Public); err != nil {
		return errors.Wrap(err, "node")
	}
	if n.internal.handler != nil {
		if err := n.internal.listen(n.settings.Listen.Internal); err != nil {
			return errors.Wrap(err, "node")
		}
	}
	if err := n.startRelay(); err != nil {
		return errors.Wrap(err, "node")
	}
	for _, run := range []func(context.Context){
		n.operatorFollower.Run, n.replicaFollower.Run, n.member.Run, n.watcher.Run,
		n.runner.Run, n.lease.Run, n.sweep, n.quarantine.run, n.occupancy.run,
		func(ctx context.Context) { n.assigner.Run(ctx, n.runner.AdoptAssigned) },
		func(ctx context.Context) { n.syncer.Run(ctx, n.demandFollower.Run) },
	} {
		go run(n.context)
	}
	n.startDuties()
	n.logger.Info("started", zap.String("id", n.identity), zap.String("zone", n.settings.Zone),
		zap.String("public", n.settings.Listen.Public))
	return nil
}

// startRelay lets peers reach the journal through this daemon, and it through them.
func (n *Node) startRelay() error {
	if n.relay == nil {
		return nil
	}
	if err := n.relay.Serve(n.context); err != nil {
		return err
	}
	go n.relay.Run(n.context)
	go n.peerFollower.Run(n.context)
	return nil
}

// sweep drops what is not used and keeps the candidacy for the lease up to date.
func (n *Node) sweep(ctx context.Context) {
	periodic.Every(ctx, sweepInterval, func(context.Context) {
		now := time.Now()
		n.closeExpired(now)
		n.pool.CloseExpired()
		n.ledger.Sweep(now)
		n.table.Sweep()
		n.occupancy.sweep()
		present := sync.OnceValue(n.table.ListedIncarnations) // read only if there is something to sweep
		n.quarantine.table.Sweep(func(start string) bool { return present()[replica.Incarnation(start)] })
		n.lease.SetCandidate(isCandidate(n.member.Partitions(), n.partitions))
	})
}

// closeExpired closes clients' connections that have rested for longer than they may.
func (n *Node) closeExpired(now time.Time) {
	n.public.conns.closeExpired(now)
	n.internal.conns.closeExpired(now)
}
