package chunkhome

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/fleet"
	"woodworks/internal/rollout"
	"woodworks/internal/scheduler"
)

const (
	// moveInterval is the least time between two moves by this daemon: the
	// loads that the next decision rests on change with each.
	moveInterval = time.Second
	// prefillSpeedup is about how many tokens of a prefix an engine computes in
	// the time of one new token.
	prefillSpeedup = 50
	// bytesPerToken turns a prompt's length into tokens.
	bytesPerToken = 4
)

// running is one try on an engine.
type running struct {
	index   int
	machine string
	cancel  context.CancelFunc
}

// straggler is a try that would gain by going on elsewhere.
type straggler struct {
	one  *held
	try  string
	gain time.Duration
}

// moveStraggler ends the try that gains most by a move, once nothing waits for
// its service. The sample then goes on from its prefix on the replica that the
// dispatcher finds best, which is not the one it left.
func (home *Home) moveStraggler(now time.Time) {
	if now.Sub(home.movedAt) < moveInterval {
		return
	}
	set := home.catalog.Policy()
	replicas := map[string][]fleet.Replica{}
	for _, trainer := range set.Trainers {
		// The dispatcher asks this home from under its own lock, so it must not
		// be asked from under the home's.
		if home.dispatcher.Waiting(trainer.Service) == 0 {
			replicas[trainer.Service] = home.table.Replicas(now, trainer.Service)
		}
	}
	home.mutex.Lock()
	defer home.mutex.Unlock()
	best := straggler{}
	for id, one := range home.chunks {
		service := set.Trainers[id.Trainer].Service
		if !one.active || len(replicas[service]) == 0 {
			continue
		}
		if found := bestMove(one, replicas[service]); found.gain > best.gain {
			best = found
		}
	}
	if best.one == nil {
		return
	}
	home.movedAt = now
	home.statistics.Moved++
	moved := best.one.running[best.try]
	best.one.avoid[moved.index] = moved.machine
	home.logger.Debug("straggler moves", zap.String("try", best.try), zap.String("from", moved.machine), zap.Duration("gain", best.gain))
	moved.cancel()
}

// bestMove returns the try of a chunk that would gain most.
func bestMove(one *held, replicas []fleet.Replica) straggler {
	byName := map[string]fleet.Replica{}
	for _, replica := range replicas {
		byName[replica.Machine.Name] = replica
	}
	best := straggler{}
	for try, under := range one.running {
		here, known := byName[under.machine]
		if !known {
			continue
		}
		there, found := idlest(replicas, here)
		if !found {
			continue
		}
		decision := moveOf(one.chunk, under.index, here, there)
		if gain := decision.Gain(); scheduler.ShouldMove(decision) && gain > best.gain {
			best = straggler{one: one, try: try, gain: gain}
		}
	}
	return best
}

// idlest returns the usable replica with the least load that has a free slot,
// the same model, and no older a version.
func idlest(replicas []fleet.Replica, than fleet.Replica) (fleet.Replica, bool) {
	best, found := fleet.Replica{}, false
	for _, replica := range replicas {
		fits := replica.Usable && !replica.Leaving && replica.Machine.Name != than.Machine.Name &&
			replica.State.Model == than.State.Model && replica.State.Version >= than.State.Version &&
			replica.Load < replica.State.Slots && replica.State.TokensPerSecond > 0
		if fits && (!found || replica.Load < best.Load) {
			best, found = replica, true
		}
	}
	return best, found
}

func moveOf(chunk *rollout.Chunk, index int, here, there fleet.Replica) scheduler.MoveDecision {
	generated, expected, promptBytes := chunk.Progressed(index)
	hereStep := stepOf(here, 0)
	return scheduler.MoveDecision{
		Generated: generated,
		Expected:  expected,
		HereStep:  hereStep,
		ThereStep: stepOf(there, 1),
		Prefill:   time.Duration(promptBytes/bytesPerToken+generated) * hereStep / prefillSpeedup,
	}
}

// stepGrowth is how much of a stream's proportional share one more stream is
// taken to add to a step.
const stepGrowth = 0.5

// stepOf is the time of one token at a replica with some streams more than at
// its last report.
func stepOf(replica fleet.Replica, more int) time.Duration {
	if replica.State.TokensPerSecond <= 0 {
		return 0
	}
	step := float64(time.Second) / replica.State.TokensPerSecond
	batch := float64(max(replica.State.Running, 1))
	return time.Duration(step * (1 + stepGrowth*float64(more)/batch))
}
