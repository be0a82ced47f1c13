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

	"woodworks/internal/journal"
	"woodworks/internal/periodic"
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
}

// New wraps a journal. Without Run, all calls go straight to it.
func New(direct journal.Journal, options Options, logger *zap.Logger) *Journal {
	return &Journal{Journal: direct, options: options, logger: logger, path: newPath(time.Now()), peers: newPeers(options, logger)}
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

// do makes a call on the own path while that stands, and through a peer while it does
// not. A call that the loss overtakes is repeated through a peer if it is repeatable,
// and of unknown outcome otherwise. With no peer that helps, the own path is tried
// all the same: in an outage of the whole store it is as good as any.
func do[T any](ctx context.Context, j *Journal, call operation, repeatable bool, wait time.Duration, direct func(ctx context.Context) (T, error), take func(reply) T) (T, error) {
	lost, turned := j.path.state()
	if lost {
		told, err := j.peers.call(ctx, call, wait)
		if !errors.Is(err, errNoPeer) {
			j.counts.note(err)
			return take(told), err
		}
		return viaOwn(j, wait, func() (T, error) { return direct(ctx) })
	}
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		answer T
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		answer, err := viaOwn(j, wait, func() (T, error) { return direct(bounded) })
		done <- outcome{answer, err}
	}()
	select {
	case got := <-done:
		return got.answer, got.err
	case <-turned:
	}
	if !j.peers.any() {
		got := <-done
		return got.answer, got.err
	}
	cancel()
	var none T
	if !repeatable {
		return none, errors.Wrap(journal.ErrUnknown, "relay: the path was lost")
	}
	told, err := j.peers.call(ctx, call, wait)
	j.counts.note(err)
	if errors.Is(err, errNoPeer) {
		return none, errors.Wrap(journal.ErrUnknown, err.Error())
	}
	return take(told), err
}

// Append implements journal.Journal.
func (j *Journal) Append(ctx context.Context, request journal.Append) (journal.Appended, error) {
	return do(ctx, j, operation{Append: &request}, false, 0,
		func(ctx context.Context) (journal.Appended, error) { return j.Journal.Append(ctx, request) },
		func(told reply) journal.Appended { return told.Appended })
}

// Read implements journal.Journal.
func (j *Journal) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	return do(ctx, j, operation{Read: &request}, true, request.Wait,
		func(ctx context.Context) (journal.Records, error) { return j.Journal.Read(ctx, request) },
		func(told reply) journal.Records { return told.Records })
}

// Newest implements journal.Journal.
func (j *Journal) Newest(ctx context.Context, partition journal.Partition, afterKey string) (journal.KeyedPage, error) {
	return do(ctx, j, operation{Newest: &newestCall{Partition: partition, After: afterKey}}, true, 0,
		func(ctx context.Context) (journal.KeyedPage, error) {
			return j.Journal.Newest(ctx, partition, afterKey)
		},
		func(told reply) journal.KeyedPage { return told.Page })
}

// Join implements journal.Journal. A member that joins twice has joined once.
func (j *Journal) Join(ctx context.Context, request journal.Join) (journal.Assignment, error) {
	return do(ctx, j, operation{Join: &request}, true, 0,
		func(ctx context.Context) (journal.Assignment, error) { return j.Journal.Join(ctx, request) },
		func(told reply) journal.Assignment { return told.Assignment })
}

// Leave implements journal.Journal.
func (j *Journal) Leave(ctx context.Context, group, member string) error {
	_, err := do(ctx, j, operation{Leave: &leaveCall{Group: group, Member: member}}, true, 0,
		func(ctx context.Context) (struct{}, error) { return struct{}{}, j.Journal.Leave(ctx, group, member) },
		func(reply) struct{} { return struct{}{} })
	return err
}

// Owners implements journal.Journal.
func (j *Journal) Owners(ctx context.Context, group string) ([]journal.Ownership, error) {
	return do(ctx, j, operation{Owners: &ownersCall{Group: group}}, true, 0,
		func(ctx context.Context) ([]journal.Ownership, error) { return j.Journal.Owners(ctx, group) },
		func(told reply) []journal.Ownership { return told.Owners })
}
