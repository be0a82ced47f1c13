// Package node implements one woodworks daemon: it builds the components from the settings, runs
// them, and stops without cutting off a request.
//
// It owns the listeners (clients, health and metrics), the order in which components are created,
// started and stopped, and the daemon's readiness. It makes no decisions about requests or batches
// and has no persistent state: that is in the journal, which the platform's drivers provide.
//
// Start reading at build, which lists the components; Start runs them, Stop ends them.
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

// dutyTopic is the topic of lease claims. The name is stored and must not change.
const dutyTopic = "woodworks.duty"

const (
	// sweepInterval is the time between two removals of expired connections and state.
	sweepInterval = time.Second
	// maxJournalSilence is how long the journal may leave this daemon without an answer before the
	// daemon is not ready.
	maxJournalSilence = 1500 * time.Millisecond
	// peerContactBound is how soon after an outage the list of peers and the quarantine must be up
	// to date again. Both change rarely and every daemon follows them, so long polls save reads.
	peerContactBound = 30 * time.Second
	// operatorReadFraction, replicaReadFraction and peerReadFraction are the fractions of the
	// journal's read rate limit that all daemons together use to follow the records of the
	// operator, the replicas and the peers. More than half of the reads is left for batches.
	operatorReadFraction = 0.1
	replicaReadFraction  = 0.1
	peerReadFraction     = 0.02
	// connectTimeout bounds the dial of a connection to a replica.
	connectTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent data may stay unacknowledged before a connection to a replica
	// is closed.
	unackedTimeout = 1200 * time.Millisecond
)

// Drivers are the platform's implementations of the interfaces that a daemon depends on.
type Drivers struct {
	Journal         journal.Journal
	Decoder         catalog.Decoder
	Engines         engine.Driver
	Codec           ingress.Codec
	Headers         headers.Names
	OperatorRecords journal.Partition
	ReplicaRecords  journal.Partition
	// Duties is nil if the platform has no duties for one daemon at a time.
	Duties duty.Driver
	// NewHandlers makes the platform's handlers for clients. If it is nil, the ingress handler
	// answers clients directly.
	NewHandlers func(deps Deps) Handlers
}

// Deps are the components of the daemon that the platform's handlers may use.
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
	// Ready reports whether clients should use this daemon, and the reason if not.
	Ready func() (bool, string)
	// ConfigurationAge returns how long ago the configuration was last known to be the newest.
	ConfigurationAge func() time.Duration
	// Stopping ends when a planned stop begins.
	Stopping context.Context
}

// Handlers are the handlers of the daemon's two listeners for clients. Without an Internal handler
// that listener isn't opened.
type Handlers struct{ Public, Internal http.Handler }

// Connect makes the drivers of a platform from the settings. Drivers that call replicas use the
// given pool.
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

	// Access to the journal. relay and peerFollower are nil if the settings have no peer address,
	// and so are the components below that call peers.
	journal      *journal.LostCallDetector
	relay        *relay.Journal
	peerFollower *journal.KeyedFollower
	// partitions is the number of partitions per topic in the journal.
	partitions int

	// State from the records of the operator and the replicas.
	operator         *catalog.OperatorState
	operatorFollower *journal.KeyedFollower
	table            *replica.Table
	replicaFollower  *journal.KeyedFollower

	// Client requests.
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

	// Duties that only the lease holder performs.
	lease          *lease.Lease
	syncer         *modelsync.Syncer
	demands        *demand.State
	demandFollower *journal.KeyedFollower
	// usage and reporter are nil if the platform wants no usage reports.
	usage    *usage.Recorder
	reporter *usage.Reporter
	// fleet is nil if the platform takes no orders for replicas.
	fleet *fleet.Manager

	health *healthServer

	// The planned stop. grace is the most time it may take, a time.Duration.
	shutdown *shutdown.Stop
	grace    atomic.Int64
	stopOnce sync.Once
}

// New builds a daemon without starting it. Its identity includes the time of this call, so that no
// two incarnations share one. The error is that of connect.
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

// Start opens the listeners and runs the components in the background. The error is that of a
// listener that cannot be opened; metrics are not required.
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

// startRelay accepts calls from peers and starts following the list of peers. It does nothing
// without a relay.
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

// sweep regularly removes expired connections and state, and updates whether this daemon is a
// candidate for the lease, until the context ends.
func (n *Node) sweep(ctx context.Context) {
	periodic.Every(ctx, sweepInterval, func(context.Context) {
		now := time.Now()
		n.closeExpired(now)
		n.pool.CloseExpired()
		n.ledger.Sweep(now)
		n.table.Sweep()
		n.occupancy.sweep()
		sound := sync.OnceValue(n.table.SoundIncarnations) // called at most once, and only if there is an entry to check
		n.quarantine.table.Sweep(func(start string) bool { return sound()[replica.Incarnation(start)] })
		n.lease.SetCandidate(isCandidate(n.member.Partitions(), n.partitions))
	})
}

// closeExpired closes the client connections that exceed their limits.
func (n *Node) closeExpired(now time.Time) {
	n.public.conns.closeExpired(now)
	n.internal.conns.closeExpired(now)
}
