package node

import (
	"time"

	"go.uber.org/zap"

	"woodworks/internal/batches/ledger"
	"woodworks/internal/batches/results"
	"woodworks/internal/batches/runner"
	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/journal"
	"woodworks/internal/journal/relay"
	"woodworks/internal/membership/group"
	"woodworks/internal/membership/lease"
	"woodworks/internal/replicas/catalog"
	"woodworks/internal/replicas/demand"
	"woodworks/internal/replicas/modelsync"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/headers"
	"woodworks/internal/requests/holding"
	"woodworks/internal/requests/ingress"
	"woodworks/internal/requests/quarantine"
)

// build creates the components of the daemon, each after those that it depends on.
func (n *Node) build(drivers Drivers) {
	if n.settings.Handoff.Enabled {
		n.logger.Warn("setting has no effect", zap.String("setting", "handoff.enabled"))
	}
	drivers.Journal = n.buildJournal(drivers.Journal)
	n.buildListeners()
	n.buildCatalog(drivers)
	n.quarantine = n.newQuarantine(drivers.Journal)
	forwarder := n.newForwarder(drivers.Headers)
	n.buildBatches(drivers.Journal, forwarder)
	n.occupancy = n.newOccupancy()
	n.buildWeights(drivers)
	n.buildHandler(drivers, forwarder)
	n.buildDuties(drivers)
	n.buildPlatformHandlers(drivers)
	n.buildHealth()
	n.registerMetrics()
}

// buildJournal returns the journal for the other components. It counts calls and gives up a call
// once later ones have been answered. With a peer address in the settings, calls go through a peer
// while this daemon's own path to the journal is lost.
func (n *Node) buildJournal(direct journal.Journal) journal.Journal {
	n.journal = journal.DetectLostCalls(direct, n.logger)
	n.journal.SetObserver(n.metrics.JournalCall)
	n.partitions = n.journal.PartitionsPerTopic()
	address := n.settings.Listen.Peer
	if address == "" {
		return n.journal
	}
	n.relay = relay.New(n.journal, relay.Options{Name: n.settings.Name, Zone: n.settings.Zone, Address: address}, n.logger)
	n.peerFollower = journal.NewKeyedFollower(n.relay, relay.PeersPartition, n.relay.PeersHandler(), peerContactBound, n.logger)
	n.peerFollower.SetInterval(n.readInterval(peerReadFraction))
	return n.relay
}

// readInterval returns the interval of a follower whose reads may use, on all daemons together, the
// given fraction of the journal's read rate limit.
func (n *Node) readInterval(fraction float64) journal.Interval {
	return journal.SharedInterval(n.journal.RateLimits().ReadsPerSecond*fraction, n.daemonCount)
}

// buildListeners creates the listeners for clients. Their handlers are set later.
func (n *Node) buildListeners() {
	n.public = newClientListener(n.shutdown, n.logger)
	n.internal = newClientListener(n.shutdown, n.logger)
	n.SetStopGrace(n.settings.Timing.StopGrace.Std())
}

// buildCatalog creates the followers of the operator's and the replicas' records.
func (n *Node) buildCatalog(drivers Drivers) {
	log, contact := drivers.Journal, n.settings.Timing.ContactBound.Std()
	n.table = replica.NewTable(n.settings.Timing.DrainBound.Std(), n.logger)
	n.table.OnRestart(n.pool.CloseIdle)
	n.operator = catalog.NewOperatorState(drivers.Decoder, n.public.applyConfiguration, n.logger)
	n.operatorFollower = journal.NewKeyedFollower(log, drivers.OperatorRecords, n.operator, contact, n.logger)
	n.operatorFollower.SetInterval(n.readInterval(operatorReadFraction))
	directory := catalog.NewReplicaDirectory(drivers.Decoder, n.table, n.logger)
	n.replicaFollower = journal.NewKeyedFollower(log, drivers.ReplicaRecords, directory, contact, n.logger)
	n.replicaFollower.SetInterval(n.readInterval(replicaReadFraction))
}

// newForwarder returns the forwarder, which sends requests to replicas.
func (n *Node) newForwarder(names headers.Names) *forward.Forwarder {
	return &forward.Forwarder{
		Pool: n.pool, Table: n.table, Names: names, Zone: n.settings.Zone, Quarantine: n.quarantine.table,
		Logger: n.logger, Observe: n.metrics.Attempt, MaxConnections: n.maxConnections,
	}
}

// buildBatches creates the components that store, read, watch and run batches.
func (n *Node) buildBatches(log journal.Journal, forwarder *forward.Forwarder) {
	n.ledger = ledger.New(n.context, log, n.logger)
	n.member = group.New(log, n.identity, append(ledger.TopicNames(), runner.RunnersTopic), n.logger)
	n.buildResults(log.RateLimits())
	n.assigner = runner.NewAssigner(log, n.member, n.identity, n.logger)
	n.runner = runner.New(n.context, n.identity, n.ledger, forwarder, n.operator, demand.NewPublisher(log, n.logger),
		n.assigner, n.results, n.logger)
	n.runner.SetPhaseObserver(n.metrics.BatchPart)
	n.runner.SetGroup(n.member)
	n.watcher = runner.NewWatcher(n.runner, n.member)
}

// buildWeights creates the syncer, which brings engines to the model versions that batches allow
// while this daemon holds the lease, and what the syncer depends on.
func (n *Node) buildWeights(drivers Drivers) {
	log := drivers.Journal
	n.demands = demand.NewState(n.logger)
	n.demandFollower = journal.NewKeyedFollower(log, demand.Partition, n.demands,
		n.settings.Timing.ContactBound.Std(), n.logger)
	n.lease = lease.New(log, journal.Partition{Topic: dutyTopic}, n.identity,
		n.settings.Timing.LeaseQuiet.Std(), n.logger)
	n.syncer = modelsync.New(modelsync.Deps{
		Holder: n.settings.Name, Lease: n.lease, Driver: drivers.Engines, Table: n.table, Configuration: n.operator.Configuration,
		NewestVersions: n.operator.NewestVersions, Demands: n.demands, EventTime: n.occupancy.eventTimeOf,
	}, n.logger)
}

// buildResults creates the reader of batch results and registers it for calls from peers.
func (n *Node) buildResults(limits journal.RateLimits) {
	var peers results.Peers
	if n.relay != nil {
		peers = syncedPeers{n.relay, n.peerFollower}
	}
	n.results = results.NewReader(n.ledger, n.member, peers, limits, n.identity, n.logger)
	n.results.SetObserver(n.metrics.Question)
	if n.relay != nil {
		n.relay.Register(results.ServiceName, n.results.Service(n.context))
	}
}

// buildHandler creates the handler of client requests.
func (n *Node) buildHandler(drivers Drivers, forwarder *forward.Forwarder) {
	timing := n.settings.Timing
	n.holding = holding.New(n.settings.Limits.Held())
	n.handler = &ingress.Handler{
		Names: drivers.Headers, Codec: drivers.Codec, Configuration: n.operator.Configuration, Forwarder: forwarder,
		Clock: bootclock.Now, Retries: ingress.NoRetryPolicy{}, OnRun: func(string, time.Time) {},
		Runner: n.runner, Results: n.results, Observe: n.metrics.Request, Logger: n.logger,
		ConfigurationAge: n.configurationAge, Stop: n.shutdown, Admission: n.newAdmission(),
		MemoryBudget: n.holding, WriteTimeout: timing.Unread.Std(),
		Keys: ingress.KeyPolicy{AcceptMaxAge: timing.KeyBound.Std(), RejectMaxAge: timing.ContactBound.Std()},
	}
	n.public.handler = n.handler
}

// buildPlatformHandlers replaces the handlers of the client listeners by those of the platform, if
// it has any.
func (n *Node) buildPlatformHandlers(drivers Drivers) {
	if drivers.NewHandlers == nil {
		return
	}
	handlers := drivers.NewHandlers(Deps{
		Settings: n.settings, Identity: n.identity, Journal: drivers.Journal, Operator: n.operator, Replicas: n.table,
		Results: n.results, Runner: n.runner, Ingress: n.handler, Metrics: n.metrics, Logger: n.logger, Ready: n.ready,
		ConfigurationAge: n.configurationAge, Stopping: n.shutdown.Begun(),
	})
	n.public.handler, n.internal.handler = handlers.Public, handlers.Internal
}

// buildHealth creates the handlers for readiness, metrics and operators.
func (n *Node) buildHealth() {
	n.health = &healthServer{
		ready: n.ready, metrics: n.metrics.Handler(),
		quarantine: quarantine.Handler(n.quarantine.table, n.logger), logger: n.logger,
	}
}

// syncedPeers are the peers of the relay. It reports 0 daemons until the list of peers has been
// read: a daemon that has just started would otherwise count itself alone and claim the journal's
// whole bandwidth.
type syncedPeers struct {
	*relay.Journal
	list *journal.KeyedFollower
}

// Daemons implements results.Peers.
func (k syncedPeers) Daemons() int {
	if !k.list.Synced() {
		return 0
	}
	return k.Journal.Daemons()
}
