package chaos

import (
	"context"
	"sync"
	"time"

	"woodworks/internal/client"
	"woodworks/internal/lab/enginestand"
	"woodworks/internal/lab/floor"
	"woodworks/internal/lab/logstand"
	"woodworks/internal/lab/plainstand"
	"woodworks/internal/lab/weightstand"
	"woodworks/internal/lab/workload"
	"woodworks/internal/platform/machinelist"
)

// fault is one kind of fault with its share of the draws.
type fault struct {
	name   string
	weight int
	inject func(*run)
}

// faults lists every kind. A draw whose victim is already in hand does nothing.
var faults []fault

func init() {
	faults = []fault{
		{"kill daemon", 4, (*run).killDaemon},
		{"freeze daemon", 5, (*run).freezeDaemon},
		{"planned stop", 5, (*run).stopDaemon},
		{"cut daemon from peers", 4, (*run).isolateDaemon},
		{"cut daemon from log", 3, (*run).cutFromLog},
		{"cut daemon from all", 4, (*run).cutFromAll},
		{"log down", 3, (*run).logDown},
		{"log slow", 2, (*run).logSlow},
		{"log loses answers", 3, (*run).logLosesAnswers},
		{"weight store down", 2, (*run).storeDown},
		{"kill engine", 4, (*run).killEngine},
		{"freeze engine", 3, (*run).freezeEngine},
		{"engine leaves", 3, (*run).engineLeaves},
		{"back end leaves by list", 2, (*run).listLeaves},
		{"back end leaves by order", 2, (*run).orderLeaves},
		{"swaps fail halfway", 3, (*run).swapsFail},
		{"streams break", 3, (*run).streamsBreak},
		{"back end cuts answers", 4, (*run).answersCut},
		{"kill back end", 2, (*run).killPlain},
		{"operators race", 6, (*run).operatorsRace},
	}
}

func totalWeight() int {
	total := 0
	for _, candidate := range faults {
		total += candidate.weight
	}
	return total
}

const (
	stopTimeout = 40 * time.Second
	// leavingGrace is what "a few seconds" is taken to be.
	leavingGrace = 3 * time.Second
)

func (one *run) anyDaemon() *floor.Daemon {
	return one.floor.Daemons[one.random.IntN(len(one.floor.Daemons))]
}

func (one *run) anyEngine() *floor.Backend {
	return one.floor.Engines[one.random.IntN(len(one.floor.Engines))]
}

func (one *run) anyPlain() *floor.Backend {
	return one.floor.Plains[one.random.IntN(len(one.floor.Plains))]
}

// killAndRestart kills a process and starts it again after a while.
func (one *run) killAndRestart(process *floor.Process) {
	if !one.claim(process.Name) {
		return
	}
	away := one.between(500*time.Millisecond, 4*time.Second)
	one.say("kill %s for %s", process.Name, away.Round(time.Millisecond))
	process.Kill()
	one.heal(away, func() {
		if err := process.Restart(); err != nil {
			one.say("restart %s: %v", process.Name, err)
		}
		one.release(process.Name)
	})
}

func (one *run) freeze(process *floor.Process, lowest, highest time.Duration) {
	if !one.claim(process.Name) {
		return
	}
	frozen := one.between(lowest, highest)
	one.say("freeze %s for %s", process.Name, frozen.Round(time.Millisecond))
	process.Freeze()
	one.heal(frozen, func() {
		process.Thaw()
		one.release(process.Name)
	})
}

func (one *run) killDaemon() { one.killAndRestart(one.anyDaemon().Process) }
func (one *run) killEngine() { one.killAndRestart(one.anyEngine().Process) }
func (one *run) freezeDaemon() {
	one.freeze(one.anyDaemon().Process, 300*time.Millisecond, 9*time.Second)
}
func (one *run) freezeEngine() {
	one.freeze(one.anyEngine().Process, 300*time.Millisecond, 5*time.Second)
}

// killPlain keeps the ledger: a back end's stand-in must not forget what it
// executed, so it is frozen for long instead, which callers cannot tell apart.
func (one *run) killPlain() { one.freeze(one.anyPlain().Process, 2*time.Second, 6*time.Second) }

// stopDaemon stops a daemon by plan while requests are in flight at it, each
// of which must get its whole answer, and starts it again.
func (one *run) stopDaemon() {
	daemon := one.anyDaemon()
	if !one.claim(daemon.Name) {
		return
	}
	one.say("planned stop of %s", daemon.Name)
	one.healing.Add(1)
	go func() {
		defer one.healing.Done()
		defer one.release(daemon.Name)
		inFlight := one.sendInFlight(daemon)
		stopped := daemon.Terminate(stopTimeout)
		one.ledger.Check(workload.NothingCut, stopped, "%s did not stop cleanly within %s", daemon.Name, stopTimeout)
		if !stopped {
			daemon.Kill()
		}
		inFlight.Wait()
		time.Sleep(time.Second)
		if err := daemon.Restart(); err != nil {
			one.say("restart %s: %v", daemon.Name, err)
		}
	}()
}

const (
	inFlightStreams = 4
	inFlightLead    = 60 * time.Millisecond
	inFlightTokens  = 400
)

// sendInFlight starts streams at a daemon and waits until they are under way.
// A stream that ends without a final answer was cut off.
func (one *run) sendInFlight(daemon *floor.Daemon) *sync.WaitGroup {
	inFlight := &sync.WaitGroup{}
	for i := range inFlightStreams {
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			caller := client.New(daemon.Public, one.options.Site.Trainer)
			_, err := caller.Stream(ctx, client.SampleRequest{Trainer: one.options.Site.Trainer, Prompt: "in flight", Seed: uint64(i), MaxTokens: inFlightTokens})
			_, answered := client.AsProblem(err)
			one.ledger.Check(workload.NothingCut, err == nil || answered, "a stream at %s was cut off by its planned stop: %v", daemon.Name, err)
		}()
	}
	time.Sleep(inFlightLead)
	return inFlight
}

// cutPeers cuts a daemon off from all others, both ways, and returns the healing.
func (one *run) cutPeers(victim *floor.Daemon) func() {
	for _, other := range one.floor.Daemons {
		if other != victim {
			one.floor.Network.Cut(victim.Host, other.Host)
			one.floor.Network.Cut(other.Host, victim.Host)
		}
	}
	return func() {
		for _, other := range one.floor.Daemons {
			one.floor.Network.Heal(victim.Host, other.Host)
			one.floor.Network.Heal(other.Host, victim.Host)
		}
	}
}

func (one *run) isolateDaemon() {
	if !one.claim("network") {
		return
	}
	victim := one.anyDaemon()
	lasting := one.between(time.Second, 9*time.Second)
	one.say("cut %s from its peers for %s", victim.Name, lasting.Round(time.Millisecond))
	healPeers := one.cutPeers(victim)
	one.heal(lasting, func() {
		healPeers()
		one.release("network")
	})
}

// logFaults sets the log's faults for a while.
func (one *run) logFaults(name string, faults logstand.Faults, lasting time.Duration, alsoAtEnd func()) {
	if !one.claim("log") {
		alsoAtEnd()
		return
	}
	one.say("%s for %s", name, lasting.Round(time.Millisecond))
	_ = floor.PostJSON(one.floor.LogURL+"/admin/faults", faults)
	one.heal(lasting, func() {
		_ = floor.PostJSON(one.floor.LogURL+"/admin/faults", logstand.Faults{})
		alsoAtEnd()
		one.release("log")
	})
}

func nothing() {}

func (one *run) logDown() {
	one.logFaults("log down", logstand.Faults{Down: true}, one.between(time.Second, 10*time.Second), nothing)
}

func (one *run) logSlow() {
	one.logFaults("log slow", logstand.Faults{SlowMillis: 300}, one.between(time.Second, 6*time.Second), nothing)
}

func (one *run) logLosesAnswers() {
	one.logFaults("log loses answers", logstand.Faults{LoseAnswers: 0.6}, one.between(2*time.Second, 8*time.Second), nothing)
}

func (one *run) cutFromLog() {
	victim := one.anyDaemon()
	one.logFaults("cut "+victim.Name+" from the log", logstand.Faults{RefuseFrom: []string{victim.Host}}, one.between(time.Second, 8*time.Second), nothing)
}

// cutFromAll cuts a daemon off from log and peers, and has a change published
// at another: the one cut off must stop admitting before the change is due.
func (one *run) cutFromAll() {
	if !one.claim("network") {
		return
	}
	index := one.random.IntN(len(one.floor.Daemons))
	victim := one.floor.Daemons[index]
	lasting := one.between(inForceWithin+2*time.Second, inForceWithin+5*time.Second)
	healPeers := one.cutPeers(victim)
	one.logFaults("cut "+victim.Name+" from log and peers", logstand.Faults{RefuseFrom: []string{victim.Host}}, lasting, func() {
		healPeers()
		one.release("network")
	})
	one.publishOne(index + 1)
}

func (one *run) storeDown() {
	if !one.claim("store") {
		return
	}
	_ = floor.PostJSON(one.floor.StoreURL+"/admin/faults", weightstand.Faults{Down: true})
	one.heal(one.between(time.Second, 5*time.Second), func() {
		_ = floor.PostJSON(one.floor.StoreURL+"/admin/faults", weightstand.Faults{})
		one.release("store")
	})
}

// backendFaults sets a back end's faults for a while.
func (one *run) backendFaults(backend *floor.Backend, name string, faults, none any, lasting time.Duration) {
	if !one.claim(backend.Name) {
		return
	}
	one.say("%s: %s for %s", backend.Name, name, lasting.Round(time.Millisecond))
	url := "http://" + backend.Machine.Address + "/admin/faults"
	_ = floor.PostJSON(url, faults)
	one.heal(lasting, func() {
		_ = floor.PostJSON(url, none)
		one.release(backend.Name)
	})
}

func (one *run) swapsFail() {
	one.backendFaults(one.anyEngine(), "swaps fail halfway", enginestand.Faults{FailSwaps: 0.7}, enginestand.Faults{}, one.between(2*time.Second, 6*time.Second))
}

func (one *run) streamsBreak() {
	one.backendFaults(one.anyEngine(), "streams break", enginestand.Faults{BreakStreams: 0.3}, enginestand.Faults{}, one.between(2*time.Second, 6*time.Second))
}

func (one *run) answersCut() {
	one.backendFaults(one.anyPlain(), "answers cut", plainstand.Faults{CloseAfterRead: 0.3, Truncate: 0.2}, plainstand.Faults{}, one.between(2*time.Second, 6*time.Second))
}

// noteLeaving records a span in which a back end must get no work: from the
// grace after it began until just before it ended.
func (one *run) noteLeaving(backend *floor.Backend, from, until time.Time) {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	one.leavings = append(one.leavings, leaving{backend: backend, from: from.Add(leavingGrace), until: until})
}

// engineLeaves makes an engine report that it leaves, then replaces it.
func (one *run) engineLeaves() {
	engine := one.anyEngine()
	if !one.claim(engine.Name) {
		return
	}
	one.say("%s leaves", engine.Name)
	from := time.Now()
	_ = floor.PostJSON("http://"+engine.Machine.Address+"/admin/faults", enginestand.Faults{Leaving: true})
	one.heal(6*time.Second, func() {
		one.noteLeaving(engine, from, time.Now())
		one.checkLeaving(engine, from.Add(leavingGrace), time.Now())
		engine.Kill()
		if err := engine.Restart(); err != nil {
			one.say("restart %s: %v", engine.Name, err)
		}
		one.release(engine.Name)
	})
}

// listLeaves lists a plain back end as leaving for a while.
func (one *run) listLeaves() {
	backend := one.anyPlain()
	if !one.claim(backend.Name) {
		return
	}
	one.say("%s leaves by the machine list", backend.Name)
	machine := backend.Machine
	machine.State = machinelist.Leaving
	_ = one.floor.ListMachine(machine)
	from := time.Now().Add(listLag)
	one.heal(6*time.Second, func() {
		one.noteLeaving(backend, from, time.Now())
		_ = one.floor.ListMachine(backend.Machine)
		one.release(backend.Name)
	})
}

// orderLeaves drains a plain back end by an operator's order for a while.
func (one *run) orderLeaves() {
	backend := one.anyPlain()
	if !one.claim(backend.Name) {
		return
	}
	order := func(undo bool) bool {
		body := struct {
			Machine string `json:"machine"`
			Undo    bool   `json:"undo,omitempty"`
		}{backend.Name, undo}
		for try := range 40 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := one.floor.Operator(try).JSON(ctx, "POST", "/v1/drains", body, nil)
			cancel()
			if err == nil {
				return true
			}
			time.Sleep(100 * time.Millisecond)
		}
		return false
	}
	one.say("%s is drained by order", backend.Name)
	one.healing.Add(1)
	go func() {
		defer one.healing.Done()
		defer one.release(backend.Name)
		if order(false) {
			from := time.Now()
			time.Sleep(6 * time.Second)
			one.noteLeaving(backend, from, time.Now())
		}
		order(true)
	}()
}

// checkLeavings checks the plain back ends' ledgers, which outlive their spans.
func (one *run) checkLeavings() {
	for _, span := range one.leavings {
		if span.backend.Machine.Service == one.options.Site.PlainService {
			one.checkLeaving(span.backend, span.from, span.until)
		}
	}
}

// checkLeaving checks that a back end began nothing in a span. A daemon that
// is cut off from everyone at the time cannot have heard; it must have stopped
// admitting by its own bound, which the grace covers.
func (one *run) checkLeaving(backend *floor.Backend, from, until time.Time) {
	var ledger []struct {
		At int64 `json:"at_ms"`
	}
	if err := floor.GetJSON("http://"+backend.Machine.Address+"/admin/ledger", &ledger); err != nil {
		return
	}
	late := 0
	for _, entry := range ledger {
		if entry.At > from.UnixMilli() && entry.At < until.UnixMilli() {
			late++
		}
	}
	one.ledger.Check(workload.LeavingIdle, late == 0, "%s was given %d requests while it was leaving", backend.Name, late)
}
