// Package forward sends a request to the replicas of a service. It picks a replica, retries where
// that is allowed, and reports whether a request without an answer may have run.
//
// The package owns a call from its first attempt to its answer or failure: which replicas were
// asked, which attempts may have run, and the rule for further attempts (retry.go). It uses replica
// to choose among replicas, upstream to exchange messages, and quarantine to keep contents that
// crash replicas from running. It reports the behaviour of replicas to replica and quarantine.
//
// # Usage
//
//	answer, err := forwarder.Do(ctx, &forward.Call{...})
//	if err != nil {
//		return err // a *Failure: its Certainty tells whether the request may have run
//	}
//	defer answer.Close()
//
// OpenStream opens a stream at one replica. The reader of the stream decides on further attempts.
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

	// Quarantine tracks the contents under which replicas have ended.
	Quarantine *quarantine.Table
	Logger     *zap.Logger
	// MaxConnections returns how many connections this daemon may have to a replica, or 0 for no
	// limit.
	MaxConnections func(rep replica.Replica) int
	// Observe is called for each attempt with the service, the outcome and the duration.
	Observe func(service, outcome string, took time.Duration)

	failuresOnce sync.Once
	failures     *logging.Episodes
}

// UnboundedConnections is the MaxConnections of a daemon that is the only user of its replicas.
func UnboundedConnections(replica.Replica) int { return 0 }

// Do sends the call to one replica after the other until one has answered, no further attempt is
// allowed or the context has ended. The error is always a *Failure. The caller must close the
// answer.
func (f *Forwarder) Do(ctx context.Context, call *Call) (*Answer, error) {
	return newAttempts(f, call).run(ctx)
}

// Pick returns the best replica that is not excluded, from the first service that has one.
func (f *Forwarder) Pick(services []string, excluded map[string]bool) (replica.Replica, bool) {
	now := time.Now()
	for _, service := range services {
		if rep, ok := replica.Pick(f.Replicas(service), excluded, now); ok {
			return rep, true
		}
	}
	return replica.Replica{}, false
}

// Replicas returns the replicas of a service that may get new work. It sets Connected for each
// replica to which the pool has an idle connection.
func (f *Forwarder) Replicas(service string) []replica.Replica {
	replicas := f.Table.Replicas(service)
	for i := range replicas {
		replicas[i].Connected = f.Pool.IdleConnections(replicas[i].Address) > 0
	}
	return replicas
}
