// Command leftout takes the replica that runs one item of a step away four times, as planned, and checks
// that the item is not left at no replica afterwards. See review/7/claim.txt.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"woodworks/platform/platformtest"
	"woodworks/review/standin-2/lab"
)

const (
	service, host, model = "lm", "lm.example", "m"
	engines, slots       = 8, 8
	groups, groupSize    = 6, 4
	eventGap             = 40 * time.Millisecond
	// shortEvents and longEvents are the lengths of the texts; one item is long.
	shortEvents, longEvents = 20, 300
	longItem                = "step-0-0-0"
	// leaves is how many replicas leave, each runTime after it began the long item. One that leaves serves on
	// for the drain bound and a little longer.
	leaves  = 4
	runTime = 300 * time.Millisecond
	serveOn = lab.DrainBound + 300*time.Millisecond
	// stepTime is when the step runs out of time, counted from its first send.
	stepTime = 20 * time.Second
	// mostAbsent is the bound of the rule.
	mostAbsent = 5 * time.Second
)

type fleet struct {
	lab *lab.Lab

	mu      sync.Mutex
	engines []*lab.Engine
	left    int
	// lastEnd is when the last replica that left has ended.
	lastEnd time.Time
}

func (f *fleet) add() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := &lab.Engine{Lab: f.lab, ID: fmt.Sprintf("i-%d", len(f.engines)+1), Service: service, Model: model, Slots: slots, EventGap: eventGap,
		Events: func(id string) int64 {
			if id == longItem {
				return longEvents
			}
			return shortEvents
		}}
	e.OnRun = func(run *lab.Run) { f.begun(e, run) }
	f.engines = append(f.engines, e)
	return e.Start()
}

// begun lets the engine leave soon if it has begun the long item. Another engine starts first.
func (f *fleet) begun(e *lab.Engine, run *lab.Run) {
	f.lab.Note("%s runs %s after event %d", e.ID, run.ID, run.After)
	if run.ID != longItem || !lab.Trouble() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left == leaves {
		return
	}
	f.left++
	time.AfterFunc(runTime, func() {
		if err := f.add(); err != nil {
			f.lab.Note("%v", err)
		}
		e.Leave(serveOn)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.lastEnd = time.Now()
	})
}

// at returns where the long item runs at present, or since when it has been at no replica.
func (f *fleet) at(since time.Time) (engine string, absentSince time.Time, running int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	absentSince = since
	for _, e := range f.engines {
		running += e.Running()
		for _, run := range e.Runs() {
			switch {
			case run.ID != longItem:
			case run.Ended.IsZero():
				engine = e.ID
			case run.Ended.After(absentSince):
				absentSince = run.Ended
			}
		}
	}
	return engine, absentSince, running
}

func run() (int, error) {
	l, err := lab.New(nil)
	if err != nil {
		return 2, err
	}
	l.Store.Configure(platformtest.Configuration{Version: 1, Limits: platformtest.DefaultLimits,
		Routes: []platformtest.Route{{Name: "lm", Host: host, PathPrefix: "/lm/", Kind: "rollout", TimeoutMs: 10000, TargetLatencyMs: 400,
			Service: service, MaxAttempts: 3, DeadlineMs: 20000, MaxQueueS: 30}},
		Services: []platformtest.Service{{Name: service, MaxConns: 150, Engine: &platformtest.Engine{Slots: slots, Models: []platformtest.Model{{Name: model}}}}}})
	f := &fleet{lab: l}
	for range engines {
		if err := f.add(); err != nil {
			return 2, err
		}
	}
	if err := l.StartDaemons(3); err != nil {
		return 2, err
	}
	batch := platformtest.Batch{Model: model, MinVersion: 1, Desired: groups}
	for g := range groups {
		for i := range groupSize {
			item := platformtest.NewItem(fmt.Sprintf("step-0-%d-%d", g, i), "/lm/", model, fmt.Sprintf("g%d", g))
			item.Body = []byte(fmt.Sprintf("prompt of group %d, item %d", g, i))
			batch.Requests = append(batch.Requests, item)
		}
	}
	sent := time.Now()
	if err := l.Submit("step-0", host, "/lm/step-0", batch); err != nil {
		return 2, err
	}
	listed, whole := 0, false
	for time.Since(sent) < stepTime {
		status, page := l.Daemons[1].Results("step-0", host, listed)
		if status == http.StatusOK {
			for _, result := range page.Results {
				l.Note("listed: %s %s", result.ID, result.State)
			}
			listed += len(page.Results)
			whole = listed == groups*groupSize
		}
		if whole {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	judge(l, f, sent, listed, whole)
	status, _ := l.Daemons[2].Call(http.MethodDelete, host, "/lots/step-0", nil, nil, 4*time.Second)
	l.Note("the trainer ends the batch: %d", status)
	return l.Finish(os.Args[1]), nil
}

// judge applies the rule at the moment at which the step is whole or out of time.
func judge(l *lab.Lab, f *fleet, sent time.Time, listed int, whole bool) {
	now := time.Now()
	if whole {
		l.Note("the step is whole after %.2f s", now.Sub(sent).Seconds())
		return
	}
	engine, since, running := f.at(sent)
	f.mu.Lock()
	calm := now.Sub(f.lastEnd)
	f.mu.Unlock()
	l.Note("the step is out of time with %d of %d items listed; the long item is at %q; %d requests run on %d slots; nothing was wrong for %.2f s",
		listed, groups*groupSize, engine, running, engines*slots, calm.Seconds())
	absent := now.Sub(since)
	if engine == "" && absent > mostAbsent && calm > mostAbsent && 2*running < engines*slots {
		l.Broken(now, "LOST: %s, finished or failed by no replica, has been at no replica for %.2f s", longItem, absent.Seconds())
	}
}

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
