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
	fleet   *fleet.Manager
	handler *ingress.Handler
	holding *holding.Budget
	public  *clientListener
	private *clientListener
	health  *healthServer

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
func (n *Node) build(drivers Drivers) {
	logger := n.logger
	revived := journal.Revive(journal.Observe(drivers.Journal, n.metrics.JournalCall), logger)
	drivers.Journal = revived
	if address := n.settings.Listen.Peer; address != "" {
		n.relay = relay.New(revived, relay.Options{Name: n.settings.Name, Zone: n.settings.Zone, Address: address}, logger)
		n.peerFollower = journal.NewKeyedFollower(n.relay, relay.Partition(revived), n.relay.Peers(), peerContact, logger)
		drivers.Journal = n.relay
		n.peerFollower.SetPace(journal.SharedPace(revived, peerReadShare, n.daemons))
	}
	n.metrics.Counter("journal_calls_given_up_total", "Calls to the journal given up as later ones were answered.", func() float64 { return float64(revived.GivenUp()) })
	n.partitions = drivers.Journal.PartitionsPerTopic()
	contact := n.settings.Timing.ContactBound.Std()
	n.table = replica.NewTable(n.settings.Timing.DrainBound.Std(), logger)
	n.table.OnRestart(n.pool.Drop)
	n.public = newClientListener(logger)
	n.public.planned = n.shutdown
	n.operator = catalog.NewState(drivers.Decoder, n.public.configured, logger)
	n.operatorFollower = journal.NewKeyedFollower(drivers.Journal, drivers.OperatorRecords, n.operator, contact, logger)
	n.replicaFollower = journal.NewKeyedFollower(drivers.Journal, drivers.ReplicaRecords, catalog.NewDirectory(drivers.Decoder, n.table, logger), contact, logger)
	n.operatorFollower.SetPace(journal.SharedPace(drivers.Journal, operatorReadShare, n.daemons))
	n.replicaFollower.SetPace(journal.SharedPace(drivers.Journal, replicaReadShare, n.daemons))
	n.quarantine = newQuarantine(n, drivers.Journal)
	forwarder := &forward.Forwarder{Pool: n.pool, Table: n.table, Names: drivers.Headers, Zone: n.settings.Zone, Quarantine: n.quarantine.table, Logger: logger, Observe: n.metrics.Attempt, MaxOpen: n.maxOpen}
	n.ledger = ledger.New(n.context, drivers.Journal, logger)
	n.member = group.New(drivers.Journal, n.identity, append(ledger.TopicNames(), runner.RunnersTopic), logger)
	n.assigner = runner.NewAssigner(drivers.Journal, n.member, n.identity, logger)
	n.runner = runner.New(n.context, n.identity, n.ledger, forwarder, n.operator, demand.NewPublisher(drivers.Journal, logger), n.assigner, logger)
	n.runner.SetObserver(n.metrics.BatchPart)
	n.occupancy = newOccupancy(n)
	n.watcher = runner.NewWatcher(n.runner, n.member)
	n.demands = demand.NewState()
	n.lease = lease.New(drivers.Journal, journal.Partition{Topic: dutyTopic}, n.identity, n.settings.Name, n.settings.Timing.LeaseQuiet.Std(), logger)
	n.syncer = modelsync.New(n.settings.Name, n.lease, drivers.Engines, n.table, n.operator.Configuration, n.operator.Named, n.demands, logger)
	n.syncer.SetPace(n.occupancy.paceOf)
	n.demandFollower = journal.NewKeyedFollower(drivers.Journal, demand.Partition(drivers.Journal), n.demands, contact, logger)
	n.results = n.newReader(drivers.Journal.Grants())
	n.results.SetObserver(n.metrics.Question)
	n.runner.SetLocator(n.results)
	n.holding = holding.New(n.settings.Limits.Held())
	n.handler = &ingress.Handler{
		Names: drivers.Headers, Codec: drivers.Codec, Configuration: n.operator.Configuration, Forwarder: forwarder, Plain: forwarder,
		Clock: bootclock.Now, Retries: ingress.NoRetryPolicy{}, Ran: func(string, time.Time) {},
		Runner: n.runner, Results: n.results, Observer: n.metrics, Logger: logger,
		ConfigurationAge: n.configurationAge, Stop: n.shutdown, Admission: newAdmission(n), Holding: n.holding, Unread: n.settings.Timing.Unread.Std(),
		Keys: ingress.KeyPolicy{TrustKnown: n.settings.Timing.KeyBound.Std(), TrustUnknown: contact},
	}
	n.buildHandoff(forwarder)
	n.public.handler = n.handler
	n.private = newClientListener(logger)
	n.private.planned = n.shutdown
	n.SetStopGrace(n.settings.Timing.StopGrace.Std())
	n.buildDuties(drivers)
	if drivers.Interface != nil {
		b := drivers.Interface(n.parts(drivers))
		n.public.handler, n.private.handler = b.Public, b.Internal
	}
	n.health = &healthServer{ready: n.ready, metrics: n.metrics.Handler(), quarantine: quarantine.Handler(n.quarantine.table, logger), logger: logger}
	n.registerMetrics()
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
func (n *Node) newReader(grants journal.Grants) *results.Reader {
	if n.relay == nil {
		return results.NewReader(n.ledger, n.member, nil, grants, n.identity, n.logger)
	}
	b := results.NewReader(n.ledger, n.member, knownPeers{n.relay, n.peerFollower}, grants, n.identity, n.logger)
	n.relay.Register(results.ServiceName, b.Service(n.context))
	return b
}

func (n *Node) parts(drivers Drivers) Parts {
	return Parts{
		Settings: n.settings, Identity: n.identity, Journal: drivers.Journal, Operator: n.operator, Replicas: n.table,
		Results: n.results, Runner: n.runner, Ingress: n.handler, Metrics: n.metrics, Logger: n.logger, Ready: n.ready,
		ConfigurationAge: n.configurationAge,
		Stopping:         n.shutdown.Begun(),
	}
}

// configurationAge is how long ago it was last confirmed that the configuration is the
// newest.
func (n *Node) configurationAge() time.Duration {
	return n.operatorFollower.Silence()
}

func (n *Node) registerMetrics() {
	n.metrics.Gauge("requests_in_flight", "Requests of clients being answered.", func() float64 { return float64(n.handler.InFlight()) })
	n.metrics.Gauge("batches_owned", "Batches that this daemon runs.", func() float64 { batches, _ := n.runner.Load(); return float64(batches) })
	n.metrics.Gauge("items_waiting", "Items that wait for a replica.", func() float64 { _, waiting := n.runner.Load(); return float64(waiting) })
	n.metrics.Gauge("lease_held", "1 while this daemon holds the lease for orders to engines.", func() float64 {
		if n.lease.Held() {
			return 1
		}
		return 0
	})
	n.metrics.Gauge("journal_silence_seconds", "Time since the journal last answered.", func() float64 { return n.silence().Seconds() })
	n.metrics.Counter("items_started_total", "Attempts at items sent to replicas.", func() float64 { return float64(n.runner.Started()) })
	n.metrics.Counter("engine_orders_total", "Orders given to engines.", func() float64 { return float64(n.syncer.Orders()) })
	if n.relay != nil {
		n.metrics.Gauge("journal_path_lost", "1 while this daemon's own path to the journal is lost.", func() float64 {
			if n.relay.Lost() {
				return 1
			}
			return 0
		})
		n.metrics.Counter("journal_calls_relayed_total", "Calls to the journal answered through a peer.", func() float64 { done, _ := n.relay.Relayed(); return float64(done) })
	}
	n.registerDutyMetrics()
	n.registerHolding()
	n.quarantine.registerMetrics(n.metrics)
	n.registerOccupancyMetrics()
	n.registerConnectionMetrics(n.metrics)
	registerAdmissionMetrics(n.metrics, n.handler.Admission)
}

// Start opens the listeners and runs the parts.
func (n *Node) Start() error {
	if err := n.health.listen(n.settings.Listen.Health, n.settings.Listen.Metrics); err != nil {
		return errors.Wrap(err, "node")
	}
	if err := n.public.listen(n.settings.Listen.Public); err != nil {
		return errors.Wrap(err, "node")
	}
	if n.private.handler != nil {
		if err := n.private.listen(n.settings.Listen.Internal); err != nil {
			return errors.Wrap(err, "node")
		}
	}
	if err := n.startRelay(); err != nil {
		return errors.Wrap(err, "node")
	}
	for _, run := range []func(context.Context){
		n.operatorFollower.Run, n.replicaFollower.Run, n.member.Run, n.watcher.Run,
		n.runner.Run, n.lease.Run, n.sweep, n.quarantine.run, n.occupancy.run,
		func(ctx context.Context) { n.assigner.Run(ctx, n.runner.AdoptWhenSeen) },
		func(ctx context.Context) { n.syncer.Run(ctx, n.demandFollower.Run) },
	} {
		go run(n.context)
	}
	n.startDuties()
	n.logger.Info("started", zap.String("id", n.identity), zap.String("zone", n.settings.Zone), zap.String("public", n.settings.Listen.Public))
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
		n.pool.Sweep()
		n.ledger.Sweep(now)
		n.table.Sweep()
		n.occupancy.sweep()
		n.quarantine.table.Sweep(n.listed())
		n.lease.SetCandidate(isCandidate(n.member.Partitions(), n.partitions))
	})
}

// listed returns what reports whether a start of a replica is the one in the platform's
// list. The list is read when it is first asked for.
func (n *Node) listed() func(start string) bool {
	present := sync.OnceValue(n.table.Present)
	return func(start string) bool { return present()[replica.Start(start)] }
}

// closeExpired closes clients' connections that have rested for longer than they may.
func (n *Node) closeExpired(now time.Time) {
	n.public.conns.closeExpired(now)
	n.private.conns.closeExpired(now)
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
func (n *Node) daemons() int {
	if n.relay == nil {
		return 1
	}
	return n.relay.Daemons()
}

// silence is how long ago the journal last answered.
func (n *Node) silence() time.Duration {
	return min(n.member.Silence(), n.operatorFollower.Silence(), n.replicaFollower.Silence())
}

// ready reports whether clients should come here, and why not.
func (n *Node) ready() (bool, string) {
	select {
	case <-n.shutdown.Begun():
		return false, "stopping"
	default:
	}
	switch {
	case n.operator.Configuration() == nil:
		return false, "no configuration is known"
	case !n.replicaFollower.Synced():
		return false, "the list of replicas has not been read"
	case n.silence() > contactLimit:
		return false, "the journal is silent"
	}
	return true, ""
}
