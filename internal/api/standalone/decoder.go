package standalone

import (
	"cmp"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"woodworks/internal/api/operator"
	"woodworks/internal/api/policy"
	"woodworks/internal/api/rollout"
	"woodworks/internal/replicas/catalog"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/route"
)

// setsKept is how many compiled configurations are kept: the one in force, and
// the one that is about to be.
const setsKept = 2

// Decoder reads the operators' and the machines' records. It implements
// catalog.Decoder, and keeps the policies that it has compiled.
type Decoder struct {
	mu   sync.Mutex
	sets []compiled
}

// compiled is the policy set of one configuration.
type compiled struct {
	version int64
	set     *policy.Set
}

var _ catalog.Decoder = (*Decoder)(nil)

// SetOf returns the policies of a configuration.
func (d *Decoder) SetOf(configuration *route.Configuration) (*policy.Set, bool) {
	if configuration == nil {
		return nil, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.sets {
		if c.version == configuration.Version {
			return c.set, true
		}
	}
	return nil, false
}

// Operator implements catalog.Decoder.
func (d *Decoder) Operator(key string, value []byte) (catalog.Record, error) {
	if key != operator.PoliciesKey {
		var named operator.Version
		if err := cbor.Unmarshal(value, &named); err != nil {
			return catalog.Record{}, errors.Wrapf(err, "record %q", key)
		}
		return catalog.Record{Model: named.Model, ModelVersion: named.Version}, nil
	}
	var policies operator.Policies
	if err := cbor.Unmarshal(value, &policies); err != nil {
		return catalog.Record{}, errors.Wrap(err, "policies")
	}
	set, err := policy.Compile(policies.Sources())
	if err != nil {
		return catalog.Record{}, errors.Wrapf(err, "policies of version %d", policies.Version)
	}
	configuration, err := configurationOf(policies.Version, set)
	if err != nil {
		return catalog.Record{}, err
	}
	d.keep(compiled{version: policies.Version, set: set})
	return catalog.Record{Configuration: configuration}, nil
}

// keep keeps the newest sets: one that is older than those in force never comes
// into force again.
func (d *Decoder) keep(fresh compiled) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sets = append(d.sets, fresh)
	slices.SortStableFunc(d.sets, func(a, b compiled) int { return cmp.Compare(b.version, a.version) })
	if len(d.sets) > setsKept {
		d.sets = d.sets[:setsKept]
	}
}

// Replica implements catalog.Decoder.
func (d *Decoder) Replica(id string, value []byte) (replica.Entry, error) {
	var machine operator.Machine
	if err := cbor.Unmarshal(value, &machine); err != nil {
		return replica.Entry{}, errors.Wrapf(err, "machine %q", id)
	}
	return replica.Entry{
		ID: id, Service: machine.Service, Address: machine.Address, Zone: machine.Zone, Slots: machine.Slots,
		Draining: machine.Leaving, Versions: machine.Models,
	}, nil
}

// Hosts under which the routes of single requests stand.
const (
	samplesHostSuffix  = ".samples"
	servicesHostSuffix = ".services"
)

// SamplesHost is the host of a trainer's route for single samples.
func SamplesHost(trainer string) string { return trainer + samplesHostSuffix }

// ServiceHost is the host of the routes of a plain service.
func ServiceHost(service string) string { return service + servicesHostSuffix }

// OperationPath is where a back end takes an operation. The route's prefix ends
// with a slash, as prefixes do.
func OperationPath(operation string) string { return "/" + operation + "/" }

// maxAttempts bounds the replicas that one request may run on.
const maxAttempts = 4

// configurationOf makes the routes and services of a policy set.
func configurationOf(version int64, set *policy.Set) (*route.Configuration, error) {
	var routes []route.Route
	services := map[string]route.Service{}
	for name, service := range set.Services {
		m := route.Service{Name: name, Engine: service.Kind == policy.EngineService}
		for _, trainer := range set.TrainersOf(name) {
			m.Models = append(m.Models, route.Model{Name: trainer.Name})
			routes = append(routes, trainerRoutes(set, trainer)...)
		}
		services[name] = m
		for _, operation := range service.Operations {
			routes = append(routes, operationRoute(set, service, operation))
		}
	}
	return route.New(route.Declared{Version: version, Routes: routes, Services: services})
}

// trainerRoutes are the routes of a trainer's batches and of its single samples.
func trainerRoutes(set *policy.Set, trainer policy.Trainer) []route.Route {
	shares := []route.Share{{Service: trainer.Service, Weight: 1}}
	rank := rankOf(set, set.Priority(trainer))
	return []route.Route{
		{Name: trainer.Name, Host: rollout.RouteHost, PathPrefix: rollout.RoutePrefix(trainer.Name), Kind: route.Batch,
			Shares: shares, MaxAttempts: maxAttempts, Priority: rank},
		{Name: trainer.Name + samplesHostSuffix, Host: SamplesHost(trainer.Name), PathPrefix: "/", Kind: route.Stream,
			Shares: shares, MaxAttempts: maxAttempts, Priority: rank, Resumable: true},
	}
}

func operationRoute(set *policy.Set, service policy.Service, operation policy.Operation) route.Route {
	m := route.Route{
		Name: service.Name + "." + operation.Name, Host: ServiceHost(service.Name), PathPrefix: OperationPath(operation.Name),
		Kind: route.Unsafe, Shares: []route.Share{{Service: service.Name, Weight: 1}}, Timeout: operation.Timeout,
		MaxAttempts: 1, Priority: rankOf(set, set.Classes[operation.Class].Weight), HedgeAfter: operation.Hedge,
	}
	if operation.Repeatable {
		m.Kind, m.MaxAttempts = route.Safe, maxAttempts
	}
	return m
}

// rankOf turns a weight into a rank: 0 for the highest weight of any class.
func rankOf(set *policy.Set, weight int64) int {
	rank := 0
	for _, class := range set.Classes {
		if class.Weight > weight {
			rank++
		}
	}
	return rank
}
