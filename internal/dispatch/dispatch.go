// Package dispatch holds the requests that wait for a replica and starts them
// in the order that the policy's classes give.
package dispatch

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/fleet"
	"woodworks/internal/membership"
	"woodworks/internal/policy"
	"woodworks/internal/scheduler"
)

// Errors of this layer.
var (
	// ErrQueueFull means that the class has as many requests waiting as the
	// policy allows. The request was not started.
	ErrQueueFull = errors.New("dispatch: queue is full")
	// ErrGaveUp means that the request's time ended while it waited. It was
	// not started.
	ErrGaveUp = errors.New("dispatch: no replica became free in time")
)

const (
	// tick bounds how long a change that no one signals goes unnoticed.
	tick = 20 * time.Millisecond
	// maxAffinities bounds the remembered prefixes of a service.
	maxAffinities = 8192
	// rateDecay is the weight of the past in the grant rate, per second.
	rateDecay = 0.8
	// retryAfterLimit is the longest wait told to a refused caller.
	retryAfterLimit = 30 * time.Second
	// overcommitDivisor: a replica is given this fraction of its slots above
	// them, so that it never runs dry between two reports.
	overcommitDivisor = 8
)

// Request describes what waits.
type Request struct {
	Service string
	Class   string
	// Model is the trainer whose weights are needed, "" for a plain service.
	Model string
	// MinVersion gives the oldest acceptable and the newest announced version
	// at the moment of the decision; nil for a plain service. It is called with
	// the dispatcher's lock held, so it must not call the dispatcher, nor take
	// a lock under which anyone does.
	MinVersion func() (oldest, newest uint64)
	// Expected is the expected length in tokens.
	Expected int
	// PrefixKey is a hash of the prompt, 0 for none.
	PrefixKey uint64
	// Excluded names replicas that must not be picked.
	Excluded map[string]bool
}

// Grant is a replica given to a request. Done must be called once.
type Grant struct {
	Machine string
	Address string
	Done    func()
}

type waiter struct {
	request Request
	granted chan Grant
}

type serviceQueue struct {
	queue      *scheduler.Queue
	waiters    map[uint64]*waiter
	affinity   map[uint64]string
	grantRate  float64
	rateSince  time.Time
	rateGrants int
}

// Self tells where this daemon is.
type Self interface{ Self() membership.Member }

// Policies gives the policies in force.
type Policies interface{ Policy() *policy.Set }

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	mutex    sync.Mutex
	services map[string]*serviceQueue
	next     uint64
	table    *fleet.Table
	self     Self
	policies Policies
	weights  scheduler.Weights
	// maxWaiting bounds the requests waiting for all services together.
	maxWaiting int
	kick       chan struct{}
}

// New returns a dispatcher over a table of replicas in which at most maxWaiting
// requests wait.
func New(table *fleet.Table, self Self, policies Policies, maxWaiting int) *Dispatcher {
	return &Dispatcher{
		services: map[string]*serviceQueue{},
		table:    table,
		self:     self,
		policies: policies,
		weights:  scheduler.DefaultWeights(),

		maxWaiting: maxWaiting,
		kick:       make(chan struct{}, 1),
	}
}

// Kick makes the dispatcher look again soon. It does not block.
func (dispatcher *Dispatcher) Kick() {
	select {
	case dispatcher.kick <- struct{}{}:
	default:
	}
}

// Run starts waiting requests until the context ends.
func (dispatcher *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-dispatcher.kick:
		}
		dispatcher.startAll()
	}
}

// Acquire waits until a replica is given to the request or the context ends.
func (dispatcher *Dispatcher) Acquire(ctx context.Context, request Request) (Grant, error) {
	waiting := &waiter{request: request, granted: make(chan Grant, 1)}
	job, err := dispatcher.enqueue(waiting)
	if err != nil {
		return Grant{}, err
	}
	dispatcher.Kick()
	select {
	case grant := <-waiting.granted:
		return grant, nil
	case <-ctx.Done():
		dispatcher.giveUp(request.Service, job, waiting)
		return Grant{}, ErrGaveUp
	}
}

func (dispatcher *Dispatcher) enqueue(waiting *waiter) (scheduler.Job, error) {
	request := waiting.request
	class, known := dispatcher.policies.Policy().Classes[request.Class]
	if !known {
		class = policy.Class{Weight: 1, QueueLimit: 1}
	}
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.waiting() >= dispatcher.maxWaiting {
		return scheduler.Job{}, errors.Wrapf(ErrQueueFull, "%d requests wait", dispatcher.maxWaiting)
	}
	held := dispatcher.service(request.Service)
	dispatcher.next++
	queueClass := request.Class + "/" + request.Model
	held.queue.Configure(queueClass, class.Weight, int(class.QueueLimit))
	job := scheduler.Job{ID: dispatcher.next, Class: queueClass, Expected: request.Expected, Sequence: dispatcher.next}
	if !held.queue.Push(job) {
		return scheduler.Job{}, errors.Wrapf(ErrQueueFull, "class %q of service %q", request.Class, request.Service)
	}
	held.waiters[job.ID] = waiting
	return job, nil
}

// waiting counts the requests that wait. The mutex must be held.
func (dispatcher *Dispatcher) waiting() int {
	count := 0
	for _, held := range dispatcher.services {
		count += held.queue.Len()
	}
	return count
}

// giveUp takes a request out of the queue. A grant that came at the same
// moment is handed back unused.
func (dispatcher *Dispatcher) giveUp(service string, job scheduler.Job, waiting *waiter) {
	dispatcher.mutex.Lock()
	held := dispatcher.service(service)
	held.queue.Remove(job.Class, job.ID)
	delete(held.waiters, job.ID)
	dispatcher.mutex.Unlock()
	select {
	case grant := <-waiting.granted:
		grant.Done()
	default:
	}
}

func (dispatcher *Dispatcher) service(name string) *serviceQueue {
	held, known := dispatcher.services[name]
	if !known {
		held = &serviceQueue{
			queue:     scheduler.NewQueue(),
			waiters:   map[uint64]*waiter{},
			affinity:  map[uint64]string{},
			rateSince: time.Now(),
		}
		dispatcher.services[name] = held
	}
	return held
}

func (dispatcher *Dispatcher) startAll() {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	now := time.Now()
	for name, held := range dispatcher.services {
		held.updateRate(now)
		if held.queue.Len() > 0 {
			dispatcher.startService(now, name, held)
		}
	}
}

// startService starts as many waiting requests of a service as there is room
// for. The mutex must be held.
func (dispatcher *Dispatcher) startService(now time.Time, name string, held *serviceQueue) {
	candidates := fleet.Candidates(dispatcher.table.Replicas(now, name), dispatcher.self.Self())
	chosen := -1
	startable := func(job scheduler.Job) bool {
		chosen = dispatcher.pick(held, held.waiters[job.ID].request, candidates)
		return chosen >= 0
	}
	for {
		job, found := held.queue.Pop(startable)
		if !found {
			return
		}
		waiting := held.waiters[job.ID]
		delete(held.waiters, job.ID)
		candidates[chosen].Load++
		held.rateGrants++
		held.remember(waiting.request.PrefixKey, candidates[chosen].Name)
		waiting.granted <- Grant{
			Machine: candidates[chosen].Name,
			Address: candidates[chosen].Address,
			Done:    dispatcher.table.Sent(candidates[chosen].Name),
		}
	}
}

func (dispatcher *Dispatcher) pick(held *serviceQueue, request Request, candidates []scheduler.Candidate) int {
	wanted := scheduler.Request{Model: request.Model, Excluded: request.Excluded}
	if request.MinVersion != nil {
		wanted.MinVersion, wanted.NewestVersion = request.MinVersion()
	}
	near := held.affinity[request.PrefixKey]
	for i := range candidates {
		candidates[i].HasPrefix = request.PrefixKey != 0 && candidates[i].Name == near
		wanted.Overcommit = max(wanted.Overcommit, candidates[i].Slots/overcommitDivisor)
	}
	return scheduler.Pick(wanted, candidates, dispatcher.weights, rand.Float64()).Index
}

// remember notes on which replica a prefix was last computed.
func (held *serviceQueue) remember(prefix uint64, machine string) {
	if prefix == 0 {
		return
	}
	if len(held.affinity) >= maxAffinities {
		held.affinity = map[uint64]string{}
	}
	held.affinity[prefix] = machine
}

// updateRate keeps the grants a second as a moving average.
func (held *serviceQueue) updateRate(now time.Time) {
	elapsed := now.Sub(held.rateSince).Seconds()
	if elapsed < 1 {
		return
	}
	past := math.Pow(rateDecay, elapsed)
	held.grantRate = past*held.grantRate + (1-past)*float64(held.rateGrants)/elapsed
	held.rateGrants = 0
	held.rateSince = now
}

// RetryAfter estimates when a refused request may find room: the time to work
// off what waits at the present rate, at least a second.
func (dispatcher *Dispatcher) RetryAfter(service string) time.Duration {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	held, known := dispatcher.services[service]
	if !known || held.grantRate <= 0 {
		return time.Second
	}
	seconds := math.Ceil(float64(held.queue.Len()) / held.grantRate)
	estimate := time.Duration(seconds) * time.Second
	return min(max(estimate, time.Second), retryAfterLimit)
}

// Waiting returns how many requests wait for a service.
func (dispatcher *Dispatcher) Waiting(service string) int {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	held, known := dispatcher.services[service]
	if !known {
		return 0
	}
	return held.queue.Len()
}
