// Command drainwait replaces one of two replicas while requests wait at the daemons for a connection
// to it, and checks when the last of them reach it. See review/5/claim.txt.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"woodworks/platform/platformtest"
	"woodworks/review/standin-2/lab"
)

const (
	service = "desk"
	host    = "desk.example"
	slots   = 6
	// maxConns is what a replica takes from all daemons together.
	maxConns = 6
	// work is how long a replica works on a request.
	work = 3 * time.Second
	// laterEnd is how long a leaving replica serves beyond the drain bound: long enough for all that
	// reached it within the bound.
	laterEnd = work + 300*time.Millisecond
	// slack is allowed beyond the drain bound.
	slack = 100 * time.Millisecond
	// rounds is how many waves of requests come.
	rounds = 4
	// waveTime is the time between two waves.
	waveTime = 12 * time.Second
)

// replica is a plain replica, as the pages describe one.
type replica struct {
	lab    *lab.Lab
	id     string
	server *http.Server
	addr   string

	mu      sync.Mutex
	leftAt  time.Time // when the store acknowledged that it is leaving
	running int
}

func start(l *lab.Lab, id string) (*replica, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{lab: l, id: id, addr: listener.Addr().String()}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	r.list("ready")
	return r, nil
}

func (r *replica) list(state string) time.Time {
	return r.lab.List(r.id, map[string]any{"Service": service, "Address": r.addr, "Zone": "z", "Version": "v1",
		"Slots": slots, "State": state, "ColdRemainingMs": 0, "Seq": 1})
}

// leave states that the replica is leaving, serves on and ends.
func (r *replica) leave() {
	at := r.list("draining")
	r.mu.Lock()
	r.leftAt = at
	r.mu.Unlock()
	r.lab.NoteAt(at, "%s is draining, acknowledged by the store", r.id)
	time.Sleep(lab.DrainBound + laterEnd)
	r.lab.Note("%s ends", r.id)
	_ = r.server.Close()
	r.lab.List(r.id, nil)
}

func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	arrived := time.Now()
	_, _ = io.Copy(io.Discard, req.Body)
	id := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := req.Header.Get("X-Expect-Replica"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	leftAt := r.leftAt
	full := r.running >= slots
	if !full {
		r.running++
	}
	r.mu.Unlock()
	if full {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	r.lab.NoteAt(arrived, "%s runs %s", r.id, id)
	if late := arrived.Sub(leftAt); !leftAt.IsZero() && late > lab.DrainBound+slack {
		r.lab.Broken(arrived, "DRAIN: %s reached %s %.2f s after the store acknowledged that it is draining", id, r.id, late.Seconds())
	}
	select {
	case <-time.After(work):
	case <-req.Context().Done():
		r.lab.Note("%s is cut off at %s", id, r.id)
		return
	}
	w.Header().Set("X-Server-Stamp", r.id+"."+id)
	_, _ = io.WriteString(w, "answer to "+id)
}

// request sends one request that may run only once.
func request(l *lab.Lab, d *lab.Daemon, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 16*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Front+"/desk/file", strings.NewReader("file "+id))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "15000")
	l.Note("client sends %s to %s", id, d.Name)
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		l.Note("client gets no answer to %s: %v", id, err)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	body, _ := io.ReadAll(answer.Body)
	l.Note("client gets %d to %s: %s", answer.StatusCode, id, body)
}

func run() (int, error) {
	l, err := lab.New(nil)
	if err != nil {
		return 2, err
	}
	l.Store.Configure(platformtest.Configuration{Version: 1, Limits: platformtest.DefaultLimits,
		Routes: []platformtest.Route{{Name: "desk", Host: host, PathPrefix: "/desk/", Kind: "unsafe", TimeoutMs: 15000,
			TargetLatencyMs: 14000, Service: service, MaxAttempts: 2}},
		Services: []platformtest.Service{{Name: service, MaxConns: maxConns}}})
	next := 0
	var replicas []*replica
	add := func() error {
		next++
		r, err := start(l, fmt.Sprintf("i-%d", next))
		replicas = append(replicas, r)
		return err
	}
	if err := add(); err != nil {
		return 2, err
	}
	if err := add(); err != nil {
		return 2, err
	}
	if err := l.StartDaemons(3); err != nil {
		return 2, err
	}
	var requests sync.WaitGroup
	wave := func(round int, part string, count int) {
		for _, d := range l.Daemons {
			for i := range count {
				requests.Go(func() { request(l, d, fmt.Sprintf("%s-%d%s%d", d.Name, round, part, i)) })
				time.Sleep(10 * time.Millisecond)
			}
		}
	}
	for round := range rounds {
		began := time.Now()
		wave(round, "a", 4)
		time.Sleep(200 * time.Millisecond)
		wave(round, "b", 4)
		if lab.Trouble() {
			if err := add(); err != nil {
				return 2, err
			}
			time.Sleep(200 * time.Millisecond)
			leaving := replicas[0]
			replicas = replicas[1:]
			go leaving.leave()
		}
		requests.Wait()
		time.Sleep(waveTime - time.Since(began))
	}
	return l.Finish(os.Args[1]), nil
}

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
