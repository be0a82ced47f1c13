// Command orphans has large batches refused while the store is slow, then takes a machine away, and checks
// that the step that runs then is run on. See review/4/claim.txt.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"woodworks/platform/platformtest"
	"woodworks/review/standin-2/lab"
)

const (
	service, host, model = "lm", "lm.example", "m"
	// answerTime is what the store takes for a call, slowFactor how much longer while it is slow.
	answerTime = 4 * time.Millisecond
	slowFactor = 60
	// slowTime is how long it is slow at a time.
	slowTime = 4500 * time.Millisecond
	// partRate is what a partition takes, in bytes a second.
	partRate = 20e6
	// maxStored is what the store keeps in total; further appends get 507.
	maxStored = 400 << 20
	// memoryMB is what the platform lets a process have.
	memoryMB = 294
	// items and bodyBytes are those of a large batch: 27 MB as JSON.
	items     = 110
	bodyBytes = 190 << 10
	// phases is how often the store is slow, submissions how many batches come in that time.
	phases, submissions = 4, 3
	engineCount, slots  = 3, 8
	eventGap            = 100 * time.Millisecond
	// The step has more items than the engines have slots; each takes two seconds. It runs out of time
	// stepTime after its first send. lossAfter its acceptance a machine is lost.
	stepItems, stepEvents = 60, 20
	stepTime              = 20 * time.Second
	lossAfter             = time.Second
	// mostAbsent is the bound of the rule, contactTime the time until machines are in touch again.
	mostAbsent, contactTime = 5 * time.Second, 3 * time.Second
)

// slowStore takes its time for each call, and for the bytes of an append, one at a time in a partition.
type slowStore struct {
	store http.Handler

	mu     sync.Mutex
	slow   bool
	parts  map[string]*sync.Mutex
	stored int64
}

func (s *slowStore) setSlow(slow bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = slow
}

func (s *slowStore) answerTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slow {
		return slowFactor * answerTime
	}
	return answerTime
}

func (s *slowStore) part(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

func (s *slowStore) keeps(bytes int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stored+bytes > maxStored {
		return false
	}
	s.stored += bytes
	return true
}

func (s *slowStore) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/log-append" {
		time.Sleep(s.answerTime())
		s.store.ServeHTTP(w, req)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	part := s.part(req.URL.Query().Get("topic") + "/" + req.URL.Query().Get("part"))
	part.Lock()
	time.Sleep(s.answerTime() + time.Duration(float64(len(body))/partRate*float64(time.Second)))
	kept := s.keeps(int64(len(body)))
	part.Unlock()
	if !kept {
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	s.store.ServeHTTP(w, req)
}

// resident returns the memory of a process in MB.
func resident(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes >> 10
		}
	}
	return 0
}

// platform kills a daemon that exceeds its memory and starts each that has ended again, as the pages say.
type platform struct {
	lab *lab.Lab

	mu    sync.Mutex
	gone  map[string]bool
	ends  map[string]int
	peaks map[string]int
}

func (p *platform) watch(d *lab.Daemon) {
	for {
		time.Sleep(20 * time.Millisecond)
		p.mu.Lock()
		gone := p.gone[d.Name]
		p.mu.Unlock()
		if gone {
			return
		}
		used := resident(d.PID())
		p.mu.Lock()
		p.peaks[d.Name] = max(p.peaks[d.Name], used)
		p.mu.Unlock()
		if used <= memoryMB {
			continue
		}
		d.Signal(syscall.SIGKILL)
		d.Wait()
		p.mu.Lock()
		p.ends[d.Name]++
		p.mu.Unlock()
		p.lab.Note("%s exceeds its memory (%d MB of %d) and is killed by the platform", d.Name, used, memoryMB)
		time.Sleep(300 * time.Millisecond)
		if err := d.Start(); err != nil {
			p.lab.Note("%v", err)
		}
	}
}

// lose takes a machine away for good.
func (p *platform) lose(d *lab.Daemon) {
	p.mu.Lock()
	p.gone[d.Name] = true
	p.mu.Unlock()
	d.Signal(syscall.SIGKILL)
	p.lab.Note("%s is lost for good", d.Name)
}

func newBatch(id string, count, bytes int) platformtest.Batch {
	batch := platformtest.Batch{Model: model, MinVersion: 1, Desired: 1}
	for i := range count {
		item := platformtest.NewItem(fmt.Sprintf("%s-%d", id, i), "/lm/", model, "g")
		item.Body = []byte(strings.Repeat("prompt ", bytes/7))
		batch.Requests = append(batch.Requests, item)
	}
	return batch
}

// submitLarge submits a large batch as a trainer does, with one further try at another daemon, and ends it.
func submitLarge(l *lab.Lab, id string, first int) {
	body, err := json.Marshal(newBatch(id, items, bodyBytes))
	if err != nil {
		panic(err)
	}
	for try := range 2 {
		d := l.Daemons[(first+try)%len(l.Daemons)]
		status, answer := d.Call(http.MethodPost, host, "/lm/"+id, map[string]string{"X-Attempt-Id": id, "Content-Type": "application/json"}, body, 6*time.Second)
		l.Note("large batch %s of %d MB at %s: %d %s", id, len(body)>>20, d.Name, status, answer)
		if status == http.StatusAccepted {
			break
		}
	}
	status, _ := l.Daemons[first].Call(http.MethodDelete, host, "/lots/"+id, nil, nil, 4*time.Second)
	l.Note("the end of %s: %d", id, status)
}

func run() (int, error) {
	store := &slowStore{parts: map[string]*sync.Mutex{}}
	l, err := lab.New(func(handler http.Handler) http.Handler {
		store.store = handler
		return store
	})
	if err != nil {
		return 2, err
	}
	limits := platformtest.DefaultLimits
	limits.MaxBodyBytes = 32 << 20
	l.Store.Configure(platformtest.Configuration{Version: 1, Limits: limits,
		Routes: []platformtest.Route{{Name: "lm", Host: host, PathPrefix: "/lm/", Kind: "rollout", TimeoutMs: 10000, TargetLatencyMs: 400,
			Service: service, MaxAttempts: 3, DeadlineMs: 7500, MaxQueueS: 60}},
		Services: []platformtest.Service{{Name: service, MaxConns: 150, Engine: &platformtest.Engine{Slots: 8, Models: []platformtest.Model{{Name: model}}}}}})
	engines, err := startEngines(l)
	if err != nil {
		return 2, err
	}
	if err := l.StartDaemons(2); err != nil {
		return 2, err
	}
	p := &platform{lab: l, gone: map[string]bool{}, ends: map[string]int{}, peaks: map[string]int{}}
	for _, d := range l.Daemons {
		go p.watch(d)
	}
	for phase := range phases {
		if lab.Trouble() {
			store.setSlow(true)
			time.AfterFunc(slowTime, func() { store.setSlow(false) })
			l.Note("the store is slow for %v", slowTime)
		}
		var trainers sync.WaitGroup
		for i := range submissions {
			trainers.Go(func() { submitLarge(l, fmt.Sprintf("large-%d-%d", phase, i), i%len(l.Daemons)) })
			time.Sleep(400 * time.Millisecond)
		}
		trainers.Wait()
		time.Sleep(3 * time.Second)
	}
	p.mu.Lock()
	l.Note("memory at most %v, ends %v, stored %d MB", p.peaks, p.ends, store.stored>>20)
	p.mu.Unlock()
	engines.longer()
	runStep(l, p, engines)
	p.mu.Lock()
	l.Note("memory at most %v MB, ends %v", p.peaks, p.ends)
	for _, d := range l.Daemons {
		p.gone[d.Name] = true
	}
	p.mu.Unlock()
	return l.Finish(os.Args[1]), nil
}

// runStep submits a step, takes a machine away while it runs, and applies the rule when its time is up.
func runStep(l *lab.Lab, p *platform, engines *engines) {
	const id = "step-1"
	sent := time.Now()
	if err := l.Submit(id, host, "/lm/"+id, newBatch(id, stepItems, 100)); err != nil {
		l.Note("%v", err)
		return
	}
	if lab.Trouble() || os.Getenv("LOSE") != "" {
		time.AfterFunc(lossAfter, func() { p.lose(l.Daemons[1]) })
	}
	listed := map[string]bool{}
	for time.Since(sent) < stepTime && len(listed) < stepItems {
		if status, page := l.Daemons[0].Results(id, host, len(listed)); status == http.StatusOK {
			for _, result := range page.Results {
				listed[result.ID] = true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	now := time.Now()
	l.Note("%d of %d items are listed after %.1f s", len(listed), stepItems, now.Sub(sent).Seconds())
	if len(listed) == stepItems {
		return
	}
	running, begun, finished, lastAt := engines.state(sent)
	l.Note("the step is out of time: %d items had begun, %d were finished, %d requests run on %d slots", begun, len(finished), running, engineCount*slots)
	for i := range stepItems {
		item := fmt.Sprintf("%s-%d", id, i)
		at, ok := lastAt[item]
		if !ok {
			at = sent.Add(lossAfter)
		}
		if absent := now.Sub(at); !finished[item] && begun > 0 && 2*running < engineCount*slots && absent > mostAbsent+contactTime {
			l.Broken(now, "LOST: %s, finished or failed by no replica, has been at no replica for %.1f s", item, absent.Seconds())
		}
	}
}

// engines are the replicas.
type engines struct {
	list []*lab.Engine

	mu     sync.Mutex
	events int64
}

func startEngines(l *lab.Lab) (*engines, error) {
	all := &engines{events: 10}
	for i := range engineCount {
		e := &lab.Engine{Lab: l, ID: fmt.Sprintf("i-%d", i+1), Service: service, Model: model, Slots: slots, EventGap: eventGap, Events: all.eventCount}
		if err := e.Start(); err != nil {
			return nil, err
		}
		all.list = append(all.list, e)
	}
	return all, nil
}

func (e *engines) eventCount(string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.events
}

// longer makes the texts of the step longer than those before.
func (e *engines) longer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = stepEvents
}

// state returns what has become of the items since a time: how many requests run at present, how many items
// have begun, which are finished, and until when each item was at a replica.
func (e *engines) state(since time.Time) (running, begun int, finished map[string]bool, lastAt map[string]time.Time) {
	finished, lastAt = map[string]bool{}, map[string]time.Time{}
	for _, engine := range e.list {
		running += engine.Running()
		for _, run := range engine.Runs() {
			if run.Begun.Before(since) {
				continue
			}
			end := run.Ended
			if end.IsZero() {
				end = time.Now()
			}
			if end.After(lastAt[run.ID]) {
				lastAt[run.ID] = end
			}
			if run.Last == stepEvents {
				finished[run.ID] = true
			}
		}
	}
	return running, len(lastAt), finished, lastAt
}

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
