// Package route holds the operator's configuration as one immutable value and
// finds the route of a request. Decoders of the platforms make configurations (New); catalog owns
// the one in force.
//
// # Usage
//
//	rt, ok := configuration.Find(host, path)
//	services := rt.Order(requestID) // in which order to try them
package route

import (
	"hash/fnv"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/callers/tenant"
)

// Kind says how the requests of a route may be treated.
type Kind int

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests are answered by events; they run at most once unless the
	// route is resumable.
	Stream
	// Batch requests are kept and run later.
	Batch
)

// Share is one service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route says what happens to the requests of a host under a path prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Shares has one entry for a route that is not split.
	Shares []Share
	// Timeout is the longest that a request may be held.
	Timeout time.Duration
	// TargetLatency is the time within which an answer earns its full credit.
	TargetLatency time.Duration
	// MaxAttempts is the most replicas that one request may be sent to.
	MaxAttempts int
	// Priority is the rank of the route's requests, 0 the highest.
	Priority  int
	Resumable bool
	// Anonymous requests need no key, and replicas are told no tenant.
	Anonymous bool
	// SingleVersion demands that one version makes all of a sample.
	SingleVersion bool
	// HedgeAfter is when a second replica is asked while the first is silent, 0
	// for what the replica's usual latency suggests.
	HedgeAfter time.Duration
	// BatchDeadline is the span after submission by which results are due.
	BatchDeadline time.Duration
	// MaxQueueTime is the span after submission from which an item may be given up.
	MaxQueueTime time.Duration
}

// Service is a set of replicas.
type Service struct {
	Name string
	// MaxConnections is what one replica accepts from all callers together.
	MaxConnections int
	// IsEngine says that the replicas are model engines; Models are the names of theirs.
	IsEngine bool
	Models   []string
	// Slots is how many requests an engine runs at once.
	Slots int
	// Scaling is nil where the number of replicas is not ours to order.
	Scaling *Scaling
}

// Scaling says how many replicas of a service may be ordered.
type Scaling struct {
	// Min and Max bound the replicas of each zone.
	Min, Max int
	// StartupTime is how long a replica takes from its order until it serves.
	StartupTime time.Duration
	// ZonePrices is what a second of a replica costs, by zone.
	ZonePrices map[string]float64
}

// PricePerSecond is what a second of a replica costs in a zone; 1 where the configuration names
// no price.
func (s Scaling) PricePerSecond(zone string) float64 {
	if price, ok := s.ZonePrices[zone]; ok {
		return price
	}
	return 1
}

// Limits bound what clients may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Definition is what an operator declares in one version of the configuration.
type Definition struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Tenants is nil where requests carry no keys.
	Tenants *tenant.Directory
}

// Configuration is one accepted version of the operator's configuration. It is
// never changed once made.
type Configuration struct {
	Definition
	routesByHost map[string][]*Route
}

// New checks a configuration and makes it ready for look-ups.
func New(declared Definition) (*Configuration, error) {
	c := &Configuration{Definition: declared, routesByHost: map[string][]*Route{}}
	for i := range declared.Routes {
		if err := checkRoute(&declared.Routes[i]); err != nil {
			return nil, err
		}
		host := strings.ToLower(declared.Routes[i].Host)
		c.routesByHost[host] = append(c.routesByHost[host], &declared.Routes[i])
	}
	for _, ofHost := range c.routesByHost {
		sort.SliceStable(ofHost, func(i, j int) bool { return len(ofHost[i].PathPrefix) > len(ofHost[j].PathPrefix) })
	}
	return c, nil
}

func checkRoute(r *Route) error {
	if r.Host == "" {
		return errors.Errorf("route %q: host is empty", r.Name)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return errors.Errorf("route %q: path prefix %q must begin and end with a slash", r.Name, r.PathPrefix)
	}
	if len(r.Shares) == 0 {
		return errors.Errorf("route %q: names no service", r.Name)
	}
	return nil
}

// Find returns the route of a host and path: the one with the longest prefix.
func (c *Configuration) Find(host, path string) (*Route, bool) {
	for _, r := range c.routesByHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// AllowsAnonymousBatches reports whether batches may be submitted to a host without a key, so
// that calls about them need none either.
func (c *Configuration) AllowsAnonymousBatches(host string) bool {
	for _, r := range c.routesByHost[normalizeHost(host)] {
		if r.Kind == Batch && r.Anonymous {
			return true
		}
	}
	return false
}

// normalizeHost is a Host header's name without its port, in lower case.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Uses reports whether requests of the route may go to a service.
func (r *Route) Uses(service string) bool {
	return slices.ContainsFunc(r.Shares, func(share Share) bool { return share.Service == service })
}

// connectionWaitDivisor is the part of the target latency, one in so many, that a request waits
// for a connection at most: what is left after it is enough for another replica, and whoever
// is turned away then hears so while another try is worth it.
const connectionWaitDivisor = 4

// MaxConnectionWait is how long a request of the route waits for a connection to a replica to
// which this daemon has as many as it may.
func (r *Route) MaxConnectionWait() time.Duration { return r.TargetLatency / connectionWaitDivisor }

// ServiceOrder returns the route's services in the order in which a request should
// try them: the first is drawn by weight from the request's id, so that each
// part gets its share without any state.
func (r *Route) ServiceOrder(requestID string) []string {
	if len(r.Shares) == 1 {
		return []string{r.Shares[0].Service}
	}
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	drawn := hashFraction(requestID) * total
	first := len(r.Shares) - 1
	for i, share := range r.Shares {
		if drawn < share.Weight {
			first = i
			break
		}
		drawn -= share.Weight
	}
	order := []string{r.Shares[first].Service}
	for i, share := range r.Shares {
		if i != first && share.Weight > 0 {
			order = append(order, share.Service)
		}
	}
	return order
}

// hashFraction maps a text to a number from 0 to 1, evenly.
func hashFraction(text string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return float64(mixed>>11) / float64(1<<53)
}
