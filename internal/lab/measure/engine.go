package measure

import (
	"math"
	"sort"
	"time"
)

// site is a deployment's size and pace. Slots and step times are our
// assumption: the users' were cut off in what we received.
type site struct {
	name        string
	zones       int
	engines     int
	plains      int
	oneWayZone  time.Duration
	oneWayUser  time.Duration
	bound       uint64
	slots       int
	baseStep    time.Duration
	streamStep  time.Duration
	prefill     time.Duration
	fetchTime   time.Duration
	swapPause   time.Duration
	median      float64
	sigma       float64
	maxTokens   int
	promptSize  int
	prompts     int
	perPrompt   int
	trainTime   time.Duration
	lookupRate  float64
	moveRate    float64
	cachePrompt int
}

// operatorSite and qarmoudSite have the users' numbers of zones and replicas
// and their latencies.
func operatorSite() site {
	return site{
		name: "operator", zones: 3, engines: 8, plains: 3, oneWayZone: 500 * time.Microsecond, oneWayUser: time.Millisecond,
		bound: 3, slots: 16, baseStep: 25 * time.Millisecond, streamStep: 1500 * time.Microsecond, prefill: 100 * time.Microsecond,
		fetchTime: 6 * time.Second, swapPause: time.Second, median: 300, sigma: 0.9, maxTokens: 3000, promptSize: 2000,
		prompts: 64, perPrompt: 8, trainTime: 60 * time.Second, lookupRate: 20, moveRate: 2, cachePrompt: 8,
	}
}

func qarmoudSite() site {
	one := operatorSite()
	one.name = "qarmoud"
	one.engines, one.plains = 9, 4
	one.oneWayZone, one.oneWayUser = 1400*time.Microsecond, 3*time.Millisecond
	one.bound = 3
	one.median, one.maxTokens, one.promptSize = 200, 2400, 800
	one.prompts, one.perPrompt = 96, 8
	one.trainTime = 60 * time.Second
	one.lookupRate, one.moveRate = 30, 30
	return one
}

// stream is one try of a sample on an engine.
type stream struct {
	job      *job
	produced int
	readyAt  time.Duration
	cancel   bool
}

// simEngine is the model of one engine.
type simEngine struct {
	index   int
	site    *site
	clock   *clock
	version uint64
	loading bool
	down    bool
	epoch   int
	running []*stream
	waiting []*stream
	cache   []int
	pausedT time.Duration
	// reported is the load that the daemons see, with a lag.
	reported int
}

func (one *simEngine) load() int { return len(one.running) + len(one.waiting) }

// start begins stepping.
func (one *simEngine) start() {
	one.step(one.epoch)
}

// step advances the batch and plans the next step.
func (one *simEngine) step(epoch int) {
	if one.down || epoch != one.epoch {
		return
	}
	for len(one.running) < one.site.slots && len(one.waiting) > 0 {
		next := one.waiting[0]
		one.waiting = one.waiting[1:]
		next.readyAt = one.clock.now + one.prefillTime(next)
		one.running = append(one.running, next)
	}
	if one.clock.now >= one.pausedT && one.version > 0 {
		one.advance()
	}
	wait := one.site.baseStep + time.Duration(len(one.running))*one.site.streamStep
	one.clock.after(wait, func() { one.step(epoch) })
}

func (one *simEngine) prefillTime(next *stream) time.Duration {
	tokens := one.site.promptSize + next.job.done()
	for i, cached := range one.cache {
		if cached == next.job.prompt {
			tokens = next.job.done()
			one.cache = append(one.cache[:i], one.cache[i+1:]...)
			break
		}
	}
	one.cache = append(one.cache, next.job.prompt)
	if len(one.cache) > one.site.cachePrompt {
		one.cache = one.cache[1:]
	}
	return time.Duration(tokens) * one.site.prefill
}

func (one *simEngine) advance() {
	var still []*stream
	var finished []*stream
	for _, held := range one.running {
		switch {
		case held.cancel:
		case one.clock.now < held.readyAt:
			still = append(still, held)
		default:
			held.produced++
			held.job.noteVersion(one.version)
			if held.job.prefix+held.produced >= held.job.length {
				finished = append(finished, held)
			} else {
				still = append(still, held)
			}
		}
	}
	one.running = still
	for _, held := range finished {
		held.job.finished(held)
	}
}

// crash ends every stream and comes back after a while without weights.
func (one *simEngine) crash(away time.Duration, reload func()) {
	one.down = true
	one.epoch++
	lost := append(one.running, one.waiting...)
	one.running, one.waiting, one.cache = nil, nil, nil
	one.version = 0
	for _, held := range lost {
		if !held.cancel {
			held.job.broken(held)
		}
	}
	one.clock.after(away, func() {
		one.down = false
		one.epoch++
		one.step(one.epoch)
		reload()
	})
}

// percentile returns a share's value of sorted or unsorted values.
func percentile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := append([]float64{}, values...)
	sort.Float64s(sorted)
	return sorted[int(share*float64(len(sorted)-1))]
}
