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

// The simulated engines run simSlots texts each, queue simQueue more and decline the rest. Owners
// dispatch at every tick and report to each other every reportTicks.
const (
	simEngines   = 20
	simSlots     = 8
	simQueue     = 4
	tickDuration = 10 * time.Millisecond
	reportTicks  = 10
	avoidTicks   = 12
)

// simText is a text with the engine that it is at and the ticks that it still runs.
type simText struct {
	engine    int // -1 while the text waits at its owner
	running   bool
	remaining int
}

// simOwner is an owner with its texts, in the order in which they should start.
type simOwner struct {
	sharing      *engineSharing
	number       uint64
	startTick    int // start of the burst
	texts        []*simText
	avoidedUntil [simEngines]int
	endTick      int
}

// simulation simulates owners that share engines.
type simulation struct {
	tick             int
	owners           []*simOwner
	queued, declines int // ticks that texts spent in engines' queues; number of declined texts
}

func newSimulation(share bool, seed uint64, bursts ...[2]int) *simulation {
	s := &simulation{}
	random := rand.New(rand.NewPCG(seed, 1))
	for i, burst := range bursts {
		owner := &simOwner{startTick: burst[0]}
		if share {
			run := fmt.Sprintf("d%d/1", i)
			owner.sharing = newEngineSharing(run, occupancy.NewTable(run, s.now, zap.NewNop()), func() {}, zap.NewNop())
		}
		for range burst[1] {
			owner.texts = append(owner.texts, &simText{engine: -1, remaining: 50 + random.IntN(400)})
		}
		s.owners = append(s.owners, owner)
	}
	return s
}

func (s *simulation) now() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(s.tick) * tickDuration)
}

// run runs the simulation until all texts have ended.
func (s *simulation) run(t *testing.T) {
	for ended := false; !ended; s.tick++ {
		if s.tick > 20000 {
			t.Fatal("texts have not ended after 20000 ticks")
		}
		s.advance()
		ended = true
		for _, owner := range s.owners {
			if s.tick%reportTicks == 0 {
				s.sendReport(owner)
			}
			if s.tick >= owner.startTick {
				s.dispatch(owner)
			}
			ended = ended && owner.endTick > 0
		}
	}
}

// advance runs the texts at the engines for one tick: those that run already, then queued ones.
func (s *simulation) advance() {
	var running [simEngines]int
	for _, queued := range []bool{false, true} {
		for _, owner := range s.owners {
			for _, text := range owner.texts {
				if text.engine < 0 || text.running == queued {
					continue
				}
				if queued && running[text.engine] >= simSlots {
					s.queued++
					continue
				}
				text.running = true
				running[text.engine]++
				text.remaining--
			}
		}
	}
	for _, owner := range s.owners {
		open := owner.texts[:0]
		for _, text := range owner.texts {
			if text.remaining > 0 {
				open = append(open, text)
			}
		}
		owner.texts = open
		if len(open) == 0 && owner.endTick == 0 {
			owner.endTick = s.tick
		}
	}
}

func (s *simulation) inFlight(engine int) (requests int) {
	for _, owner := range s.owners {
		requests += owner.inFlight(engine)
	}
	return requests
}

func (o *simOwner) inFlight(engine int) (requests int) {
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
			InFlight: owner.inFlight(i),
			Avoided:  s.tick < owner.avoidedUntil[i],
		}
		snap.Engines = append(snap.Engines, owner.sharing.withReports(engine, rep, s.now()))
	}
	for _, text := range owner.texts {
		item := scheduling.Item{RemainingEvents: 100}
		if text.engine >= 0 {
			item.Engine = fmt.Sprintf("e%d", text.engine)
		}
		snap.Items = append(snap.Items, item)
	}
	for _, decision := range owner.sharing.holdBackStarts("s", &snap, scheduling.Plan(snap), s.now()) {
		start := decision.(scheduling.Start)
		if s.inFlight(start.Engine) >= simSlots+simQueue {
			s.declines++
			owner.avoidedUntil[start.Engine] = s.tick + avoidTicks
			continue
		}
		owner.texts[start.Item].engine = start.Engine
	}
}

// sendReport sends an owner's report to the other owners.
func (s *simulation) sendReport(owner *simOwner) {
	if owner.sharing == nil {
		return
	}
	owner.number++
	report := occupancy.Report{Sender: owner.sharing.self, Number: owner.number, SentMillis: s.now().UnixMilli()}
	for i := range simEngines {
		key := occupancy.KeyOf(fmt.Sprintf("e%d", i), time.Time{})
		report.Counts = append(report.Counts, occupancy.RequestCount{Replica: key, Requests: uint32(owner.inFlight(i))})
	}
	if demand, ok := owner.sharing.demands["s"]; ok {
		report.Demands = []occupancy.Demand{demand}
	}
	for _, other := range s.owners {
		if other != owner {
			other.sharing.table.Merge(report)
		}
	}
}

// Two owners with simultaneous bursts must not overfill engines: with reports their texts wait at
// the owners, not in queues, and both bursts end no later.
func TestReportsKeepOwnersFromOverfillingEngines(t *testing.T) {
	is := is.New(t)
	simulate := func(share bool) *simulation {
		s := newSimulation(share, 5, [2]int{0, 130}, [2]int{30, 130})
		s.run(t)
		t.Logf("reports %v: %d ticks in queues, %d declines, bursts ended at ticks %d and %d",
			share, s.queued, s.declines, s.owners[0].endTick, s.owners[1].endTick)
		return s
	}
	without, with := simulate(false), simulate(true)
	is.True(without.queued > 5000)
	is.True(without.declines > 10)
	is.True(with.queued <= without.queued/100)
	is.Equal(with.declines, 0)
	last := func(s *simulation) int { return max(s.owners[0].endTick, s.owners[1].endTick) }
	is.True(last(with) <= last(without)*105/100)
}

// Owners that start at the same instant have no reports yet. They must prefer different engines
// among equally good ones.
func TestSimultaneousOwnersPreferDifferentEngines(t *testing.T) {
	is := is.New(t)
	overfilled := func(share bool) (requests int) {
		s := newSimulation(share, 5, [2]int{0, 50}, [2]int{0, 50}, [2]int{0, 50})
		for _, owner := range s.owners {
			s.dispatch(owner)
		}
		for engine := range simEngines {
			requests += max(s.inFlight(engine)-simSlots, 0)
		}
		return requests
	}
	without, with := overfilled(false), overfilled(true)
	t.Logf("of 150 texts for 160 slots, %d without and %d with preferences exceed their engine's slots", without, with)
	is.Equal(without, 10)
	is.True(with <= 4)
}

// An owner with a long queue must leave slots to an owner whose burst starts later.
func TestLaterOwnerGetsItsShare(t *testing.T) {
	is := is.New(t)
	s := newSimulation(true, 5, [2]int{0, 800}, [2]int{200, 100})
	s.run(t)
	t.Logf("bursts ended at ticks %d and %d, %d ticks in queues, %d declines",
		s.owners[0].endTick, s.owners[1].endTick, s.queued, s.declines)
	is.True(s.owners[1].endTick < s.owners[0].endTick*2/3)
	is.Equal(s.declines, 0)
	// Holding slots free costs little: the last burst ends soon after the time that the work alone
	// takes.
	owners := newSimulation(true, 5, [2]int{0, 800}, [2]int{200, 100}).owners
	sum := 0
	for _, owner := range owners {
		for _, text := range owner.texts {
			sum += text.remaining
		}
	}
	minTicks := sum / (simEngines * simSlots)
	t.Logf("the work alone takes %d ticks", minTicks)
	is.True(s.owners[0].endTick <= minTicks*130/100)
}

// Items that wait for newer weights, although there is room, must not make other owners hold back
// starts.
func TestItemsWaitingForWeightsReserveNoSlots(t *testing.T) {
	is := is.New(t)
	s := newSimulation(true, 1, [2]int{0, 1}).owners[0].sharing
	snap := scheduling.Snapshot{
		Engines: []scheduling.Engine{
			{ID: "old", Slots: 2, Versions: map[string]int64{"m": 1}},
			{ID: "new", Slots: 2, InFlight: 2, Versions: map[string]int64{"m": 2}},
		},
		Items: []scheduling.Item{{Model: "m", MinVersion: 2}, {Model: "m", MinVersion: 2}},
	}
	s.holdBackStarts("s", &snap, nil, time.Unix(0, 0))
	is.Equal(s.demands["s"].Waiting, uint32(2)) // the only engine with the weights is full
	snap.Engines[1].InFlight = 1
	s.holdBackStarts("s", &snap, nil, time.Unix(0, 0))
	is.Equal(s.demands["s"].Waiting, uint32(0))
	is.Equal(s.demands["s"].InFlight, uint32(1))
}

// A reported event time is used if this daemon has none of the replica or only an older one.
func TestReportedEventTimeReplacesMissingOrStaleOne(t *testing.T) {
	is := is.New(t)
	s := newSimulation(true, 1, [2]int{0, 1}).owners[0].sharing
	now := time.Now()
	rep := replica.Replica{Entry: replica.Entry{ID: "e"}}
	report := func(age time.Duration) {
		s.table.Adopt(occupancy.Snapshot{
			Measurements: []occupancy.Measurement{occupancy.NewMeasurement(ReplicaKey(rep), 20*time.Millisecond, age)},
		})
	}
	eventTime := func(own, age time.Duration) time.Duration {
		rep.EventTime, rep.LastEventAt = own, now.Add(-age)
		return s.withReports(scheduling.Engine{EventTime: own}, rep, now).EventTime
	}
	is.Equal(eventTime(0, time.Hour), time.Duration(0))
	report(5 * time.Second)
	is.Equal(eventTime(0, time.Hour), 20*time.Millisecond)
	is.Equal(eventTime(40*time.Millisecond, time.Second), 40*time.Millisecond)
	is.Equal(eventTime(40*time.Millisecond, 4*time.Second), 40*time.Millisecond)
	is.Equal(eventTime(40*time.Millisecond, 6*time.Second), 20*time.Millisecond)
	var alone *engineSharing
	is.Equal(alone.withReports(scheduling.Engine{ID: "e", EventTime: 1}, rep, now),
		scheduling.Engine{ID: "e", EventTime: 1})
}

// The report contains the current requests. A stopping daemon wants no more slots, and a daemon
// without batches reports nothing.
func TestOccupancyReport(t *testing.T) {
	is := is.New(t)
	j, _ := newMovingJob(t)
	runner := j.r
	runner.wake = make(chan struct{}, 1)
	runner.self, runner.jobs = "d0/1", map[string]*job{"b": j}
	runner.ShareEngines(occupancy.NewTable("d0/1", time.Now, zap.NewNop()), func() {})
	runner.sharing.demands["s"] = occupancy.Demand{Service: 1, Waiting: 3}
	runner.table.RequestStarted("to")
	for range 5 {
		runner.table.ObserveEvent("from", 30*time.Millisecond)
	}
	report := runner.OccupancyReport()
	is.Equal(report.Demands, []occupancy.Demand{{Service: 1, InFlight: 1, Waiting: 3}})
	requests := uint32(0)
	for _, c := range report.Counts {
		requests += c.Requests
	}
	is.Equal(requests, uint32(1))
	is.Equal(len(report.Measurements), 1)
	is.Equal(report.Measurements[0].EventTime, uint32(300))
	runner.ReportReceived()
	is.Equal(len(runner.wake), 1) // items wait and there may be room
	runner.stopping.Store(true)
	is.Equal(runner.OccupancyReport().Demands[0].Waiting, uint32(0))
	delete(runner.jobs, "b")
	is.Equal(len(runner.OccupancyReport().Demands), 0)
}
