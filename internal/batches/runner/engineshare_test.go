package runner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/batches/occupancy"
	"woodworks/internal/batches/scheduling"
	"woodworks/internal/replicas/replica"
)

// The simulation has some engines that run eight texts each and let four more wait; what comes
// beyond is declined. Owners look every tick, and hear of each other every tellTicks.
const (
	simEngines   = 20
	simSlots     = 8
	simQueue     = 4
	tick         = 10 * time.Millisecond
	tellTicks    = 10
	declineTicks = 12
)

// simText is one text: where it is and for how many ticks it still runs.
type simText struct {
	engine int // -1 while it waits at its owner
	runs   bool
	left   int
}

// simOwner is one owner with its texts, in the order in which they should start.
type simOwner struct {
	sharing *sharing
	number  uint64
	from    int // the tick of its burst
	texts   []*simText
	resting [simEngines]int
	ended   int
}

// simulation is some owners that share engines.
type simulation struct {
	tick             int
	owners           []*simOwner
	queued, declines int // ticks that texts waited in engines' queues, and texts declined
}

func newSimulation(hear bool, seed uint64, bursts ...[2]int) *simulation {
	s := &simulation{}
	random := rand.New(rand.NewPCG(seed, 1))
	for i, burst := range bursts {
		owner := &simOwner{from: burst[0]}
		if hear {
			run := fmt.Sprintf("d%d/1", i)
			owner.sharing = newSharing(run, occupancy.NewTable(run, s.now, zap.NewNop()), func() {}, zap.NewNop())
		}
		for range burst[1] {
			owner.texts = append(owner.texts, &simText{engine: -1, left: 50 + random.IntN(400)})
		}
		s.owners = append(s.owners, owner)
	}
	return s
}

func (s *simulation) now() time.Time { return time.Unix(1000, 0).Add(time.Duration(s.tick) * tick) }

// run plays until all texts have ended.
func (s *simulation) run(t *testing.T) {
	for over := false; !over; s.tick++ {
		if s.tick > 20000 {
			t.Fatal("texts never end")
		}
		s.work()
		over = true
		for _, owner := range s.owners {
			if s.tick%tellTicks == 0 {
				s.tell(owner)
			}
			if s.tick >= owner.from {
				s.dispatch(owner)
			}
			over = over && owner.ended > 0
		}
	}
}

// work has the engines run their texts for a tick, the first ones that came.
func (s *simulation) work() {
	var running [simEngines]int
	for _, waits := range []bool{false, true} {
		for _, owner := range s.owners {
			for _, text := range owner.texts {
				if text.engine < 0 || text.runs == waits {
					continue
				}
				if waits && running[text.engine] >= simSlots {
					s.queued++
					continue
				}
				text.runs = true
				running[text.engine]++
				text.left--
			}
		}
	}
	for _, owner := range s.owners {
		open := owner.texts[:0]
		for _, text := range owner.texts {
			if text.left > 0 {
				open = append(open, text)
			}
		}
		owner.texts = open
		if len(open) == 0 && owner.ended == 0 {
			owner.ended = s.tick
		}
	}
}

func (s *simulation) at(engine int) (requests int) {
	for _, owner := range s.owners {
		requests += owner.at(engine)
	}
	return requests
}

func (o *simOwner) at(engine int) (requests int) {
	for _, text := range o.texts {
		if text.engine == engine {
			requests++
		}
	}
	return requests
}

// dispatch starts texts of an owner as the scheduler decides.
func (s *simulation) dispatch(owner *simOwner) {
	snap := scheduling.Snapshot{NoMoves: true}
	for i := range simEngines {
		rep := replica.Replica{Entry: replica.Entry{ID: fmt.Sprintf("e%d", i)}}
		engine := scheduling.Engine{
			ID:       rep.ID,
			Slots:    simSlots,
			InFlight: owner.at(i),
			Avoided:  s.tick < owner.resting[i],
		}
		snap.Engines = append(snap.Engines, owner.sharing.withReports(engine, rep, s.now()))
	}
	for _, text := range owner.texts {
		item := scheduling.Item{Remaining: 100}
		if text.engine >= 0 {
			item.Engine = fmt.Sprintf("e%d", text.engine)
		}
		snap.Items = append(snap.Items, item)
	}
	for _, decision := range owner.sharing.inTurn("s", &snap, scheduling.Plan(snap), s.now()) {
		start := decision.(scheduling.Start)
		if s.at(start.Engine) >= simSlots+simQueue {
			s.declines++
			owner.resting[start.Engine] = s.tick + declineTicks
			continue
		}
		owner.texts[start.Item].engine = start.Engine
	}
}

// tell lets the others hear of an owner.
func (s *simulation) tell(owner *simOwner) {
	if owner.sharing == nil {
		return
	}
	owner.number++
	report := occupancy.Report{Sender: owner.sharing.self, Number: owner.number, Sent: s.now().UnixMilli()}
	for i := range simEngines {
		key := occupancy.KeyOf(fmt.Sprintf("e%d", i), time.Time{})
		report.Counts = append(report.Counts, occupancy.Count{Replica: key, Requests: uint32(owner.at(i))})
	}
	if demand, some := owner.sharing.demands["s"]; some {
		report.Demands = []occupancy.Demand{demand}
	}
	for _, other := range s.owners {
		if other != owner {
			other.sharing.table.Merge(report)
		}
	}
}

// Two owners whose bursts meet on the same engines filled some of them beyond their places:
// texts waited there or were declined. With what they tell each other texts wait at their
// owners, and start where room is; both bursts end no later.
func TestOwnersThatHearOfEachOtherDontOverfillEngines(t *testing.T) {
	is := is.New(t)
	play := func(hear bool) *simulation {
		s := newSimulation(hear, 5, [2]int{0, 130}, [2]int{30, 130})
		s.run(t)
		t.Logf("hear %v: %d ticks of waiting in queues, %d declines, bursts over at ticks %d and %d",
			hear, s.queued, s.declines, s.owners[0].ended, s.owners[1].ended)
		return s
	}
	before, after := play(false), play(true)
	is.True(before.queued > 5000)
	is.True(before.declines > 10)
	is.True(after.queued <= before.queued/100)
	is.Equal(after.declines, 0)
	last := func(s *simulation) int { return max(s.owners[0].ended, s.owners[1].ended) }
	is.True(last(after) <= last(before)*105/100)
}

// Owners that start at the same instant have heard nothing yet. Each begins with other ones
// of the engines that are as good, so that fewer are filled beyond their places.
func TestOwnersThatStartAtOnceChooseOtherEngines(t *testing.T) {
	is := is.New(t)
	overfilled := func(hear bool) (requests int) {
		s := newSimulation(hear, 5, [2]int{0, 50}, [2]int{0, 50}, [2]int{0, 50})
		for _, owner := range s.owners {
			s.dispatch(owner)
		}
		for engine := range simEngines {
			requests += max(s.at(engine)-simSlots, 0)
		}
		return requests
	}
	before, after := overfilled(false), overfilled(true)
	t.Logf("of 150 texts for 160 places %d and %d are one too many", before, after)
	is.Equal(before, 10)
	is.True(after <= 4)
}

// An owner with a long queue of its own leaves places to one that comes later: that one's
// burst is over well before, and long before it would be if it waited for the first to end.
func TestAnOwnerThatComesLaterGetsItsShare(t *testing.T) {
	is := is.New(t)
	s := newSimulation(true, 5, [2]int{0, 800}, [2]int{200, 100})
	s.run(t)
	t.Logf("bursts over at ticks %d and %d, %d ticks of waiting in queues, %d declines",
		s.owners[0].ended, s.owners[1].ended, s.queued, s.declines)
	is.True(s.owners[1].ended < s.owners[0].ended*2/3)
	is.Equal(s.declines, 0)
	// The engines lose little by what is left free: the work alone takes that many ticks.
	work := newSimulation(true, 5, [2]int{0, 800}, [2]int{200, 100}).owners
	sum := 0
	for _, owner := range work {
		for _, text := range owner.texts {
			sum += text.left
		}
	}
	least := sum / (simEngines * simSlots)
	t.Logf("the work alone takes %d ticks", least)
	is.True(s.owners[0].ended <= least*130/100)
}

// Items that wait beside room wait for something else, as for newer weights: others need not
// leave them places.
func TestItemsThatWaitForWeightsClaimNoPlaces(t *testing.T) {
	is := is.New(t)
	s := newSimulation(true, 1, [2]int{0, 1}).owners[0].sharing
	snap := scheduling.Snapshot{
		Engines: []scheduling.Engine{
			{ID: "old", Slots: 2, Versions: map[string]int64{"m": 1}},
			{ID: "new", Slots: 2, InFlight: 2, Versions: map[string]int64{"m": 2}},
		},
		Items: []scheduling.Item{{Model: "m", MinVersion: 2}, {Model: "m", MinVersion: 2}},
	}
	s.inTurn("s", &snap, nil, time.Unix(0, 0))
	is.Equal(s.demands["s"].Waiting, uint32(2)) // the engine that may run them is full
	snap.Engines[1].InFlight = 1
	s.inTurn("s", &snap, nil, time.Unix(0, 0))
	is.Equal(s.demands["s"].Waiting, uint32(0))
	is.Equal(s.demands["s"].InFlight, uint32(1))
}

// An event time that others measured counts where this daemon has none, or an older one.
func TestAnEventTimeOfOthersStandsInForTheOwn(t *testing.T) {
	is := is.New(t)
	s := newSimulation(true, 1, [2]int{0, 1}).owners[0].sharing
	now := time.Now()
	rep := replica.Replica{Entry: replica.Entry{ID: "e"}}
	told := func(age time.Duration) {
		s.table.Adopt(occupancy.Occupancy{
			Measured: []occupancy.Measurement{occupancy.NewMeasurement(KeyOf(rep), 20*time.Millisecond, age)},
		})
	}
	eventTime := func(own, age time.Duration) time.Duration {
		rep.EventTime, rep.LastEventAt = own, now.Add(-age)
		return s.withReports(scheduling.Engine{EventTime: own}, rep, now).EventTime
	}
	is.Equal(eventTime(0, time.Hour), time.Duration(0))
	told(5 * time.Second)
	is.Equal(eventTime(0, time.Hour), 20*time.Millisecond)
	is.Equal(eventTime(40*time.Millisecond, time.Second), 40*time.Millisecond)
	is.Equal(eventTime(40*time.Millisecond, 4*time.Second), 40*time.Millisecond)
	is.Equal(eventTime(40*time.Millisecond, 6*time.Second), 20*time.Millisecond)
	var alone *sharing
	is.Equal(alone.withReports(scheduling.Engine{ID: "e", EventTime: 1}, rep, now),
		scheduling.Engine{ID: "e", EventTime: 1})
}

// What is told is what is under way now. A daemon that stops wants nothing more, and one
// without batches has nothing to tell.
func TestWhatIsToldOfTheOwnRequests(t *testing.T) {
	is := is.New(t)
	j, _ := movedJob(t)
	runner := j.r
	runner.wake = make(chan struct{}, 1)
	runner.self, runner.jobs = "d0/1", map[string]*job{"b": j}
	runner.ShareEngines(occupancy.NewTable("d0/1", time.Now, zap.NewNop()), func() {})
	runner.shared.demands["s"] = occupancy.Demand{Service: 1, Waiting: 3}
	runner.table.RequestStarted("to")
	for range 5 {
		runner.table.ObserveEvent("from", 30*time.Millisecond)
	}
	report := runner.Occupied()
	is.Equal(report.Demands, []occupancy.Demand{{Service: 1, InFlight: 1, Waiting: 3}})
	requests := uint32(0)
	for _, c := range report.Counts {
		requests += c.Requests
	}
	is.Equal(requests, uint32(1))
	is.Equal(len(report.Measured), 1)
	is.Equal(report.Measured[0].EventTime, uint32(300))
	runner.HeardOfOthers()
	is.Equal(len(runner.wake), 1) // items wait, and there may be room
	runner.stopping.Store(true)
	is.Equal(runner.Occupied().Demands[0].Waiting, uint32(0))
	delete(runner.jobs, "b")
	is.Equal(len(runner.Occupied().Demands), 0)
}
