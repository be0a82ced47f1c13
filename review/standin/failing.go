package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"woodworks/platform/platformtest"
)

const (
	failingDaemons  = 12
	failingAttempts = 3
	// failTime is how long an engine works on an item that it can't do, until it answers 500.
	failTime = 400 * time.Millisecond
	// stopGap is the pause between the stops of a rolling restart.
	stopGap = time.Second
	stops   = 8
	badItem = "bad"
)

// arrival is an item that reached an engine.
type arrival struct {
	id, engine string
	from       *daemon
	inTouch    bool
	at         time.Time
	// answers is how many answers of 500 the item had had before.
	answers int
}

// failingEngine is an engine on which the items whose ids begin with badItem fail on every run.
type failingEngine struct {
	w  *world
	id string
	f  *failures
}

// failures is what all engines saw.
type failures struct {
	mu       sync.Mutex
	answers  map[string]int
	arrivals []arrival
	// starter is the daemon that started an item last.
	starter *daemon
}

func (e *failingEngine) start() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, e) }()
	entry := fmt.Sprintf(`{"Service":"engine","Address":%q,"Zone":"z","Version":"v1","Slots":8,"State":"ready","ColdRemainingMs":0,"Seq":1,"Models":[{"Name":"m","Version":1}],"born":%d}`,
		l.Addr(), time.Now().UnixMilli())
	return e.w.putServer(e.id, entry)
}

func (e *failingEngine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" {
		rw.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(rw, `{"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"Seq":0,"Waiting":0,"Running":0,"KvUsed":0,"KvTotal":103490,"Handles":0}`)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", id)
	if r.Header.Get("X-Expect-Replica") != e.id {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.f.arrive(e, id, r.RemoteAddr)
	rw.Header().Set("X-Server-Stamp", e.id+"."+id)
	if strings.HasPrefix(id, badItem) {
		select {
		case <-time.After(failTime):
		case <-r.Context().Done():
			return
		}
		e.f.answer(e, id)
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("X-Weight-Versions", "1")
	after, _ := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64)
	for n := after + 1; n <= platformtest.EventCount(id); n++ {
		select {
		case <-time.After(100 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, platformtest.EventData(id, n))
		_ = http.NewResponseController(rw).Flush()
	}
}

func (f *failures) arrive(e *failingEngine, id, from string) {
	ip, _, _ := net.SplitHostPort(from)
	a := arrival{id: id, engine: e.id, at: time.Now()}
	for _, d := range e.w.daemons {
		if d.ip == ip {
			a.from, a.inTouch = d, d.inTouch(a.at)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	a.answers = f.answers[id]
	f.arrivals = append(f.arrivals, a)
	f.starter = a.from
	if strings.HasPrefix(id, badItem) && a.from != nil {
		e.w.note("%s reaches %s from %s (in touch: %v) after %d answers of 500", id, e.id, a.from.name, a.inTouch, a.answers)
	}
}

func (f *failures) answer(e *failingEngine, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[id]++
	e.w.note("%s answers 500 to %s", e.id, id)
}

// failuresForgotten: an item fails on every run while the daemons are restarted in turn, first the
// one that started an item last.
func failuresForgotten(w *world) (string, error) {
	if err := w.serveStore(); err != nil {
		return "", err
	}
	w.store.Configure(platformtest.Configuration{
		Version: 1, Limits: platformtest.DefaultLimits,
		Routes: []platformtest.Route{{
			Name: "rollout", Host: host, PathPrefix: "/rollout/", Kind: "rollout", TimeoutMs: 10000, TargetLatencyMs: 400,
			Priority: 1, Service: "engine", MaxAttempts: failingAttempts, DeadlineMs: 7500, MaxQueueS: 60,
		}},
		Services: []platformtest.Service{{
			Name: "engine", MaxConns: 150, Engine: &platformtest.Engine{Slots: 8, Models: []platformtest.Model{{Name: model}}},
		}},
	})
	f := &failures{answers: map[string]int{}}
	for i := range 4 {
		if err := (&failingEngine{w: w, id: fmt.Sprintf("engine-%d", i+1), f: f}).start(); err != nil {
			return "", err
		}
	}
	if err := w.startDaemons(failingDaemons); err != nil {
		return "", err
	}
	time.Sleep(contactBound + time.Second)
	broken := 0
	for step := range 3 {
		n, err := f.step(w, step)
		if err != nil {
			return "", err
		}
		broken += n
		time.Sleep(stopGrace)
	}
	if broken > 0 {
		return fmt.Sprintf("BUDGET: %d times an item that fails on every run reached an engine once more after %d answers of 500", broken, 3*failingAttempts), nil
	}
	return "", nil
}

// step hands in a batch with an item that always fails, and restarts daemons until the trainer ends
// the batch at its deadline. It returns how often the rule was broken.
func (f *failures) step(w *world, step int) (broken int, err error) {
	batch := fmt.Sprintf("7c41e09b%02x", step)
	bad := fmt.Sprintf("%s%02x", badItem, step)
	b := platformtest.Batch{Step: step, Model: model, MinVersion: 1, Desired: 2}
	for i := range 8 {
		id := fmt.Sprintf("e5b2%02x%x", step, i)
		if i == 0 {
			id = bad
		}
		item := platformtest.NewItem(id, "/rollout/", model, fmt.Sprintf("g%d-%d", step, i/4))
		item.Body = []byte("body of " + id)
		b.Requests = append(b.Requests, item)
	}
	encoded, err := json.Marshal(b)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	a := w.call(w.daemons[step], http.MethodPost, "/rollout/"+batch, batch, string(encoded), 5*time.Second)
	w.note("trainer: batch %s submitted: %d", batch, a.status)
	if a.status != http.StatusAccepted {
		return 0, fmt.Errorf("the batch was not accepted: %d", a.status)
	}
	var stopping sync.WaitGroup
	stopped := map[*daemon]bool{}
	next := began.Add(700 * time.Millisecond)
	for range stops {
		time.Sleep(time.Until(next))
		next = next.Add(stopGap)
		f.mu.Lock()
		d := f.starter
		f.mu.Unlock()
		if !w.trouble || d == nil || stopped[d] {
			continue
		}
		stopped[d] = true
		w.note("platform: SIGTERM to %s, which started an item last", d.name)
		stopping.Go(func() { w.restart(d) })
		if time.Since(began) > 6500*time.Millisecond {
			break
		}
	}
	time.Sleep(time.Until(began.Add(7500 * time.Millisecond)))
	for try := range 4 {
		a = w.call(w.daemons[(step+5+try)%len(w.daemons)], http.MethodDelete, "/lots/"+batch, "", "", 2*time.Second)
		w.note("trainer: end of batch %s: %d", batch, a.status)
		if a.status == http.StatusOK {
			break
		}
	}
	stopping.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.arrivals {
		if a.id == bad && a.inTouch && a.answers >= 3*failingAttempts {
			broken++
		}
	}
	w.note("%s had %d answers of 500; the rule was broken %d times", bad, f.answers[bad], broken)
	return broken, nil
}
