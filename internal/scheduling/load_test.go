package scheduling

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	loadTick   = 25 * time.Millisecond
	loadStep   = 4 * time.Second
	loadSteps  = 6
	loadGroups = 18
	groupTexts = 8
	neededOf   = 17 // groups that a trainer waits for
	longest    = 145
	fastPace   = 28 * time.Millisecond
	slowPace   = 59 * time.Millisecond
	restsFor   = 1100 * time.Millisecond
)

// text is one text of the load: its true length, what is known of it, and how it goes.
type text struct {
	Item
	owner, step, group int
	length, made       float64
	hint               int64
	begins, done       time.Duration
	whole              bool
}

// load plays bursts of two owners on engines of two speeds, in virtual time.
type load struct {
	engines     []Engine
	texts       []*text
	rests       map[string][]time.Duration // owner and engine -> until when connections rest
	lengths     *Lengths
	connections int
	moves       int
	planned     bool
}

func newLoad(seed uint64, planned bool) *load {
	made := &load{rests: map[string][]time.Duration{}, lengths: NewLengths(), planned: planned}
	for i := range 45 {
		pace := slowPace
		if i%4 == 0 {
			pace = fastPace
		}
		made.engines = append(made.engines, Engine{ID: fmt.Sprint("e", i), Slots: 8, Pace: pace, Versions: map[string]int64{"0": 1, "1": 1}})
	}
	random := rand.New(rand.NewPCG(seed, seed))
	for i := range 2 * loadSteps * loadGroups * groupTexts {
		step := i / (loadGroups * groupTexts)
		length := max(min(math.Round(14*math.Exp(0.9*random.NormFloat64())), longest), 1)
		each := &text{owner: step % 2, step: step, group: i / groupTexts, length: length}
		each.hint = int64(max(length*tokensPerEvent*math.Exp(0.5*random.NormFloat64()), 1))
		each.begins = time.Duration(step/2) * loadStep
		each.Item = Item{Model: fmt.Sprint(step % 2), BatchSince: testStart.Add(each.begins)}
		made.texts = append(made.texts, each)
	}
	return made
}

// connect takes a resting connection of an owner to an engine, or makes one.
func (l *load) connect(owner int, engine string, now time.Duration) {
	key := fmt.Sprint(owner, engine)
	resting := slices.DeleteFunc(l.rests[key], func(until time.Duration) bool { return until < now })
	if len(resting) == 0 {
		l.connections++
	} else {
		resting = resting[1:]
	}
	l.rests[key] = resting
}

// play steps until all texts are whole.
func (l *load) play() {
	open := len(l.texts)
	for now := time.Duration(0); open > 0; now += loadTick {
		for owner := range 2 {
			l.plan(owner, now)
		}
		loads := map[string]float64{}
		for _, each := range l.texts {
			if each.Engine != "" {
				loads[each.Engine] += loadOf(each.made)
			}
		}
		for _, each := range l.texts {
			if each.Engine == "" || now < each.done {
				continue
			}
			pace := l.engine(each.Engine).Pace
			each.made += float64(loadTick) / (float64(pace) * (1 + loads[each.Engine]))
			if each.made >= each.length {
				key := fmt.Sprint(each.owner, each.Engine)
				l.rests[key] = append(l.rests[key], now+restsFor)
				each.whole, each.done, each.Engine = true, now+loadTick, ""
				l.lengths.Finished(each.hint, int(each.length))
				open--
			}
		}
	}
}

func (l *load) engine(id string) *Engine {
	return &l.engines[slices.IndexFunc(l.engines, func(each Engine) bool { return each.ID == id })]
}

// plan lets an owner decide and does what it says.
func (l *load) plan(owner int, now time.Duration) {
	snapshot := Snapshot{Engines: slices.Clone(l.engines), Settled: now%(250*time.Millisecond) != 0}
	var own []*text
	for _, each := range l.texts {
		switch {
		case each.whole || each.begins > now:
		case each.owner == owner:
			each.Done = int(each.made)
			each.Remaining, each.Waited = l.lengths.Remaining(each.hint, each.Done), now-each.begins
			if l.planned {
				each.Most = l.lengths.Most(each.hint, each.Done)
			}
			each.RunFor = now - each.done
			own, snapshot.Items = append(own, each), append(snapshot.Items, each.Item)
		}
	}
	for i := range snapshot.Engines {
		engine := &snapshot.Engines[i]
		for _, each := range l.texts {
			switch {
			case each.Engine != engine.ID:
			case each.owner == owner:
				engine.InFlight++
			default:
				engine.Others++
			}
		}
		for _, until := range l.rests[fmt.Sprint(owner, engine.ID)] {
			if until >= now {
				engine.Connected++
			}
		}
		engine.Pace = time.Duration(float64(engine.Pace) * (1 + 0.007*float64(engine.InFlight+engine.Others)))
	}
	for _, decision := range Plan(snapshot) {
		item, engine, delay := 0, 0, 20*time.Millisecond
		switch decision := decision.(type) {
		case Start:
			item, engine = decision.Item, decision.Engine
		case Move:
			item, engine, delay = decision.Item, decision.Engine, moveCost
			l.moves++
		}
		own[item].Engine, own[item].done = l.engines[engine].ID, now+delay
		l.connect(owner, l.engines[engine].ID, now)
	}
}

// ends returns in how long each step had the groups that it needs, and in how long it
// could have had them: its longest needed text at a fast engine.
func (l *load) ends() (took, bound []time.Duration) {
	for step := range 2 * loadSteps {
		var wholes, bounds []time.Duration
		for group := range loadGroups {
			whole, least := time.Duration(0), time.Duration(0)
			for i := range groupTexts {
				each := l.texts[(step*loadGroups+group)*groupTexts+i]
				whole, least = max(whole, each.done-each.begins), max(least, time.Duration(each.length)*fastPace)
			}
			wholes, bounds = append(wholes, whole), append(bounds, least)
		}
		slices.Sort(wholes)
		slices.Sort(bounds)
		took, bound = append(took, wholes[neededOf-1]), append(bound, bounds[neededOf-1])
	}
	return took, bound
}

func mean(of []time.Duration) (mean time.Duration) {
	for _, each := range of {
		mean += each / time.Duration(len(of))
	}
	return mean
}

func TestTheLoadOfUnevenTexts(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(4) {
		for _, planned := range []bool{false, true} {
			load := newLoad(seed+1, planned)
			load.play()
			took, bound := load.ends()
			t.Logf("seed %d, planned %v: steps took %v, bound %v, worst %v; %d texts, %d connections, %d moves", seed+1, planned, mean(took), mean(bound), slices.Max(took), len(load.texts), load.connections, load.moves)
		}
	}
	is.True(true)
}
