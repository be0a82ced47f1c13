package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/replicas/replica"
)

// fakeReplica runs as many requests as it has slots, queues some and declines the rest.
type fakeReplica struct {
	id             string
	queue, waiting int
	slots          chan struct{}
	mu             sync.Mutex
	slowdown       float64
	attempts       int
}

// run runs a request and returns the load after it, or returns false if it declines the request.
func (r *fakeReplica) run(ctx context.Context, work time.Duration) (load int, ran bool) {
	r.mu.Lock()
	r.attempts++
	if len(r.slots) == cap(r.slots) && r.waiting >= r.queue {
		r.mu.Unlock()
		return 0, false
	}
	r.waiting++
	work = time.Duration(float64(work) * r.slowdown)
	r.mu.Unlock()
	select {
	case r.slots <- struct{}{}:
	case <-ctx.Done():
	}
	r.mu.Lock()
	r.waiting--
	r.mu.Unlock()
	if ctx.Err() != nil {
		return 0, true
	}
	wait(ctx, work)
	<-r.slots
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.slots) + r.waiting, true
}

// wait sleeps for a span or until the context ends.
func wait(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// service has three replicas of six slots each.
type service struct {
	replicas    map[string]*fakeReplica
	reportsLoad bool
}

func newService(queue int, reportsLoad bool) *service {
	made := &service{replicas: map[string]*fakeReplica{}, reportsLoad: reportsLoad}
	for i := range 3 {
		id := fmt.Sprint("r", i)
		made.replicas[id] = &fakeReplica{id: id, queue: queue, slots: make(chan struct{}, 6), slowdown: 1}
	}
	return made
}

// daemon has its own view of the replicas.
type daemon struct {
	table      *replica.Table
	controller *Controller
	service    *service
}

func newDaemon(s *service, daemons int, logger *zap.Logger) *daemon {
	made := &daemon{table: replica.NewTable(time.Second, zap.NewNop()), service: s}
	for id := range s.replicas {
		made.table.Set(replica.Entry{ID: id, Service: "s", Slots: 6})
	}
	made.controller = New(Options{Replicas: made.table.Replicas, Daemons: func() int { return daemons }, Clock: time.Now,
		Observe: func(string, string, time.Duration) {}, Logger: logger})
	return made
}

// send tries one replica after the other while mayRetry allows it, and returns the outcome.
func (d *daemon) send(ctx context.Context, work time.Duration, mayRetry func() bool) Outcome {
	tried := map[string]bool{}
	began := time.Now()
	for attempts := 0; attempts == 0 || mayRetry(); attempts++ {
		chosen, ok := replica.Pick(d.table.Replicas("s"), tried, time.Now())
		if !ok {
			break
		}
		tried[chosen.ID] = true
		d.table.RequestStarted(chosen.Incarnation())
		wait(ctx, time.Millisecond)
		load, ran := d.service.replicas[chosen.ID].run(ctx, work)
		d.table.RequestEnded(chosen.Incarnation())
		if ctx.Err() != nil {
			return Unanswered{}
		}
		if ran {
			if d.service.reportsLoad {
				d.table.ReportLoad(chosen.Incarnation(), load)
			}
			return Answered{Took: time.Since(began)}
		}
		d.table.AvoidFor(chosen.Incarnation(), 60*time.Millisecond)
	}
	return Declined{}
}

// workOf draws the duration of a request: 25 ms on average, with a long tail.
func workOf(random *rand.Rand) time.Duration {
	work := 15 + 5*random.ExpFloat64()
	if random.Float64() < 0.05 {
		work += 100 * random.ExpFloat64()
	}
	return time.Duration(work * float64(time.Millisecond))
}
