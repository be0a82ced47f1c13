// Package policy compiles and evaluates operators' policies: short Starlark
// programs that define the services, the trainers and how stale their samples may be, the
// callers and their keys, the priorities and what to do when a request to a back end fails.
//
// A policy is a set of documents. Each is one program; its declarations
// (trainer, service, caller, traffic_class, retry_budget) are collected when it
// is loaded, and its hooks (accepts, on_failure, priority) are called later with
// a step limit. All documents are validated together before they come into force.
//
// The package owns only compiled sets, which are immutable except for the failure counts of
// their hooks. It relies on the Starlark library to enforce the step limits and on apikey for
// the keys of callers. Package operator publishes documents; package standalone builds routes
// and services from the sets in force.
//
// # Usage
//
//	set, err := policy.Compile(map[string]string{"assessor": source}) // a *DocumentError names document and line
//	if set.Accepts(set.Trainers["assessor"], oldest, trained) { ... }
package policy

import (
	"time"

	"woodworks/internal/callers/apikey"
)

// Audience determines which listeners serve a service or a caller.
type Audience string

// The audiences. Public services and callers are served on both listeners, internal ones only on
// the internal listener.
const (
	Public   Audience = "public"
	Internal Audience = "internal"
)

// ServiceKind is the protocol of a service's back ends.
type ServiceKind string

// The kinds of services: engines that produce samples, and plain services that are called by
// operation.
const (
	EngineService ServiceKind = "engine"
	PlainService  ServiceKind = "plain"
)

// origin is the document and the line of a declaration, for errors.
type origin struct {
	document string
	line     int32
}

// Operation is an operation that callers can request from a plain service.
type Operation struct {
	Name string
	// Repeatable reports whether a request may be sent again after a failure. Requests of
	// other operations run at most once.
	Repeatable bool
	Class      string
	// Timeout bounds the whole request, including time in the queue.
	Timeout time.Duration
	// HedgeDelay is the time after which a second attempt of a repeatable operation is
	// started while the first still runs; 0 disables hedging.
	HedgeDelay time.Duration
}

// Service is a group of interchangeable back ends.
type Service struct {
	Name       string
	Kind       ServiceKind
	Audience   Audience
	Operations map[string]Operation
	origin
}

// Trainer is a training job that consumes samples of an engine service.
type Trainer struct {
	Name    string
	Service string
	// MaxStaleness is the largest allowed difference, in versions, between the
	// version that the trainer trains and the oldest version in a sample.
	MaxStaleness uint64
	Class        string
	origin
}

// Caller is a client of the API, identified by its key.
type Caller struct {
	Name string
	// KeyDigest is the digest of the caller's bearer key.
	KeyDigest apikey.Digest
	Audience  Audience
	// Trainer is the name of the trainer that this caller may act for, "" if none.
	Trainer string
	// Operator reports whether the caller may read status, publish policies and drain back ends.
	Operator bool
	// MaxInFlight bounds the caller's concurrent requests in one daemon; 0 means no bound.
	MaxInFlight int64
	origin
}

// TrafficClass is a group of requests that share a queue limit and a scheduling weight.
type TrafficClass struct {
	Name string
	// Weight is the class's relative share of capacity when classes compete, and the value of
	// one answered request in the service measure.
	Weight int64
	// QueueLimit bounds the class's queued requests in one daemon.
	QueueLimit int64
	origin
}

// RetryBudget limits retries relative to first attempts.
type RetryBudget struct {
	// Percent is the number of retries allowed per 100 first attempts.
	Percent int64
	// MinPerSecond is the number of retries per second that is always allowed, for low load.
	MinPerSecond int64
	origin
}
