// Package standalone lets a daemon run on the product's own services: its log
// service, its engine protocol and plain back ends, with policies as the
// configuration and the /v1/ interface towards callers. It stands where
// package platform stands on the users' platform. It owns the policies compiled of the
// newest configurations (Decoder) and the budget of retries; it relies on gateway for /v1/,
// on logservice for the journal, and on upstream for calls to engines.
//
// # Usage
//
//	running, err := node.New(settings, standalone.Connect, logger)
package standalone

import (
	"net/netip"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"

	"woodworks/internal/api/delivery"
	"woodworks/internal/api/gateway"
	"woodworks/internal/api/operator"
	"woodworks/internal/api/permit"
	"woodworks/internal/api/policy"
	"woodworks/internal/api/rollout"
	"woodworks/internal/daemon/metrics"
	"woodworks/internal/daemon/node"
	"woodworks/internal/daemon/settings"
	"woodworks/internal/journal/logservice"
	"woodworks/internal/requests/route"
	"woodworks/internal/requests/upstream"
)

// Connect makes the drivers of the product's own services. It is a node.Connect.
func Connect(loaded settings.Settings, replicas *upstream.Pool) (node.Drivers, error) {
	store := loaded.Platform.Store
	addr, err := netip.ParseAddrPort(store.Address)
	if err != nil {
		return node.Drivers{}, errors.Wrap(err, "platform.store.address")
	}
	log := logservice.New(addr, loaded.Listen.Public, store.Shape())
	decoder := &Decoder{}
	return node.Drivers{
		Journal: log, Decoder: decoder, Engines: engines{replicas}, Codec: codec{}, Headers: HeaderNames(),
		OperatorRecords: operator.RecordsPartition, ReplicaRecords: operator.MachinesPartition,
		NewHandlers: func(parts node.Deps) node.Handlers { return interfaceOf(parts, decoder) },
	}, nil
}

// interfaceOf makes the /v1/ interface of a daemon.
func interfaceOf(parts node.Deps, decoder *Decoder) node.Handlers {
	names := HeaderNames()
	parts.Ingress.Retries = &retries{decoder: decoder, configuration: parts.Operator.Configuration}
	newID := idsOf(parts.Identity)
	metrics.Counter(parts.Metrics, "policy_hook_faults_total", "Hooks of the policies in force that failed and fell back.", func() float64 {
		return hookFaults(decoder, parts.Operator.Configuration())
	})
	gw := gateway.New(gateway.Deps{
		Configuration: func() (gateway.Configuration, bool) {
			inForce := parts.Operator.Configuration()
			set, ok := decoder.SetOf(inForce)
			if !ok {
				return gateway.Configuration{}, false
			}
			return gateway.Configuration{Version: inForce.Version, Policies: set, NewestVersions: parts.Operator.NewestVersions(), Age: parts.ConfigurationAge()}, true
		},
		Delivery: delivery.New(parts.Results, parts.Runner,
			rollout.ItemHeaders{TokenUsage: names.TokenUsage, LengthHint: names.LengthHint}, parts.Logger),
		Permits:  permit.New(parts.Journal, parts.Settings.Timing.RecordRetention.Std(), newID, parts.Logger),
		Operator: operator.New(parts.Journal, parts.Logger),
		Replicas: parts.Replicas,
		Ingress:  parts.Ingress, Ready: parts.Ready, Stopping: parts.Stopping,
		Headers: names, SamplesHost: SamplesHost, ServiceHost: ServiceHost, OperationPath: OperationPath,
		Metrics: parts.Metrics, Logger: parts.Logger, NewID: newID, Identity: parts.Identity,
	}, gateway.Limits{
		MaxBodyBytes: parts.Settings.Limits.MaxBodyBytes, MaxConfirmationAge: parts.Settings.Timing.ConfirmBound.Std(),
		Operators: parts.Settings.Operators,
	})
	return node.Handlers{Public: gw.Handler(policy.Public), Internal: gw.Handler(policy.Internal)}
}

// hookFaults counts the faults of the hooks of a configuration's policies.
func hookFaults(decoder *Decoder, configuration *route.Configuration) float64 {
	set, ok := decoder.SetOf(configuration)
	if !ok {
		return 0
	}
	faults := uint64(0)
	for _, count := range set.HookFailures() {
		faults += count
	}
	return float64(faults)
}

// idsOf returns a function that gives another text at each call. Identities of
// runs differ, so the texts of all daemons do.
func idsOf(identity string) func() string {
	var calls atomic.Uint64
	return func() string { return identity + "-" + strconv.FormatUint(calls.Add(1), 36) }
}
