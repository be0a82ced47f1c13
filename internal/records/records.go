// Package records serves the write-once records of package register over the
// network: it answers as an acceptor, drives decisions, and carries records
// over from one placement epoch to the next.
package records

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/catalog"
	"woodworks/internal/membership"
	"woodworks/internal/peer"
	"woodworks/internal/periodic"
	"woodworks/internal/placement"
	"woodworks/internal/register"
)

// RPCName is the name under which Handler answers peers.
const RPCName = "Records"

const (
	callTimeout    = 700 * time.Millisecond
	importRetry    = 200 * time.Millisecond
	expireInterval = 10 * time.Second
	// firstBackoff and maxBackoff bound the random wait after a round lost to
	// another proposer.
	firstBackoff = 5 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
)

// Errors of this layer.
var (
	// ErrNoMajority means that too few keepers of the key answered in time.
	// The record may or may not have been decided.
	ErrNoMajority = errors.New("records: no majority of the keepers answered")
	// ErrKeyExpired means that the key is older than records are kept: whether
	// the request ran is not known.
	ErrKeyExpired = errors.New("records: key is too old")
	// ErrRecordsLost means that an earlier decision on the key may have been
	// lost with a majority of its keepers. Keys issued later can be used.
	ErrRecordsLost = errors.New("records: an earlier record of the key may be lost")
	// ErrFull means that the keepers hold as many records as they may.
	ErrFull = errors.New("records: keepers are full")
)

// Peers is what this package needs of the membership.
type Peers interface {
	Self() membership.Member
	ProvedGone(id, address string) bool
}

// Catalog is what this package needs of the configuration.
type Catalog interface {
	State() catalog.State
	Changed() <-chan struct{}
	// ConfirmationAge bounds how long a cut-off keeper goes on serving.
	ConfirmationAge() (time.Duration, bool)
}

// Service keeps and decides records. It is safe for concurrent use.
type Service struct {
	mutex        sync.Mutex
	acceptor     *register.Acceptor
	peers        Peers
	catalog      Catalog
	pool         *peer.Pool
	logger       *zap.Logger
	bounds       register.Bounds
	confirmBound time.Duration
	seenEpoch    uint64
	// moves holds, for each shard, the moves to later epochs still to be made,
	// in order. A shard whose first move is stuck does not hold up the others.
	moves [placement.ShardCount][]move
}

// move is a shard's way from one epoch to the next.
type move struct {
	previous catalog.Epoch
	next     catalog.Epoch
}

// New returns a service that keeps nothing yet.
func New(bounds register.Bounds, confirmBound time.Duration, peers Peers, catalog Catalog, pool *peer.Pool, logger *zap.Logger) *Service {
	return &Service{
		acceptor:     register.NewAcceptor(bounds),
		peers:        peers,
		catalog:      catalog,
		pool:         pool,
		logger:       logger,
		bounds:       bounds,
		confirmBound: confirmBound,
	}
}

// Count returns how many records this daemon keeps.
func (service *Service) Count() int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.acceptor.Records()
}

// Run follows the placement epochs until the context ends.
func (service *Service) Run(ctx context.Context) {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		changed := service.catalog.Changed()
		service.followEpoch(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-expire.C:
			service.mutex.Lock()
			service.acceptor.Expire(time.Now())
			service.mutex.Unlock()
		}
	}
}

// Ready returns the epoch that this daemon follows and the shards that it
// serves in it.
func (service *Service) Ready() (epoch uint64, shards []int) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	for index := range placement.ShardCount {
		shardEpoch, serving := service.acceptor.Epoch(index)
		if !serving {
			continue
		}
		if shardEpoch > epoch {
			epoch = shardEpoch
			shards = nil
		}
		if shardEpoch == epoch {
			shards = append(shards, index)
		}
	}
	return epoch, shards
}

// Decide decides the value of a key: the returned value is the given one only
// if no other was decided before. It tries until the context ends.
func (service *Service) Decide(ctx context.Context, key register.Key, value register.Value) (register.Value, error) {
	self := string(service.peers.Self().ID)
	backoff := firstBackoff
	lastRefusal := ""
	for {
		epoch := service.catalog.State().Placement
		group := placement.Group(epoch, placement.ShardOf(key.Name))
		if len(group) > 0 {
			outcome, refusal, decided := service.decideOnce(ctx, group, register.NewProposer(key, value, len(group), epoch.Number, self+"/"+value.Attempt))
			if decided {
				return outcome, nil
			}
			lastRefusal = refusal
			if err := finalError(refusal); err != nil {
				return register.Value{}, err
			}
		}
		periodic.Pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
		if ctx.Err() != nil {
			return register.Value{}, errors.Wrap(ErrNoMajority, lastRefusal)
		}
	}
}

// finalError returns the error for a refusal where trying again cannot help.
func finalError(refusal string) error {
	switch refusal {
	case register.ErrExpired.Error():
		return ErrKeyExpired
	case register.ErrRecordsLost.Error():
		return ErrRecordsLost
	case register.ErrFull.Error():
		return errors.Wrap(ErrFull, refusal)
	default:
		return nil
	}
}

// decideOnce runs rounds of one proposer until it decides or is stuck.
func (service *Service) decideOnce(ctx context.Context, group []catalog.PlacementMember, proposer *register.Proposer) (register.Value, string, bool) {
	refusal := ""
	for ctx.Err() == nil {
		switch proposer.Phase() {
		case register.Preparing:
			refusal = service.prepareAll(ctx, group, proposer)
			if proposer.Phase() == register.Preparing {
				return register.Value{}, refusal, false
			}
		case register.Accepting:
			refusal = service.acceptAll(ctx, group, proposer)
			if proposer.Phase() == register.Accepting {
				return register.Value{}, refusal, false
			}
		case register.Preempted:
			periodic.Pause(ctx, rand.N(firstBackoff*4))
			proposer.Retry()
		case register.Decided:
			return proposer.Outcome(), "", true
		}
	}
	return register.Value{}, refusal, false
}

func (service *Service) prepareAll(ctx context.Context, group []catalog.PlacementMember, proposer *register.Proposer) string {
	message := proposer.Prepare()
	return broadcast(ctx, group,
		func(member catalog.PlacementMember) (PrepareReply, error) {
			return ask(ctx, service, member, "Prepare", PrepareRequest{To: member.ID, Message: message}, service.Handler().Prepare)
		},
		func(member catalog.PlacementMember, reply PrepareReply) (string, bool) {
			if reply.Refusal == "" {
				proposer.OnPromise(member.ID, reply.Promise)
			}
			return reply.Refusal, proposer.Phase() != register.Preparing
		})
}

func (service *Service) acceptAll(ctx context.Context, group []catalog.PlacementMember, proposer *register.Proposer) string {
	message := proposer.Accept()
	return broadcast(ctx, group,
		func(member catalog.PlacementMember) (AcceptReply, error) {
			return ask(ctx, service, member, "Accept", AcceptRequest{To: member.ID, Message: message}, service.Handler().Accept)
		},
		func(member catalog.PlacementMember, reply AcceptReply) (string, bool) {
			if reply.Refusal == "" {
				proposer.OnAccepted(member.ID, reply.Accepted)
			}
			return reply.Refusal, proposer.Phase() != register.Accepting
		})
}

// ask calls a keeper, or this daemon's own handler without the network.
func ask[Request, Reply any](ctx context.Context, service *Service, member catalog.PlacementMember, method string, request Request, own func(Request, *Reply) error) (Reply, error) {
	if member.ID == string(service.peers.Self().ID) {
		var reply Reply
		err := own(request, &reply)
		return reply, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return peer.Ask[Reply](ctx, service.pool, member.Address, peer.Control, RPCName+"."+method, request)
}

// broadcast sends to every member at once and hands the answers over one by
// one, until handle says that it is done. It returns the last refusal.
func broadcast[Reply any](ctx context.Context, group []catalog.PlacementMember, call func(catalog.PlacementMember) (Reply, error), handle func(catalog.PlacementMember, Reply) (string, bool)) string {
	type answer struct {
		member catalog.PlacementMember
		reply  Reply
		err    error
	}
	answers := make(chan answer, len(group))
	for _, member := range group {
		go func() {
			reply, err := call(member)
			answers <- answer{member: member, reply: reply, err: err}
		}()
	}
	refusal := ""
	for range group {
		select {
		case <-ctx.Done():
			return refusal
		case received := <-answers:
			if received.err != nil {
				continue
			}
			text, done := handle(received.member, received.reply)
			if text != "" {
				refusal = text
			}
			if done {
				return refusal
			}
		}
	}
	return refusal
}
