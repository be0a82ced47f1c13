// Package relay lets a daemon that has lost its own way to the journal go on through
// another daemon.
//
// A machine may be cut off from the platform's store, or be refused by it, while the
// store serves all others. Callers still reach that machine: its batches could not
// be accepted, its results not be listed. Its calls therefore go to a peer that
// reaches the store, until its own path is back.
//
// Nothing rests on which way a call takes: the journal's answers are what they are,
// and a call whose answer is lost on either way has an unknown outcome. Only reads are
// repeated here; an append that may have happened is reported as unknown. A peer that
// has lost the path as well says so, so that calls are passed on once at most.
//
// # Usage
//
//	relayed := relay.New(log, relay.Options{Name: name, Zone: zone, Address: address}, logger)
//	go relayed.Run(ctx)
package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
)

const (
	// lookInterval is the time between two judgements of the path.
	lookInterval = 100 * time.Millisecond
	// probeInterval is the time between two tries of a lost path, probeTimeout how
	// long each may take.
	probeInterval = 400 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	// lastKey is after the names of all daemons: a page from there on is empty.
	lastKey = "~"
)

// Options say who this daemon is.
type Options struct {
	// Name is the machine's, Zone where it is.
	Name, Zone string
	// Address is where peers reach this daemon's relay, IP:port.
	Address string
}

// Journal is a journal with two ways to it. It implements journal.Journal and is safe
// for concurrent use.
type Journal struct {
	journal.Journal
	options Options
	logger  *zap.Logger
	path    *path
	peers   *peers
	counts  counts
	gate    gate
	// receivers answer the other calls of peers, by name.
	receivers map[string]any
}

// New wraps a journal. Without Run, all calls go straight to it.
func New(direct journal.Journal, options Options, logger *zap.Logger) *Journal {
	return &Journal{Journal: direct, options: options, logger: logger, path: newPath(time.Now()), peers: newPeers(options, logger), receivers: map[string]any{}}
}

// Run keeps the beliefs about the path up to date until the context ends.
func (j *Journal) Run(ctx context.Context) {
	go j.announce(ctx)
	go j.probe(ctx)
	periodic.Every(ctx, lookInterval, func(context.Context) {
		if lost, reason := j.path.look(time.Now()); lost {
			j.logger.Warn("own path to the journal lost", zap.String("reason", reason),
				zap.Duration("silent", j.path.silence(time.Now())), zap.Int("peers", j.peers.count()))
		}
	})
	j.peers.close()
}

// probe tries the own path while it is lost.
func (j *Journal) probe(ctx context.Context) {
	periodic.Every(ctx, probeInterval, func(ctx context.Context) {
		if lost, _ := j.path.state(); !lost {
			return
		}
		bounded, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		// What it tells is what viaOwn learns from its outcome.
		_, _ = viaOwn(j, 0, func() (journal.KeyedPage, error) {
			return j.Journal.Newest(bounded, Partition(j.Journal), lastKey)
		})
	})
}

// viaOwn makes a call on the own path and learns from its outcome.
func viaOwn[T any](j *Journal, wait time.Duration, call func() (T, error)) (T, error) {
	expected := j.path.begin(time.Now(), wait)
	answer, err := call()
	if j.path.end(expected, err, time.Now()) {
		j.logger.Info("own path to the journal is back")
	}
	return answer, err
}

// Lost reports whether the own path is lost.
func (j *Journal) Lost() bool {
	lost, _ := j.path.state()
	return lost
}

// Daemons returns how many daemons have announced themselves, this one included.
// Those that are gone for good are among them.
func (j *Journal) Daemons() int { return j.peers.count() + 1 }

// call is one call of a journal with its two ways.
type call[T any] struct {
	// operation is the call as a peer gets it, take its answer out of a peer's reply.
	operation operation
	take      func(answer reply) T
	// own makes the call on the own path.
	own func(ctx context.Context) (T, error)
	// repeatable calls change nothing, or nothing more when made again.
	repeatable bool
	// wait is how long the call may be held on purpose.
	wait time.Duration
}

// make makes the call on the own path while that stands, and through a peer while it
// does not. With no peer that helps, the own path is tried all the same: in an outage
// of the whole store it is as good as any.
func (c call[T]) make(ctx context.Context, j *Journal) (T, error) {
	lost, turned := j.path.state()
	if !lost {
		return c.makeUntil(ctx, j, turned)
	}
	answer, err := c.throughPeer(ctx, j)
	if errors.Is(err, errNoPeer) {
		return viaOwn(j, c.wait, func() (T, error) { return c.own(ctx) })
	}
	return answer, err
}

// makeUntil makes the call on the own path. If that is lost meanwhile, the call is
// repeated through a peer if it is repeatable, and of unknown outcome otherwise.
func (c call[T]) makeUntil(ctx context.Context, j *Journal, turned <-chan struct{}) (T, error) {
	type outcome struct {
		answer T
		err    error
	}
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan outcome, 1)
	go func() {
		answer, err := viaOwn(j, c.wait, func() (T, error) { return c.own(bounded) })
		done <- outcome{answer, err}
	}()
	select {
	case out := <-done:
		return out.answer, out.err
	case <-turned:
	}
	if !j.peers.any() {
		out := <-done
		return out.answer, out.err
	}
	cancel()
	if !c.repeatable {
		var none T
		return none, errors.Wrap(journal.ErrUnknown, "relay: the path was lost")
	}
	answer, err := c.throughPeer(ctx, j)
	if errors.Is(err, errNoPeer) {
		return answer, errors.Wrap(journal.ErrUnknown, err.Error())
	}
	return answer, err
}

// throughPeer makes the call through a peer. An error that wraps errNoPeer says that no
// peer has made it.
func (c call[T]) throughPeer(ctx context.Context, j *Journal) (T, error) {
	answer, err := j.peers.call(ctx, c.operation, c.wait)
	if !errors.Is(err, errNoPeer) {
		j.counts.note(err)
	}
	return c.take(answer), err
}

// Append implements journal.Journal.
func (j *Journal) Append(ctx context.Context, request journal.Append) (journal.Appended, error) {
	return call[journal.Appended]{
		operation: operation{Append: &request}, take: func(answer reply) journal.Appended { return answer.Appended },
		own: func(ctx context.Context) (journal.Appended, error) { return j.Journal.Append(ctx, request) },
	}.make(ctx, j)
}

// Read implements journal.Journal.
func (j *Journal) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	return call[journal.Records]{
		operation: operation{Read: &request}, take: func(answer reply) journal.Records { return answer.Records },
		own:        func(ctx context.Context) (journal.Records, error) { return j.Journal.Read(ctx, request) },
		repeatable: true, wait: request.Wait,
	}.make(ctx, j)
}

// Newest implements journal.Journal.
func (j *Journal) Newest(ctx context.Context, partition journal.Partition, afterKey string) (journal.KeyedPage, error) {
	return call[journal.KeyedPage]{
		operation: operation{Newest: &newestCall{Partition: partition, After: afterKey}}, take: func(answer reply) journal.KeyedPage { return answer.Page },
		own: func(ctx context.Context) (journal.KeyedPage, error) {
			return j.Journal.Newest(ctx, partition, afterKey)
		},
		repeatable: true,
	}.make(ctx, j)
}

// Join implements journal.Journal. A member that joins twice has joined once.
func (j *Journal) Join(ctx context.Context, request journal.Join) (journal.Assignment, error) {
	return call[journal.Assignment]{
		operation: operation{Join: &request}, take: func(answer reply) journal.Assignment { return answer.Assignment },
		own:        func(ctx context.Context) (journal.Assignment, error) { return j.Journal.Join(ctx, request) },
		repeatable: true,
	}.make(ctx, j)
}

// Leave implements journal.Journal.
func (j *Journal) Leave(ctx context.Context, group, member string) error {
	_, err := call[struct{}]{
		operation: operation{Leave: &leaveCall{Group: group, Member: member}}, take: func(reply) struct{} { return struct{}{} },
		own:        func(ctx context.Context) (struct{}, error) { return struct{}{}, j.Journal.Leave(ctx, group, member) },
		repeatable: true,
	}.make(ctx, j)
	return err
}

// Owners implements journal.Journal.
func (j *Journal) Owners(ctx context.Context, group string) ([]journal.Ownership, error) {
	return call[[]journal.Ownership]{
		operation: operation{Owners: &ownersCall{Group: group}}, take: func(answer reply) []journal.Ownership { return answer.Owners },
		own:        func(ctx context.Context) ([]journal.Ownership, error) { return j.Journal.Owners(ctx, group) },
		repeatable: true,
	}.make(ctx, j)
}
