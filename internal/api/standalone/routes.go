package standalone

import (
	"woodworks/internal/api/policy"
	"woodworks/internal/api/rollout"
	"woodworks/internal/requests/route"
)

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
		m := route.Service{Name: name, IsEngine: service.Kind == policy.EngineService}
		for _, trainer := range set.TrainersOf(name) {
			m.Models = append(m.Models, trainer.Name)
			routes = append(routes, trainerRoutes(set, trainer)...)
		}
		services[name] = m
		for _, operation := range service.Operations {
			routes = append(routes, operationRoute(set, service, operation))
		}
	}
	return route.New(route.Definition{Version: version, Routes: routes, Services: services})
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
		MaxAttempts: 1, Priority: rankOf(set, set.Classes[operation.Class].Weight), HedgeAfter: operation.HedgeDelay,
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
