package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"woodworks/internal/journal"
	"woodworks/platform/platformtest"
)

// plainReplica is a replica of a plain service that speaks HTTP/1.1 by itself. It runs slots
// requests at once, queues a few more and declines the rest.
type plainReplica struct {
	w     *world
	id    string
	slots int
	queue int
	work  func() time.Duration
	// extra decides whether an answer is sent once more, late: when the next one is due.
	extra func() bool

	running chan struct{}
	mu      sync.Mutex
	inside  int
	answers int
	extras  int
	runs    []plainRun
}

type plainRun struct {
	id, replica string
	at          time.Time
}

func (r *plainReplica) start() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.running = make(chan struct{}, r.slots)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	entry := fmt.Sprintf(`{"Service":"plain","Address":%q,"Zone":"z","Version":"v1","Slots":%d,"State":"ready","ColdRemainingMs":0,"Seq":1,"born":%d}`,
		l.Addr(), r.slots, time.Now().UnixMilli())
	return r.w.putServer(r.id, entry)
}

// putServer writes a replica's entry into the store, as the replica itself does.
func (w *world) putServer(id, entry string) error {
	call := journal.Append{Partition: journal.Partition{Topic: "keyed.servers"}, Records: [][]byte{journal.EncodeKeyed(id, []byte(entry))}}
	_, err := w.store.Log.Append(context.Background(), call)
	return err
}

func (r *plainReplica) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inside >= r.slots+r.queue {
		return false
	}
	r.inside++
	return true
}

func (r *plainReplica) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inside--
}

func (r *plainReplica) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	again := ""
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if again != "" {
			// The answer too many comes where the next one is due.
			if _, err := io.WriteString(conn, again); err != nil {
				return
			}
		}
		text, what := r.answer(req)
		again = ""
		r.mu.Lock()
		r.answers++
		if r.extra() {
			again = text
			r.extras++
			r.w.note("%s will send its answer to %s (%s) once more", r.id, req.Header.Get("X-Attempt-Id"), what)
		}
		r.mu.Unlock()
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// answer runs a request, or declines it, and returns the answer and what it is.
func (r *plainReplica) answer(req *http.Request) (text, what string) {
	id := req.Header.Get("X-Attempt-Id")
	if expected := req.Header.Get("X-Expect-Replica"); expected != "" && expected != r.id {
		return "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", "421"
	}
	if !r.enter() {
		return "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", "503, not executed"
	}
	defer r.leave()
	r.running <- struct{}{}
	defer func() { <-r.running }()
	r.mu.Lock()
	r.runs = append(r.runs, plainRun{id, r.id, time.Now()})
	r.mu.Unlock()
	r.w.note("%s runs %s", r.id, id)
	time.Sleep(r.work())
	body := "answer to " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, r.id, id, len(body), body), "200"
}

const (
	plainReplicas = 5
	plainDaemons  = 3
	plainClients  = 24
	garbling      = 3 // of plainReplicas: a share of 0.6
	garbledShare  = 0.03
	garbleFor     = 5 * time.Second
	garblePause   = 2 * time.Second
	garbleTimes   = 8
)

// declinedOnceMore: replicas that are full decline requests that must not run twice, and send a few
// of their answers once more, late.
func declinedOnceMore(w *world) (string, error) {
	if err := w.serveStore(); err != nil {
		return "", err
	}
	w.store.Configure(platformtest.Configuration{
		Version: 1, Limits: platformtest.DefaultLimits,
		Routes: []platformtest.Route{{
			Name: "pay", Host: host, PathPrefix: "/pay/", Kind: "unsafe", TimeoutMs: 4000, TargetLatencyMs: 400,
			Service: "plain", MaxAttempts: 3,
		}},
		Services: []platformtest.Service{{Name: "plain", MaxConns: 110}},
	})
	var garble sync.Map
	var replicas []*plainReplica
	for i := range plainReplicas {
		r := &plainReplica{w: w, id: fmt.Sprintf("i-%d", i+1), slots: 2, queue: 1,
			work:  func() time.Duration { return 20*time.Millisecond + rand.N(30*time.Millisecond) },
			extra: func() bool { return false }}
		if i < garbling && w.trouble {
			r.extra = func() bool {
				_, on := garble.Load("on")
				return on && rand.Float64() < garbledShare
			}
		}
		if err := r.start(); err != nil {
			return "", err
		}
		replicas = append(replicas, r)
	}
	if err := w.startDaemons(plainDaemons); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	for c := range plainClients {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%04x%012x", c, n)
				a := w.call(w.daemons[c%len(w.daemons)], http.MethodPost, "/pay/"+id, id, "order "+id, 3*time.Second)
				w.note("client %d: %s answered %d %s", c, id, a.status, strings.TrimSpace(a.body))
				mu.Lock()
				answers[id] = a
				mu.Unlock()
				time.Sleep(rand.N(40 * time.Millisecond))
			}
		})
	}
	for range garbleTimes {
		time.Sleep(garblePause)
		w.note("replicas begin to send answers too many")
		garble.Store("on", true)
		time.Sleep(garbleFor)
		garble.Delete("on")
		w.note("replicas are sound")
	}
	close(stop)
	clients.Wait()
	time.Sleep(time.Second)
	runs := map[string][]plainRun{}
	total := 0
	for _, r := range replicas {
		r.mu.Lock()
		w.note("%s: %d answers, %d of them sent once more, %d runs", r.id, r.answers, r.extras, len(r.runs))
		for _, run := range r.runs {
			runs[run.id] = append(runs[run.id], run)
			total++
		}
		r.mu.Unlock()
	}
	var broken []string
	for id, of := range runs {
		if len(of) > 1 {
			w.note("TWICE: %s ran %d times: %s at %.3f and %s at %.3f; its client got %d", id, len(of),
				of[0].replica, of[0].at.Sub(w.began).Seconds(), of[1].replica, of[1].at.Sub(w.began).Seconds(), answers[id].status)
			broken = append(broken, id)
		}
		if s := answers[id].status; s == 503 || s == 429 || s == 408 || s == 421 {
			w.note("REFUSED: %s was answered %d and ran at %s", id, s, of[0].replica)
			broken = append(broken, id)
		}
	}
	w.note("%d requests, %d runs", len(answers), total)
	if len(broken) > 0 {
		return fmt.Sprintf("%d requests that can't be repeated ran twice, or ran though refused", len(broken)), nil
	}
	return "", nil
}
