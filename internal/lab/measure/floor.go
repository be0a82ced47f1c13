package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"woodworks/internal/scheduler"
	"woodworks/internal/weights"
)

// job is one sample of a batch.
type job struct {
	floor    *simFloor
	batch    *batch
	index    int
	prompt   int
	length   int
	expected int
	// prefix holds what ended tries produced, versions all that took part.
	prefix int
	oldest uint64
	home   *simDaemon
	engine *simEngine
	stream *stream
	whole  bool
	taken  bool
}

func (one *job) done() int { return one.prefix }

func (one *job) noteVersion(version uint64) {
	if one.oldest == 0 || version < one.oldest {
		one.oldest = version
	}
}

// reset forgets what was generated.
func (one *job) reset() {
	one.floor.result.wastedTokens += one.prefix
	if one.stream != nil {
		one.floor.result.wastedTokens += one.stream.produced
	}
	one.prefix, one.oldest = 0, 0
}

func (one *job) finished(held *stream) {
	if held != one.stream {
		return
	}
	one.home.ended(one)
	one.whole = true
	one.batch.check()
}

func (one *job) broken(held *stream) {
	if held != one.stream {
		return
	}
	one.prefix += held.produced
	one.stream = nil
	one.home.ended(one)
	if !one.floor.strategy.resume {
		one.reset()
	}
	one.home.enqueue(one)
}

// batch is one batch that the trainer asked for and takes in parts.
type batch struct {
	jobs  []*job
	taken int
	// wanted is how many more samples the trainer waits for, 0 while it trains.
	wanted int
	got    []*job
	ready  func(part []*job)
}

// check hands a part over once it is wanted and complete. Samples that have
// become too stale are made again.
func (one *batch) check() {
	for _, held := range one.jobs {
		if len(one.got) >= one.wanted {
			break
		}
		if !held.whole || held.taken {
			continue
		}
		floor := held.floor
		if floor.trained-min(held.oldest, floor.trained) > floor.site.bound {
			floor.result.discarded++
			held.whole = false
			held.prefix = held.length
			held.stream = nil
			held.reset()
			held.home.enqueue(held)
			continue
		}
		held.taken = true
		one.got = append(one.got, held)
	}
	if one.wanted > 0 && len(one.got) >= one.wanted {
		part := one.got
		one.got, one.wanted = nil, 0
		one.taken += len(part)
		one.ready(part)
	}
}

// simDaemon is one daemon: its queue and its view of the engines.
type simDaemon struct {
	floor *simFloor
	queue *scheduler.Queue
	jobs  map[uint64]*job
	next  uint64
	// own counts this daemon's streams an engine; sent holds when each began.
	own      []int
	affinity map[int]int
}

func (daemon *simDaemon) enqueue(one *job) {
	daemon.next++
	expected := 0
	if daemon.floor.strategy.longestFirst {
		expected = max(one.expected-one.prefix, 1)
	}
	daemon.jobs[daemon.next] = one
	daemon.queue.Push(scheduler.Job{ID: daemon.next, Class: "rollout", Expected: expected, Sequence: daemon.next})
	daemon.dispatch()
}

func (daemon *simDaemon) ended(one *job) {
	if one.engine != nil {
		daemon.own[one.engine.index]--
		one.engine = nil
	}
	daemon.floor.clock.after(0, daemon.dispatch)
}

// dispatch starts what can start.
func (daemon *simDaemon) dispatch() {
	chosen := -1
	for {
		waiting, found := daemon.queue.Pop(func(waiting scheduler.Job) bool {
			chosen = daemon.pick(daemon.jobs[waiting.ID])
			return chosen >= 0
		})
		if !found {
			return
		}
		one := daemon.jobs[waiting.ID]
		delete(daemon.jobs, waiting.ID)
		daemon.send(one, daemon.floor.engines[chosen])
	}
}

func (daemon *simDaemon) send(one *job, engine *simEngine) {
	floor := daemon.floor
	daemon.own[engine.index]++
	daemon.affinity[one.prompt] = engine.index
	one.engine = engine
	held := &stream{job: one}
	one.stream = held
	if one.oldest > 0 && floor.trained > floor.site.bound && one.oldest < floor.trained-floor.site.bound {
		one.reset()
	}
	floor.clock.after(floor.site.oneWayZone, func() {
		if one.stream != held {
			return
		}
		if engine.down {
			floor.clock.after(floor.site.oneWayZone, func() { one.broken(held) })
			return
		}
		engine.waiting = append(engine.waiting, held)
	})
}

// pick returns the engine for a job, -1 to wait.
func (daemon *simDaemon) pick(one *job) int {
	floor := daemon.floor
	switch floor.strategy.pick {
	case pickRandom:
		return daemon.pickAmong(func(int) float64 { return floor.random.Float64() })
	case pickLeast:
		return daemon.pickAmong(func(index int) float64 { return -float64(daemon.own[index]) + floor.random.Float64()*0.5 })
	default:
		return daemon.pickByScore(one)
	}
}

// pickAmong returns the reachable engine with the highest rank.
func (daemon *simDaemon) pickAmong(rank func(int) float64) int {
	best, chosen := math.Inf(-1), -1
	for index, engine := range daemon.floor.engines {
		if engine.down || engine.version == 0 {
			continue
		}
		if value := rank(index); value > best {
			best, chosen = value, index
		}
	}
	return chosen
}

// pickByScore uses the product's scheduler on this daemon's view.
func (daemon *simDaemon) pickByScore(one *job) int {
	floor := daemon.floor
	candidates := make([]scheduler.Candidate, len(floor.engines))
	for index, engine := range floor.engines {
		candidates[index] = scheduler.Candidate{
			Name: fmt.Sprint(index), Healthy: !engine.down, Model: "m", Version: engine.version, Slots: floor.site.slots,
			Load: daemon.loadOf(engine), Distance: scheduler.Distance(min(index%floor.site.zones, 1)),
		}
		if near, known := daemon.affinity[one.prompt]; known && floor.strategy.affinity {
			candidates[index].HasPrefix = near == index
		}
	}
	request := scheduler.Request{Model: "m", MinVersion: 1, NewestVersion: floor.announced, Overcommit: floor.site.slots / 8}
	if floor.strategy.versions && floor.announced > floor.site.bound {
		request.MinVersion = floor.announced - floor.site.bound
	}
	if !floor.strategy.holdBack {
		request.Overcommit = 1 << 20
	}
	return scheduler.Pick(request, candidates, scheduler.DefaultWeights(), floor.random.Float64()).Index
}

// loadOf is the engine's load as this daemon believes it to be.
func (daemon *simDaemon) loadOf(engine *simEngine) int {
	if !daemon.floor.strategy.correct {
		return engine.reported
	}
	others := max(engine.reported-daemon.floor.ownAtReport[engine.index][daemon], 0)
	return others + daemon.own[engine.index]
}

// simFloor is one run.
type simFloor struct {
	site      site
	strategy  strategy
	clock     *clock
	random    *rand.Rand
	lengths   *rand.Rand
	engines   []*simEngine
	daemons   []*simDaemon
	announced uint64
	trained   uint64
	result    *Result
	// ownAtReport holds each daemon's streams at an engine's last report.
	ownAtReport []map[*simDaemon]int
	promptCount int
}

const (
	reportInterval = 200 * time.Millisecond
	reportLag      = 150 * time.Millisecond
	expectedNoise  = 0.5
	migrateEvery   = time.Second
	crashAway      = 20 * time.Second
	crashEvery     = 150 * time.Second
)

func newFloor(one site, how strategy, seed uint64, result *Result) *simFloor {
	floor := &simFloor{
		site: one, strategy: how, clock: &clock{}, result: result,
		random: rand.New(rand.NewPCG(seed, 1)), lengths: rand.New(rand.NewPCG(seed, 2)),
		announced: 1, trained: 1,
	}
	for range one.zones {
		daemon := &simDaemon{floor: floor, queue: scheduler.NewQueue(), jobs: map[uint64]*job{}, own: make([]int, one.engines), affinity: map[int]int{}}
		daemon.queue.Configure("rollout", 1, 1<<20)
		floor.daemons = append(floor.daemons, daemon)
	}
	for index := range one.engines {
		engine := &simEngine{index: index, site: &floor.site, clock: floor.clock, version: 1}
		floor.engines = append(floor.engines, engine)
		floor.ownAtReport = append(floor.ownAtReport, map[*simDaemon]int{})
		engine.start()
		floor.clock.every(reportInterval, func() { floor.report(engine) })
	}
	if how.migrate {
		floor.clock.every(migrateEvery, floor.migrate)
	}
	floor.clock.every(crashEvery, func() {
		engine := floor.engines[floor.random.IntN(len(floor.engines))]
		if !engine.down {
			engine.crash(crashAway, func() { floor.swap(engine) })
		}
	})
	return floor
}

// report makes an engine's load of now known after the lag.
func (floor *simFloor) report(engine *simEngine) {
	load := engine.load()
	own := map[*simDaemon]int{}
	for _, daemon := range floor.daemons {
		own[daemon] = daemon.own[engine.index]
	}
	floor.clock.after(reportLag, func() {
		engine.reported = load
		floor.ownAtReport[engine.index] = own
		for _, daemon := range floor.daemons {
			daemon.dispatch()
		}
	})
}

// swap loads the newest version on an engine.
func (floor *simFloor) swap(engine *simEngine) {
	if engine.loading || engine.down {
		return
	}
	engine.loading = true
	version, epoch := floor.announced, engine.epoch
	floor.clock.after(floor.site.fetchTime, func() {
		engine.loading = false
		if engine.epoch != epoch || engine.down {
			return
		}
		engine.version = version
		engine.pausedT = floor.clock.now + floor.site.swapPause
		floor.swapMore()
	})
}

// swapMore starts the swaps that the wave allows.
func (floor *simFloor) swapMore() {
	replicas := make([]weights.Replica, len(floor.engines))
	for i, engine := range floor.engines {
		replicas[i] = weights.Replica{Name: fmt.Sprint(i), Model: "m", Version: engine.version, Loading: engine.loading, Usable: !engine.down}
	}
	targets := weights.Assign(replicas, []weights.Demand{{Trainer: "m", Share: 1, Version: floor.announced}})
	for i, replica := range replicas {
		target, assigned := targets[replica.Name]
		if assigned && weights.NeedsSwap(replica, target) && weights.MaySwap(replica.Name, replicas, targets, floor.strategy.waves) {
			floor.swap(floor.engines[i])
		}
	}
}

// migrate moves one straggler a second once no daemon has anything waiting:
// the one that gains most, to the engine with the least load. One at a time, as
// the loads that the next decision rests on change with each move.
func (floor *simFloor) migrate() {
	for _, daemon := range floor.daemons {
		if daemon.queue.Len() > 0 {
			return
		}
	}
	var best *stream
	var from, to *simEngine
	bestGain := time.Duration(0)
	for _, engine := range floor.engines {
		other := floor.idlest(engine)
		for _, held := range engine.running {
			if other == nil || held.cancel || held.job.stream != held {
				continue
			}
			decision := floor.moveOf(held, engine, other)
			if gain := decision.Gain(); scheduler.ShouldMove(decision) && gain > bestGain {
				best, from, to, bestGain = held, engine, other, gain
			}
		}
	}
	if best == nil {
		return
	}
	one := best.job
	best.cancel = true
	one.prefix += best.produced
	one.home.own[from.index]--
	floor.result.migrations++
	one.home.send(one, to)
}

func (floor *simFloor) moveOf(held *stream, engine, other *simEngine) scheduler.MoveDecision {
	generated := held.job.prefix + held.produced
	return scheduler.MoveDecision{
		Generated: generated, Expected: held.job.expected,
		HereStep: floor.stepTime(engine.load()), ThereStep: floor.stepTime(other.load() + 1),
		Prefill: time.Duration(floor.site.promptSize+generated) * floor.site.prefill,
	}
}

func (floor *simFloor) stepTime(batch int) time.Duration {
	return floor.site.baseStep + time.Duration(min(batch, floor.site.slots))*floor.site.streamStep
}

func (floor *simFloor) idlest(than *simEngine) *simEngine {
	var best *simEngine
	for _, engine := range floor.engines {
		if engine == than || engine.down || engine.version < than.version {
			continue
		}
		if best == nil || engine.load() < best.load() {
			best = engine
		}
	}
	return best
}

// ask makes a batch and gives its samples to their homes.
func (floor *simFloor) ask() *batch {
	one := &batch{}
	for prompt := range floor.site.prompts {
		floor.promptCount++
		for range floor.site.perPrompt {
			length := floor.drawLength()
			held := &job{
				floor: floor, batch: one, index: len(one.jobs), prompt: floor.promptCount, length: length,
				expected: max(1, int(float64(length)*math.Exp(expectedNoise*floor.lengths.NormFloat64()))),
				home:     floor.daemons[prompt%len(floor.daemons)],
			}
			one.jobs = append(one.jobs, held)
		}
	}
	floor.clock.after(floor.site.oneWayUser, func() {
		for _, held := range one.jobs {
			held.home.enqueue(held)
		}
	})
	return one
}

func (floor *simFloor) drawLength() int {
	length := floor.site.median * math.Exp(floor.site.sigma*floor.lengths.NormFloat64())
	return min(max(int(length), 8), floor.site.maxTokens)
}
