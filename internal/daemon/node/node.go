// Package node is a woodworks daemon on a platform whose log keeps all that
// must last: it builds the parts from the settings, runs them, and stops
// without cutting off a request.
package node

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/ledger"
	"woodworks/internal/batches/results"
	"woodworks/internal/batches/runner"
	"woodworks/internal/callers/usage"
	"woodworks/internal/daemon/bootclock"
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
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/handoff"
	"woodworks/internal/requests/headers"
	"woodworks/internal/requests/holding"
	"woodworks/internal/requests/ingress"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/upstream"
)

const (
	dutyTopic = "woodworks.duty"
	// sweepInterval is the time between two clean-ups of what is not used.
	sweepInterval = time.Second
	// contactLimit is how long the journal may be silent before this daemon
	// calls itself not ready.
	contactLimit = 1500 * time.Millisecond
	// peerContact is within which time the list of peers is up to date after an
	// outage. It changes only as machines come, so that its reads are held for long:
	// each daemon makes them.
	peerContact = 30 * time.Second
	// operatorReadShare, replicaReadShare and peerReadShare are the parts of the reads
	// that the journal grants which all daemons together use to follow the operator's
	// records, the replicas' and the peers'. Half of the reads and more are left for
	// batches.
	operatorReadShare = 0.1
	replicaReadShare  = 0.1
	peerReadShare     = 0.02
	// connectTimeout bounds the making of a connection to a replica.
	connectTimeout = 400 * time.Millisecond
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
	// Interface, if not nil, makes the handlers for callers from the parts of
	// the daemon. Without it clients speak to the ingress as it is.
	Interface func(parts Parts) Interface
}

// Parts are what an interface for callers is made of.
type Parts struct {
	Settings settings.Settings
	Identity string
	Journal  journal.Journal
	Operator *catalog.State
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
	// Stopping is closed when a planned stop begins.
	Stopping <-chan struct{}
}

// Interface are the handlers of the daemon's listeners for callers.
type Interface struct{ Public, Internal http.Handler }

// Connect makes the drivers of a platform from the settings.
type Connect func(loaded settings.Settings, replicas *upstream.Pool) (Drivers, error)

// Node is one running daemon.
type Node struct {
	settings settings.Settings
	logger   *zap.Logger
	metrics  *metrics.Metrics
	identity string

	operator         *catalog.State
	operatorFollower *journal.KeyedFollower
	replicaFollower  *journal.KeyedFollower
	table            *replica.Table
	pool             *upstream.Pool
	ledger           *ledger.Ledger
	results          *results.Reader
	runner           *runner.Runner
	watcher          *runner.Watcher
	member           *group.Member
	// relay and peerFollower are nil where the settings name no address for peers.
	relay        *relay.Journal
	peerFollower *journal.KeyedFollower
	occupancy    *occupancyParts
	quarantine   *quarantineParts
	// handed runs plain requests of peers, nil where the settings name no address for them.
	handed         *handoff.Service
	assigner       *runner.Assigner
	lease          *lease.Lease
	syncer         *modelsync.Syncer
	demands        *demand.State
	demandFollower *journal.KeyedFollower
	// usage and reporter are nil where the platform wants no reports of usage.
	usage    *usage.Recorder
	reporter *usage.Reporter
	// fleet is nil where the platform starts no replicas on order.
	fleet    *fleet.Manager
	handler  *ingress.Handler
	holding  *holding.Budget
	front    *frontServer
	internal *frontServer
	health   *healthServer

	context context.Context
	cancel  context.CancelFunc
	// partitions is how many the journal has of each topic.
	partitions int
	shutdown   *shutdown.Stop
	// grace is how long a planned stop may take, a time.Duration.
	grace    atomic.Int64
	stopOnce sync.Once
}

// New builds a daemon. Its identity is its name with the time of this start,
// so that no two runs share one.
func New(loaded settings.Settings, connect Connect, logger *zap.Logger) (*Node, error) {
	pool := upstream.NewPool(upstream.Options{LocalAddress: loaded.Listen.Public, ConnectTimeout: connectTimeout, UnackedTimeout: unackedTimeout})
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

// build makes the parts; each depends only on those made before it.
func (node *Node) build(drivers Drivers) {
	logger := node.logger
	revived := journal.Revive(journal.Observe(drivers.Journal, node.metrics.JournalCall), logger)
	drivers.Journal = revived
	if address := node.settings.Listen.Peer; address != "" {
		node.relay = relay.New(revived, relay.Options{Name: node.settings.Name, Zone: node.settings.Zone, Address: address}, logger)
		node.peerFollower = journal.NewKeyedFollower(node.relay, relay.Partition(revived), node.relay.Peers(), peerContact, logger)
		drivers.Journal = node.relay
		node.peerFollower.SetPace(journal.SharedPace(revived, peerReadShare, node.daemons))
	}
	node.metrics.Counter("journal_calls_given_up_total", "Calls to the journal given up as later ones were answered.", func() float64 { return float64(revived.GivenUp()) })
	node.partitions = drivers.Journal.PartitionsPerTopic()
	contact := node.settings.Timing.ContactBound.Std()
	node.table = replica.NewTable(node.settings.Timing.DrainBound.Std(), logger)
	node.table.OnRestart(node.pool.Drop)
	node.front = newFrontServer(logger)
	node.front.planned = node.shutdown
	node.operator = catalog.NewState(drivers.Decoder, node.front.configured, logger)
	node.operatorFollower = journal.NewKeyedFollower(drivers.Journal, drivers.OperatorRecords, node.operator, contact, logger)
	node.replicaFollower = journal.NewKeyedFollower(drivers.Journal, drivers.ReplicaRecords, catalog.NewDirectory(drivers.Decoder, node.table, logger), contact, logger)
	node.operatorFollower.SetPace(journal.SharedPace(drivers.Journal, operatorReadShare, node.daemons))
	node.replicaFollower.SetPace(journal.SharedPace(drivers.Journal, replicaReadShare, node.daemons))
	node.quarantine = newQuarantine(node, drivers.Journal)
	forwarder := &forward.Forwarder{Pool: node.pool, Table: node.table, Names: drivers.Headers, Zone: node.settings.Zone, Quarantine: node.quarantine.table, Logger: logger, Observe: node.metrics.Attempt, MaxOpen: node.maxOpen}
	node.ledger = ledger.New(node.context, drivers.Journal, logger)
	node.member = group.New(drivers.Journal, node.identity, append(ledger.TopicNames(), runner.RunnersTopic), logger)
	node.assigner = runner.NewAssigner(drivers.Journal, node.member, node.identity, logger)
	node.runner = runner.New(node.context, node.identity, node.ledger, forwarder, node.operator, demand.NewPublisher(drivers.Journal, logger), node.assigner, logger)
	node.runner.SetObserver(node.metrics.BatchPart)
	node.occupancy = newOccupancy(node)
	node.watcher = runner.NewWatcher(node.runner, node.member)
	node.demands = demand.NewState()
	node.lease = lease.New(drivers.Journal, journal.Partition{Topic: dutyTopic}, node.identity, node.settings.Name, node.settings.Timing.LeaseQuiet.Std(), logger)
	node.syncer = modelsync.New(node.settings.Name, node.lease, drivers.Engines, node.table, node.operator.Configuration, node.operator.Named, node.demands, logger)
	node.syncer.SetPace(node.occupancy.paceOf)
	node.demandFollower = journal.NewKeyedFollower(drivers.Journal, demand.Partition(drivers.Journal), node.demands, contact, logger)
	node.results = node.newReader(drivers.Journal.Grants())
	node.results.SetObserver(node.metrics.Question)
	node.runner.SetLocator(node.results)
	node.holding = holding.New(node.settings.Limits.Held())
	node.handler = &ingress.Handler{
		Names: drivers.Headers, Codec: drivers.Codec, Configuration: node.operator.Configuration, Forwarder: forwarder, Plain: forwarder,
		Clock: bootclock.Now, Retries: ingress.NoRetryPolicy{}, Ran: func(string, time.Time) {},
		Runner: node.runner, Results: node.results, Observer: node.metrics, Logger: logger,
		ConfigurationAge: node.configurationAge, Stop: node.shutdown, Admission: newAdmission(node), Holding: node.holding, Unread: node.settings.Timing.Unread.Std(),
		Keys: ingress.KeyPolicy{TrustKnown: node.settings.Timing.KeyBound.Std(), TrustUnknown: contact},
	}
	node.buildHandoff(forwarder)
	node.front.handler = node.handler
	node.internal = newFrontServer(logger)
	node.internal.planned = node.shutdown
	node.SetStopGrace(node.settings.Timing.StopGrace.Std())
	node.buildDuties(drivers)
	if drivers.Interface != nil {
		made := drivers.Interface(node.parts(drivers))
		node.front.handler, node.internal.handler = made.Public, made.Internal
	}
	node.health = &healthServer{ready: node.ready, metrics: node.metrics.Handler(), quarantine: quarantine.Handler(node.quarantine.table, logger), logger: logger}
	node.registerMetrics()
}

// knownPeers are the peers, whose number is told as 0 until their list has been read: a daemon
// that has just started would take itself for the only one, and all that the journal sends for its
// own.
type knownPeers struct {
	*relay.Journal
	list *journal.KeyedFollower
}

// Daemons implements results.Peers.
func (k knownPeers) Daemons() int {
	if !k.list.Synced() {
		return 0
	}
	return k.Journal.Daemons()
}

// newReader returns the reader of batches, which answers peers as well.
func (node *Node) newReader(grants journal.Grants) *results.Reader {
	if node.relay == nil {
		return results.NewReader(node.ledger, node.member, nil, grants, node.identity, node.logger)
	}
	made := results.NewReader(node.ledger, node.member, knownPeers{node.relay, node.peerFollower}, grants, node.identity, node.logger)
	node.relay.Register(results.ServiceName, made.Service(node.context))
	return made
}

func (node *Node) parts(drivers Drivers) Parts {
	return Parts{
		Settings: node.settings, Identity: node.identity, Journal: drivers.Journal, Operator: node.operator, Replicas: node.table,
		Results: node.results, Runner: node.runner, Ingress: node.handler, Metrics: node.metrics, Logger: node.logger, Ready: node.ready,
		ConfigurationAge: node.configurationAge,
		Stopping:         node.shutdown.Begun(),
	}
}

// configurationAge is how long ago it was last confirmed that the configuration is the
// newest.
func (node *Node) configurationAge() time.Duration {
	return node.operatorFollower.Silence()
}

func (node *Node) registerMetrics() {
	node.metrics.Gauge("requests_in_flight", "Requests of clients being answered.", func() float64 { return float64(node.handler.InFlight()) })
	node.metrics.Gauge("batches_owned", "Batches that this daemon runs.", func() float64 { batches, _ := node.runner.Load(); return float64(batches) })
	node.metrics.Gauge("items_waiting", "Items that wait for a replica.", func() float64 { _, waiting := node.runner.Load(); return float64(waiting) })
	node.metrics.Gauge("lease_held", "1 while this daemon holds the lease for orders to engines.", func() float64 {
		if node.lease.Held() {
			return 1
		}
		return 0
	})
	node.metrics.Gauge("journal_silence_seconds", "Time since the journal last answered.", func() float64 { return node.silence().Seconds() })
	node.metrics.Counter("items_started_total", "Attempts at items sent to replicas.", func() float64 { return float64(node.runner.Started()) })
	node.metrics.Counter("engine_orders_total", "Orders given to engines.", func() float64 { return float64(node.syncer.Orders()) })
	if node.relay != nil {
		node.metrics.Gauge("journal_path_lost", "1 while this daemon's own path to the journal is lost.", func() float64 {
			if node.relay.Lost() {
				return 1
			}
			return 0
		})
		node.metrics.Counter("journal_calls_relayed_total", "Calls to the journal answered through a peer.", func() float64 { done, _ := node.relay.Relayed(); return float64(done) })
	}
	node.registerDutyMetrics()
	node.registerHolding()
	node.quarantine.registerMetrics(node.metrics)
	node.registerOccupancyMetrics()
	node.registerConnectionMetrics(node.metrics)
	registerAdmissionMetrics(node.metrics, node.handler.Admission)
}

// Start opens the listeners and runs the parts.
func (node *Node) Start() error {
	if err := node.health.listen(node.settings.Listen.Health, node.settings.Listen.Metrics); err != nil {
		return errors.Wrap(err, "node")
	}
	if err := node.front.listen(node.settings.Listen.Public); err != nil {
		return errors.Wrap(err, "node")
	}
	if node.internal.handler != nil {
		if err := node.internal.listen(node.settings.Listen.Internal); err != nil {
			return errors.Wrap(err, "node")
		}
	}
	if err := node.startRelay(); err != nil {
		return errors.Wrap(err, "node")
	}
	for _, run := range []func(context.Context){
		node.operatorFollower.Run, node.replicaFollower.Run, node.member.Run, node.watcher.Run,
		node.runner.Run, node.lease.Run, node.sweep, node.quarantine.run, node.occupancy.run,
		func(ctx context.Context) { node.assigner.Run(ctx, node.runner.AdoptWhenSeen) },
		func(ctx context.Context) { node.syncer.Run(ctx, node.demandFollower.Run) },
	} {
		go run(node.context)
	}
	node.startDuties()
	node.logger.Info("started", zap.String("id", node.identity), zap.String("zone", node.settings.Zone), zap.String("public", node.settings.Listen.Public))
	return nil
}

// startRelay lets peers reach the journal through this daemon, and it through them.
func (node *Node) startRelay() error {
	if node.relay == nil {
		return nil
	}
	if err := node.relay.Serve(node.context); err != nil {
		return err
	}
	go node.relay.Run(node.context)
	go node.peerFollower.Run(node.context)
	return nil
}

// sweep drops what is not used and keeps the candidacy for the lease up to date.
func (node *Node) sweep(ctx context.Context) {
	periodic.Every(ctx, sweepInterval, func(context.Context) {
		now := time.Now()
		node.closeExpired(now)
		node.pool.Sweep()
		node.ledger.Sweep(now)
		node.table.Sweep()
		node.occupancy.sweep()
		node.quarantine.table.Sweep(node.listed())
		node.lease.SetCandidate(isCandidate(node.member.Partitions(), node.partitions))
	})
}

// listed returns what reports whether a start of a replica is the one in the platform's
// list. The list is read when it is first asked for.
func (node *Node) listed() func(start string) bool {
	present := sync.OnceValue(node.table.Present)
	return func(start string) bool { return present()[replica.Start(start)] }
}

// closeExpired closes clients' connections that have rested for longer than they may.
func (node *Node) closeExpired(now time.Time) {
	node.front.conns.closeExpired(now)
	node.internal.conns.closeExpired(now)
}

// isCandidate reports whether the partitions dealt to a daemon make it one that
// claims the lease for orders when it is free: the first two partitions of the
// first topic of batches and the last of the last. Whether partitions are dealt
// in turn or in runs, these are two or three daemons; one alone might be the
// holder that has been lost.
func isCandidate(dealt map[journal.Partition]bool, partitionsPerTopic int) bool {
	return slices.ContainsFunc(candidacies(partitionsPerTopic), func(partition journal.Partition) bool { return dealt[partition] })
}

// candidacies are the partitions whose members claim the lease.
func candidacies(partitionsPerTopic int) []journal.Partition {
	topics := ledger.TopicNames()
	first, last := topics[0], topics[len(topics)-1]
	return []journal.Partition{{Topic: first}, {Topic: first, Number: 1}, {Topic: last, Number: partitionsPerTopic - 1}}
}

// daemons returns how many daemons share the journal, as far as is known.
func (node *Node) daemons() int {
	if node.relay == nil {
		return 1
	}
	return node.relay.Daemons()
}

// silence is how long ago the journal last answered.
func (node *Node) silence() time.Duration {
	return min(node.member.Silence(), node.operatorFollower.Silence(), node.replicaFollower.Silence())
}

// ready reports whether clients should come here, and why not.
func (node *Node) ready() (bool, string) {
	select {
	case <-node.shutdown.Begun():
		return false, "stopping"
	default:
	}
	switch {
	case node.operator.Configuration() == nil:
		return false, "no configuration is known"
	case !node.replicaFollower.Synced():
		return false, "the list of replicas has not been read"
	case node.silence() > contactLimit:
		return false, "the journal is silent"
	}
	return true, ""
}
