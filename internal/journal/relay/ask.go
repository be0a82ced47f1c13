package relay

import (
	"context"
	"slices"

	"github.com/pkg/errors"
)

// Errors of a call to a peer, for use with errors.Is.
var (
	// ErrNotReached means that the call was not sent.
	ErrNotReached = errors.New("relay: peer not reached")
	// ErrNoAnswer means that no answer came in time or that the connection broke. The peer may
	// have executed the call.
	ErrNoAnswer = errors.New("relay: no answer from the peer")
	// ErrRefused means that the peer answered with an error of its own.
	ErrRefused = errors.New("relay: refused by the peer")
)

// Neighbours returns the names of the daemons to which this one forwards gossip: in the sorted
// ring of all n daemons, those 1, 2, 4, 8 and so on places ahead. If every daemon forwards to its
// neighbours, gossip reaches all daemons in as many steps as n has binary digits, and each daemon
// needs at most as many connections. Gossip also reaches all others if one daemon has ended.
func (j *Journal) Neighbours() []string {
	names := j.peers.names()
	index, _ := slices.BinarySearch(names, j.options.Name)
	var chosen []string
	for ahead := 1; ahead <= len(names); ahead *= 2 {
		// names omits this daemon, so the next daemon in the ring has this daemon's index.
		chosen = append(chosen, names[(index+ahead-1)%len(names)])
	}
	return chosen
}

// Register makes the exported methods of receiver, which must have the form that net/rpc
// requires, callable by peers as name.Method. It must be called before Serve.
func (j *Journal) Register(name string, receiver any) { j.receivers[name] = receiver }

// Ask calls a method that the named daemon has registered and waits for the answer until the
// context ends. A peer that cannot be reached or does not answer is suspended: further calls to
// it fail with ErrNotReached at once until the suspension ends. A peer that has only lost its path to
// the journal is still asked.
//
// The error wraps ErrNotReached, ErrNoAnswer or ErrRefused. After an error the caller must not
// read answer, because a late answer may still be written to it.
func (j *Journal) Ask(ctx context.Context, machine, method string, args, answer any) error {
	if j.peers.getAvailable(machine) == nil {
		return errors.Wrapf(ErrNotReached, "%q is not known, or did not answer a moment ago", machine)
	}
	return j.peers.ask(ctx, machine, method, args, answer, reasonNoAnswer)
}
