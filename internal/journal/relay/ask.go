package relay

import (
	"context"
	"slices"

	"github.com/pkg/errors"
)

// Errors of a call to one peer.
var (
	// ErrNotReached: the call was not sent.
	ErrNotReached = errors.New("relay: peer not reached")
	// ErrNoAnswer: the call got no answer in time, or its connection broke; it may have run.
	ErrNoAnswer = errors.New("relay: no answer from the peer")
	// ErrRefused: the peer answered with an error of its own.
	ErrRefused = errors.New("relay: refused by the peer")
)

// Neighbours returns the machines to which this daemon passes on what all should learn:
// in the ring of all names those 1, 2, 4, 8 and so on places ahead. If each daemon passes
// news on to its own, all have it after as many steps as the number of daemons has binary
// digits, and each keeps as many connections; a daemon that is gone is gone round.
func (j *Journal) Neighbours() []string {
	names := j.peers.names()
	own, _ := slices.BinarySearch(names, j.options.Name)
	var chosen []string
	for ahead := 1; ahead <= len(names); ahead *= 2 {
		// Names has all but this daemon, so that the next one stands in its place.
		chosen = append(chosen, names[(own+ahead-1)%len(names)])
	}
	return chosen
}

// Register lets peers call the methods of a receiver, which are those of net/rpc, under
// a name. It is called before Serve.
func (j *Journal) Register(name string, receiver any) { j.receivers[name] = receiver }

// Ask calls a method that another daemon has registered, named by its machine, and waits
// for the answer until the context ends. A peer that could not be reached or did not
// answer is left alone for a while: until then calls to it fail with ErrNotReached at once.
// The error wraps ErrNotReached, ErrNoAnswer or ErrRefused. After one the answer must not be read,
// as a late one may still be written to it.
func (j *Journal) Ask(ctx context.Context, machine, method string, args, answer any) error {
	if j.peers.getAvailable(machine) == nil {
		return errors.Wrapf(ErrNotReached, "%q is not known, or did not answer a moment ago", machine)
	}
	return j.peers.ask(ctx, machine, method, args, answer)
}
