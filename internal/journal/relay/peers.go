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
	"woodworks/internal/journal"
	"woodworks/internal/journal/questiontime"
	"woodworks/internal/requests/upstream"
)

const (
	// peerTimeout is how long a peer may take beyond the time that a read waits
	// for records.
	peerTimeout = questiontime.Relayed
	// maxPeersTried is how many peers are asked to make one call at most.
	maxPeersTried = 3
	// unreachableRetryDelay, silentRest and lostRest are how long a peer is left alone that could
	// not be reached, did not answer, or has lost the path itself.
	unreachableRetryDelay = 3 * time.Second
	noAnswerRetryDelay    = time.Second
	pathLostRetryDelay    = 500 * time.Millisecond
)

// errNoPeer: no peer could make the call, and none has.
var errNoPeer = errors.New("relay: no peer reaches the journal")

// peers are the other daemons, as they announced themselves. It implements
// journal.KeyedHandler and is safe for concurrent use.
type peers struct {
	options Options
	dial    dialFunc
	logger  *zap.Logger
	// suspensions sums the rests of peers: where a store is busy, each call to each of them
	// ends in one.
	suspensions *logging.Episodes

	mu     sync.Mutex
	byName map[string]*peer
	// closed says that the daemon ends.
	closed bool
	// preferred is the peer that answered last, "" if none did.
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
		suspensions: logging.NewEpisodes(logger, "peer left alone", "reason", "peers"),
		byName:      map[string]*peer{},
	}
}

// Apply implements journal.KeyedHandler. A daemon that started anew at the same
// address keeps its place.
func (p *peers) Apply(record journal.KeyedRecord) {
	other := &peer{}
	if record.Key == p.options.Name || len(record.Value) == 0 {
		return
	}
	if err := cbor.Unmarshal(record.Value, other); err != nil {
		p.logger.Warn("peer not understood", zap.String("peer", record.Key), zap.Error(err))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if before := p.byName[record.Key]; before == nil || before.Address != other.Address {
		p.byName[record.Key] = other
	}
}

func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byName)
}

// names returns the names of all peers, in order.
func (p *peers) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.byName))
}

// hasAvailable reports whether there is a peer that may be asked now.
func (p *peers) hasAvailable() bool { return len(p.candidates(time.Now())) > 0 }

// candidates returns the peers to ask, in order: the one that answered last, those
// of the own zone, the others.
func (p *peers) candidates(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	var names []string
	rank := map[string]float64{}
	for name, other := range p.byName {
		if other.isSuspended(now) {
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
	return names[:min(len(names), maxPeersTried)]
}

// getAvailable returns a peer that may be asked now, or nil.
func (p *peers) getAvailable(name string) *peer {
	other := p.get(name)
	if other == nil || other.isSuspended(time.Now()) {
		return nil
	}
	return other
}

func (p *peers) get(name string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName[name]
}

// ask calls a method of a peer and waits for the answer until the context ends. A peer that could
// not be reached or did not answer is left alone for a while.
func (p *peers) ask(ctx context.Context, name, method string, args, answer any) error {
	err := p.get(name).ask(ctx, p.dial, method, args, answer)
	var refused rpc.ServerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return errors.Wrap(ErrRefused, err.Error())
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller has lost interest, which says nothing of the peer.
		return errors.Wrap(ErrNoAnswer, ctx.Err().Error())
	case errors.Is(err, ErrNotReached):
		p.suspend(name, unreachableRetryDelay, "not reached", err)
		return err
	default:
		p.suspend(name, noAnswerRetryDelay, "no answer", err)
		return errors.Wrap(ErrNoAnswer, err.Error())
	}
}

// relay asks one peer after the other to make a call until one has. An error that
// wraps errNoPeer says that none has; after any other the call may have been made.
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
	for _, name := range p.candidates(time.Now()) {
		var encoded Message
		var answer reply
		err := p.ask(bounded, name, methodName, msg, &encoded)
		if errors.Is(err, ErrNotReached) {
			continue
		}
		if err == nil {
			err = encoded.decode(&answer)
		}
		if err != nil {
			return reply{}, errors.Wrap(journal.ErrUnknown, err.Error())
		}
		if answer.Outcome == outcomePathLost {
			p.suspend(name, pathLostRetryDelay, "has lost the journal as well", nil)
			continue
		}
		p.mu.Lock()
		p.preferred = name
		p.mu.Unlock()
		return answer, answer.err()
	}
	return reply{}, errors.Wrap(errNoPeer, "none left to ask")
}

// suspend leaves a peer alone for a while.
func (p *peers) suspend(name string, length time.Duration, reason string, cause error) {
	other := p.get(name)
	if other == nil {
		return
	}
	other.suspend(time.Now().Add(length))
	p.mu.Lock()
	if p.preferred == name {
		p.preferred = ""
	}
	p.mu.Unlock()
	p.suspensions.Note(logging.Occurrence{Key: reason, Subject: name, Took: length},
		zap.String("peer", name), zap.Duration("rest", length), zap.Error(cause))
}

// close ends the connections to peers.
func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, other := range p.byName {
		other.close()
	}
}
