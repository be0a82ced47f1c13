package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"woodworks/platform/platformtest"
)

const (
	// The store loses answers for lostFor, of at most maxLostShare of the writes, and does what
	// was asked lateBy later.
	lostFor      = 4500 * time.Millisecond
	maxLostShare = 0.35
	lateBy       = 5500 * time.Millisecond
	// trainerWait is how long the trainer waits for the answer to one try.
	trainerWait = 2 * time.Second
	// trainerDeadline is the route's DeadlineMs: the trainer ends its batch then.
	trainerDeadline = 4100 * time.Millisecond
	watchedTime     = 24 * time.Second
)

// lossyStore loses the answers to the writes that name one batch.
type lossyStore struct {
	w    *world
	next http.Handler

	mu           sync.Mutex
	victim       string
	until        time.Time
	writes, lost int
	lastEffect   time.Time
}

// lose begins the disruption: answers to writes that name the victim are lost from now on.
func (s *lossyStore) lose(victim string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.victim, s.until = victim, time.Now().Add(lostFor)
}

// loses decides whether the answer to an append is lost.
func (s *lossyStore) loses(body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.victim == "" || time.Now().After(s.until) {
		return false
	}
	s.writes++
	// The end of the batch, a short record, is not among the lost ones.
	if len(body) < 1000 || !bytes.Contains(body, []byte(s.victim)) {
		return false
	}
	s.lost++
	s.lastEffect = time.Now().Add(lateBy)
	return true
}

func (s *lossyStore) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/log-append" {
		s.next.ServeHTTP(rw, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	again := func() *http.Request {
		req, _ := http.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
		return req
	}
	if !s.loses(body) {
		s.next.ServeHTTP(rw, again())
		return
	}
	s.w.note("store: the answer to a write of %d bytes to %s is lost; it is done in %v", len(body), r.URL.RawQuery, lateBy)
	time.AfterFunc(lateBy, func() {
		s.next.ServeHTTP(nowhere{}, again())
		s.w.note("store: did a write of %d bytes late", len(body))
	})
	<-r.Context().Done() // the connection says nothing more
	panic(http.ErrAbortHandler)
}

// nowhere is an answer that nobody gets.
type nowhere struct{}

func (nowhere) Header() http.Header         { return http.Header{} }
func (nowhere) Write(b []byte) (int, error) { return len(b), nil }
func (nowhere) WriteHeader(int)             {}

// configure puts a configuration with a rollout route in force and starts engines.
func (w *world) configure(engines, slots int, eventGap time.Duration) error {
	w.store.Configure(platformtest.Configuration{
		Version: 1, Limits: platformtest.DefaultLimits,
		Routes: []platformtest.Route{{
			Name: "rollout", Host: host, PathPrefix: "/rollout/", Kind: "rollout", TimeoutMs: 10000, TargetLatencyMs: 400,
			Priority: 1, Service: "engine", MaxAttempts: 3, DeadlineMs: int(trainerDeadline.Milliseconds()), MaxQueueS: 60,
		}},
		Services: []platformtest.Service{{
			Name: "engine", MaxConns: 150, Engine: &platformtest.Engine{Slots: slots, Models: []platformtest.Model{{Name: model}}},
		}},
	})
	for i := range engines {
		shape := platformtest.ReplicaShape{ID: fmt.Sprintf("engine-%d", i+1), Service: "engine", Zone: "z", Slots: slots,
			Engine: true, Models: []string{model}, EventGap: eventGap, LoadTime: 900 * time.Millisecond}
		if _, err := w.fleet.Start(shape, "127.0.0.1:0"); err != nil {
			return err
		}
	}
	return nil
}

// newBatch is the submission of a batch of groups of 4 items, whose ids begin with prefix.
func newBatch(prefix string, groups int) string {
	b := platformtest.Batch{Step: 0, Model: model, MinVersion: 1, Desired: groups * 9 / 10}
	for g := range groups {
		for i := range 4 {
			id := fmt.Sprintf("%s%02x%x", prefix, g, i)
			item := platformtest.NewItem(id, "/rollout/", model, fmt.Sprintf("%sg%d", prefix, g))
			item.Body = []byte("body of " + id)
			b.Requests = append(b.Requests, item)
		}
	}
	encoded, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	return string(encoded)
}

// endedBeforeAccepted: a trainer's submission has no certain outcome, at two daemons. At its deadline
// it ends the batch, which is acknowledged. Then the store does the writes whose answers were lost.
func endedBeforeAccepted(w *world) (string, error) {
	lossy := &lossyStore{w: w, next: w.store}
	w.front = lossy
	if err := w.serveStore(); err != nil {
		return "", err
	}
	if err := w.configure(3, 2, 250*time.Millisecond); err != nil {
		return "", err
	}
	if err := w.startDaemons(3); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	// Three other trainers keep the store busy with heartbeats.
	for i := range 3 {
		id := fmt.Sprintf("b%07x", i)
		a := w.call(w.daemons[i], http.MethodPost, "/rollout/"+id, id, newBatch("c"+id, 6), 5*time.Second)
		w.note("trainer %d: batch %s submitted: %d", i+1, id, a.status)
		if a.status != http.StatusAccepted {
			return "", fmt.Errorf("a batch of the background was not accepted: %d", a.status)
		}
	}
	const victim, prefix = "7c41e09b52d6a3f8", "e5b2907c"
	body := newBatch(prefix, 25)
	if w.trouble {
		lossy.lose(victim)
	}
	accepted, sent := false, time.Now()
	for try := range 2 {
		a := w.call(w.daemons[try], http.MethodPost, "/rollout/"+victim, victim, body, trainerWait)
		w.note("trainer: try %d to submit batch %s at %s: %d %s", try+1, victim, w.daemons[try].name, a.status, strings.TrimSpace(a.body))
		if a.status == http.StatusAccepted {
			accepted = true
			break
		}
	}
	if w.trouble && accepted {
		return "", fmt.Errorf("the submission was accepted, though answers to it were lost")
	}
	time.Sleep(time.Until(sent.Add(trainerDeadline)))
	var ended time.Time
	for try := 0; try < 3 && ended.IsZero(); try++ {
		a := w.call(w.daemons[2], http.MethodDelete, "/lots/"+victim, "", "", 5*time.Second)
		w.note("trainer: end of batch %s at %s: %d", victim, w.daemons[2].name, a.status)
		if a.status == http.StatusOK {
			ended = time.Now()
		}
	}
	if ended.IsZero() {
		return "", fmt.Errorf("the end was not acknowledged")
	}
	lossy.mu.Lock()
	writes, lost, lastEffect := lossy.writes, lossy.lost, lossy.lastEffect
	lossy.mu.Unlock()
	if w.trouble {
		w.note("store: so far %d of %d writes had their answers lost", lost, writes)
		if float64(lost) > maxLostShare*float64(writes) {
			return "", fmt.Errorf("%d of %d answers lost are more than the pages allow", lost, writes)
		}
	}
	// Arrivals count from CancelMs after the acknowledgement on, and while the machines are in
	// touch: ContactMs after the store has done the last late write.
	from := ended.Add(cancelBound)
	if inTouch := lastEffect.Add(contactBound); inTouch.After(from) {
		from = inTouch
	}
	w.note("items of the batch that reach a replica from %.3f on break the rule", from.Sub(w.began).Seconds())
	time.Sleep(time.Until(ended.Add(watchedTime)))
	early, late := 0, 0
	for _, run := range w.fleet.Runs() {
		if !strings.HasPrefix(run.ID, prefix) {
			continue
		}
		w.note("%s ran item %s from %.3f", run.Replica, run.ID, run.At.Sub(w.began).Seconds())
		if run.At.After(from) {
			late++
		} else if run.At.After(ended) {
			early++
		}
	}
	w.note("after the acknowledged end, %d items reached replicas before that time, %d after it", early, late)
	if late > 0 {
		return fmt.Sprintf("UNASKED: %d items reached replicas more than %v after the end of their batch was acknowledged", late, cancelBound), nil
	}
	return "", nil
}
