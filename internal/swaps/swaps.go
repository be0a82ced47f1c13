// Package swaps makes the engines that this daemon owns load the weight
// versions that the trainers announced, in waves.
package swaps

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/announce"
	"woodworks/internal/backend/engine"
	"woodworks/internal/fleet"
	"woodworks/internal/periodic"
	"woodworks/internal/policy"
	"woodworks/internal/weights"
)

const (
	checkInterval = 100 * time.Millisecond
	// recheckAfter bounds how long a plan stands unexamined.
	recheckAfter = time.Second
	// reorderAfter is how long an order is given to show in the engine's late
	// report before it is sent again.
	reorderAfter = 2 * time.Second
)

// Policies gives the policies in force.
type Policies interface{ Policy() *policy.Set }

// Peers counts the changes of the membership.
type Peers interface{ Version() uint64 }

// Swapper is driven by one goroutine.
type Swapper struct {
	fleet    *fleet.Fleet
	board    *announce.Board
	policies Policies
	peers    Peers
	logger   *zap.Logger
	ordered  map[string]order
	last     inputs
	lastAt   time.Time
}

// inputs is what a plan depends on; while it stands, so does the plan.
type inputs struct {
	states     uint64
	membership uint64
	board      uint64
	policies   *policy.Set
}

type order struct {
	target weights.Target
	at     time.Time
}

// New returns a swapper.
func New(owned *fleet.Fleet, board *announce.Board, policies Policies, peers Peers, logger *zap.Logger) *Swapper {
	return &Swapper{fleet: owned, board: board, policies: policies, peers: peers, logger: logger, ordered: map[string]order{}}
}

// Run orders swaps until the context ends.
func (swapper *Swapper) Run(ctx context.Context) {
	periodic.Every(ctx, checkInterval, swapper.check)
}

func (swapper *Swapper) check(ctx context.Context) {
	now := inputs{
		states:     swapper.fleet.Table.StateEdition(),
		membership: swapper.peers.Version(),
		board:      swapper.board.Digest(),
		policies:   swapper.policies.Policy(),
	}
	if now == swapper.last && time.Since(swapper.lastAt) < recheckAfter {
		return
	}
	swapper.last = now
	swapper.lastAt = time.Now()
	ownedByService := map[string]map[string]bool{}
	for _, machine := range swapper.fleet.Owned() {
		if ownedByService[machine.Service] == nil {
			ownedByService[machine.Service] = map[string]bool{}
		}
		ownedByService[machine.Service][machine.Name] = true
	}
	set := swapper.policies.Policy()
	for service, owned := range ownedByService {
		if set.Services[service].Kind == policy.EngineService {
			swapper.checkService(ctx, set, service, owned)
		}
	}
}

// checkService plans for all replicas of a service and orders the owned ones.
func (swapper *Swapper) checkService(ctx context.Context, set *policy.Set, service string, owned map[string]bool) {
	replicas := swapper.fleet.Table.Replicas(time.Now(), service)
	planned := make([]weights.Replica, len(replicas))
	for i, replica := range replicas {
		planned[i] = weights.Replica{
			Name:    replica.Machine.Name,
			Model:   replica.State.Model,
			Version: replica.State.Version,
			Loading: replica.State.Loading,
			Usable:  replica.Usable && !replica.Leaving,
		}
	}
	targets := weights.Assign(planned, swapper.demands(set, service))
	for i, replica := range planned {
		target, assigned := targets[replica.Name]
		if !assigned || !owned[replica.Name] || !weights.NeedsSwap(replica, target) {
			continue
		}
		if weights.MaySwap(replica.Name, planned, targets, weights.DefaultWaves()) {
			swapper.order(ctx, replicas[i], target)
		}
	}
}

// demands returns the trainers of a service that have announced weights.
func (swapper *Swapper) demands(set *policy.Set, service string) []weights.Demand {
	var demands []weights.Demand
	for _, trainer := range set.TrainersOf(service) {
		version, artifact := swapper.board.TrainerVersionOf(trainer.Name)
		if version == 0 {
			continue
		}
		demands = append(demands, weights.Demand{Trainer: trainer.Name, Share: trainer.Share, Version: version, Artifact: artifact})
	}
	return demands
}

// order sends a load order, unless the same one was sent a moment ago.
func (swapper *Swapper) order(ctx context.Context, replica fleet.Replica, target weights.Target) {
	name := replica.Machine.Name
	last := swapper.ordered[name]
	if last.target == target && time.Since(last.at) < reorderAfter {
		return
	}
	fence, err := swapper.fleet.Claim(ctx, replica)
	client := swapper.fleet.Table.Client(name)
	if err != nil || client == nil {
		return
	}
	_, err = client.Load(ctx, engine.LoadRequest{Fence: fence, Model: target.Trainer, Version: target.Version, Artifact: target.Artifact})
	if errors.Is(err, engine.ErrFenced) {
		swapper.fleet.Forget(name)
		return
	}
	swapper.ordered[name] = order{target: target, at: time.Now()}
	swapper.logger.Info("swap ordered", zap.String("machine", name), zap.String("trainer", target.Trainer),
		zap.Uint64("version", target.Version), zap.Bool("answered", err == nil))
}
