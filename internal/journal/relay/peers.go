package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/logging"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
	"woodworks/internal/journal/questiontime"
	"woodworks/internal/requests/upstream"
)

const (
	// peerTimeout bounds a call through a peer, beyond the time that a read waits for records.
	peerTimeout = questiontime.RelayTimeout
	// maxPeersTried is the maximum number of peers asked to make one call.
	maxPeersTried = 3
	// unreachableRetryDelay, noAnswerRetryDelay and pathLostRetryDelay are how long a peer is
	// suspended that could not be reached, did not answer, or has lost its own path; in the last case
	// only calls to the journal avoid it.
	unreachableRetryDelay = 3 * time.Second
	noAnswerRetryDelay    = time.Second
	pathLostRetryDelay    = 500 * time.Millisecond
	// busyRetryDelay is the mean time after which peers are asked again that relay as much as they
	// may.
	busyRetryDelay = 100 * time.Millisecond
)

// suspendReason says why a peer is suspended. Its values are logged.
type suspendReason string

const (
	reasonNotReached suspendReason = "not reached"
	reasonNoAnswer   suspendReason = "no answer"
	// reasonRelayNoAnswer: the peer did not answer a call to the journal, which may be the journal's
	// fault.
	reasonRelayNoAnswer suspendReason = "no answer from the journal"
	reasonPathLost      suspendReason = "has lost the journal as well"
)

// isRelayOnly reports whether the peer may still be asked what needs no journal.
func (r suspendReason) isRelayOnly() bool { return r == reasonPathLost || r == reasonRelayNoAnswer }

// errNoPeer means that no peer has made the call.
var errNoPeer = errors.New("relay: no peer reaches the journal")

// peers holds the other daemons, as they announced themselves in PeersPartition or, without the
// journal, introduced themselves. It implements
// journal.KeyedHandler and is safe for concurrent use.
type peers struct {
	options Options
	dial    dialFunc
	logger  *zap.Logger
	// suspensions logs the suspensions of peers as summaries: while the store is overloaded, each
	// call to each peer may end in one.
	suspensions *logging.Episodes

	mu sync.Mutex
	// byName maps the name of each daemon that has announced itself, except this one, to its
	// state.
	byName map[string]*peer
	// closed is set when this daemon stops.
	closed bool
	// preferred is the peer that last made a call, "" if there is none. It is asked first.
	preferred string
}

func newPeers(options Options, logger *zap.Logger) *peers {
	dialer := upstream.NewDialer(upstream.Options{LocalAddress: options.Address, ConnectTimeout: dialTimeout,
		UnackedTimeout: unackedTimeout})
	return &peers{
		options: options,
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", address)
		},
		logger:      logger,
		suspensions: logging.NewEpisodes(logger, "peer suspended", "reason", "peers"),
		byName:      map[string]*peer{},
	}
}

// Apply implements journal.KeyedHandler. A peer that announces an unchanged address keeps its
// connection and its suspension.
func (p *peers) Apply(record journal.KeyedRecord) {
	other := &peer{}
	if record.Key == p.options.Name || len(record.Value) == 0 {
		return
	}
	if err := cbor.Unmarshal(record.Value, other); err != nil {
		p.logger.Warn("failed to decode peer entry", zap.String("peer", record.Key), zap.Error(err))
		return
	}
	p.add(record.Key, other)
}

// add adds a peer, or replaces it if its address has changed, and reports whether it did.
func (p *peers) add(name string, other *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.byName[name]
	if p.closed || name == p.options.Name || before != nil && before.Address == other.Address {
		return false
	}
	p.byName[name] = other
	return true
}

func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byName)
}

// names returns the sorted names of all peers.
func (p *peers) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.byName))
}

// hasAvailable reports whether there is a peer that may be asked to call the journal now.
func (p *peers) hasAvailable() bool { return len(p.candidates(time.Now())) > 0 }

// candidates returns the names of at most maxPeersTried peers that may be asked to call the journal,
// in the order in which to ask them: the preferred peer, those of this daemon's zone, the others. The
// order within a zone is random. It returns none after close.
func (p *peers) candidates(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	var names []string
	rank := map[string]float64{}
	for name, other := range p.byName {
		if !other.mayRelay(now) {
			continue
		}
		names = append(names, name)
		rank[name] = rand.Float64()
		if other.Zone != p.options.Zone {
			rank[name]++
		}
		if name == p.preferred {
			rank[name] = -1
		}
	}
	sort.Slice(names, func(i, j int) bool { return rank[names[i]] < rank[names[j]] })
	return p.withOtherZone(names)
}

// withOtherZone returns the first maxPeersTried names. The last of them is of another zone if there is
// one: a whole zone may have lost the journal. p.mu must be held.
func (p *peers) withOtherZone(names []string) []string {
	chosen := names[:min(len(names), maxPeersTried)]
	isOther := func(name string) bool { return p.byName[name].Zone != p.options.Zone }
	if slices.ContainsFunc(chosen, isOther) {
		return chosen
	}
	if i := slices.IndexFunc(names, isOther); i >= 0 {
		chosen[len(chosen)-1] = names[i]
	}
	return chosen
}

// getAvailable returns the named peer, or nil if it is unknown or suspended.
func (p *peers) getAvailable(name string) *peer {
	other := p.get(name)
	if other == nil || other.isSuspended(time.Now()) {
		return nil
	}
	return other
}

// get returns the named peer, or nil if it is unknown.
func (p *peers) get(name string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName[name]
}

// ask calls a method of a known peer and waits for the answer until the context ends. A peer that
// cannot be reached, or does not answer, is suspended; in the latter case for the given reason. It is
// not suspended if the caller cancelled the call, or had no time left while the peer was dialled. The
// error wraps ErrNotReached, ErrNoAnswer or ErrRefused.
func (p *peers) ask(ctx context.Context, name, method string, args, answer any, noAnswer suspendReason) error {
	err := p.get(name).ask(ctx, p.dial, method, args, answer)
	var refused rpc.ServerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return errors.Wrap(ErrRefused, err.Error())
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller cancelled the call, which does not mean that the peer failed.
		return errors.Wrap(ErrNoAnswer, ctx.Err().Error())
	case errors.Is(err, ErrNotReached):
		if ctx.Err() == nil {
			p.suspend(name, unreachableRetryDelay, reasonNotReached, err)
		}
		return err
	default:
		p.suspend(name, noAnswerRetryDelay, noAnswer, err)
		return errors.Wrap(ErrNoAnswer, err.Error())
	}
}

// relay asks one candidate after the other until one makes the call. If the error wraps
// errNoPeer, none has made it; any other error is the journal's answer, or journal.ErrUnknown if
// the call may have been made.
func (p *peers) relay(ctx context.Context, op operation) (reply, error) {
	op.Timeout = op.wait() + peerTimeout
	if deadline, bounded := ctx.Deadline(); bounded {
		op.Timeout = min(op.Timeout, time.Until(deadline))
	}
	msg, err := encode(op)
	if err != nil {
		return reply{}, errors.Wrap(errNoPeer, err.Error())
	}
	bounded, cancel := context.WithTimeout(ctx, op.Timeout)
	defer cancel()
	for {
		answer, busy, err := p.relayOnce(bounded, msg)
		if !busy || !errors.Is(err, errNoPeer) {
			return answer, err
		}
		// The peers relay as much as they may, which ends within the time of a few answers.
		periodic.Pause(bounded, busyRetryDelay/2+rand.N(busyRetryDelay))
		if bounded.Err() != nil {
			return answer, err
		}
	}
}

// relayOnce asks each candidate once, until one makes the call. busy reports whether a candidate did
// not make it because it relays as much as it may. The error is that of relay.
func (p *peers) relayOnce(ctx context.Context, msg Message) (answer reply, busy bool, err error) {
	for _, name := range p.candidates(time.Now()) {
		var encoded Message
		var answer reply
		err := p.ask(ctx, name, methodName, msg, &encoded, reasonRelayNoAnswer)
		if errors.Is(err, ErrNotReached) {
			continue
		}
		if err == nil {
			err = encoded.decode(&answer)
		}
		switch {
		case err != nil:
			return reply{}, busy, errors.Wrap(journal.ErrUnknown, err.Error())
		case answer.isBusy():
			busy = true
			continue
		case answer.Outcome == outcomePathLost:
			p.suspend(name, pathLostRetryDelay, reasonPathLost, nil)
			continue
		}
		p.mu.Lock()
		p.preferred = name
		p.mu.Unlock()
		return answer, busy, answer.err()
	}
	return reply{}, busy, errors.Wrap(errNoPeer, "none left to ask")
}

// suspend makes callers avoid a peer for the given time and logs the reason, which decides whether
// only calls to the journal avoid it.
func (p *peers) suspend(name string, duration time.Duration, reason suspendReason, cause error) {
	other := p.get(name)
	if other == nil {
		return
	}
	other.suspend(time.Now().Add(duration), reason.isRelayOnly())
	p.mu.Lock()
	if p.preferred == name {
		p.preferred = ""
	}
	p.mu.Unlock()
	p.suspensions.Note(logging.Occurrence{Key: string(reason), Subject: name, Took: duration},
		zap.String("peer", name), zap.Duration("rest", duration), zap.Error(cause))
}

// close closes the connections to all peers and prevents new ones.
func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, other := range p.byName {
		other.close()
	}
}
