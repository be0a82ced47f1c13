// Package forward sends one request to the replicas of a service: it picks one, tries again
// where that is allowed, and says what is certain when no replica answered.
//
// The package owns a call from its first attempt to its answer or failure: which replicas were
// asked, what may have run, and the rule by which another one is asked (retry.go). It relies on
// replica for the choice, on upstream for the exchange, and on quarantine for contents that end
// replicas; what replicas do is told to both.
//
// # Usage
//
//	answer, err := forwarder.Do(ctx, &forward.Call{...})
//	if err != nil {
//		return err // a *Failure: its Certainty says whether the request may have run
//	}
//	defer answer.Close()
//
// Streams are opened one replica at a time by OpenStream; who reads one decides on the next.
package forward

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/logging"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/headers"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/upstream"
)

// Forwarder sends requests to replicas. It is safe for concurrent use.
type Forwarder struct {
	Pool  *upstream.Pool
	Table *replica.Table
	Names headers.Names
	Zone  string

	// Quarantine knows the contents under which replicas have ended.
	Quarantine *quarantine.Table
	Logger     *zap.Logger
	// MaxConnections is how many connections to a replica this daemon may have, 0 without bound.
	MaxConnections func(rep replica.Replica) int
	// Observe is told of each attempt at a replica: the service, how it ended and
	// how long it took.
	Observe func(service, outcome string, took time.Duration)

	failuresOnce sync.Once
	failures     *logging.Episodes
}

// UnboundedConnections is the MaxOpen of a daemon that shares its replicas with none.
func UnboundedConnections(replica.Replica) int { return 0 }

// Do sends the call until a replica has answered, the attempts are used up or
// the context has ended.
func (f *Forwarder) Do(ctx context.Context, call *Call) (*Answer, error) {
	return newAttempts(f, call).run(ctx)
}

// Pick returns the best replica that is not passed over, of the first service that has one.
func (f *Forwarder) Pick(services []string, passedOver map[string]bool) (replica.Replica, bool) {
	now := time.Now()
	for _, service := range services {
		if rep, ok := replica.Pick(f.Replicas(service), passedOver, now); ok {
			return rep, true
		}
	}
	return replica.Replica{}, false
}

// Replicas returns the replicas of a service that may get new work, with whether a
// connection to each rests here.
func (f *Forwarder) Replicas(service string) []replica.Replica {
	replicas := f.Table.Replicas(service)
	for i := range replicas {
		replicas[i].Connected = f.Pool.Resting(replicas[i].Address) > 0
	}
	return replicas
}
