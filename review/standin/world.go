package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"woodworks/platform/platformtest"
)

// The bounds of a small deployment, as the users' pages give them.
const (
	contactBound = 3 * time.Second
	cancelBound  = 3 * time.Second
	stopGrace    = 8 * time.Second
	host         = "review.example"
	model        = "m"
)

// world is one run of a scenario.
type world struct {
	program string
	trouble bool
	folder  string
	began   time.Time
	store   *platformtest.Store
	fleet   *platformtest.Fleet
	// front is the store's HTTP handler, which a scenario may replace before the daemons start.
	front    http.Handler
	listener net.Listener
	daemons  []*daemon

	mu     sync.Mutex
	record *os.File
}

func newWorld(program, record string, trouble bool) (*world, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{program: program, trouble: trouble, folder: folder, began: time.Now(), record: file}
	w.store = platformtest.NewStore()
	w.fleet = platformtest.NewFleet(w.store)
	w.front = w.store
	w.note("trouble: %v", trouble)
	return w, nil
}

// note writes a line to the record, with the seconds since the start.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(w.record, line)
}

func (w *world) close() {
	for _, d := range w.daemons {
		_ = d.cmd.Process.Kill()
	}
	for _, d := range w.daemons {
		_ = d.cmd.Wait()
	}
	if w.listener != nil {
		_ = w.listener.Close()
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
}

// serveStore starts the store.
func (w *world) serveStore() error {
	var err error
	if w.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return err
	}
	go func() {
		_ = http.Serve(w.listener, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.front.ServeHTTP(rw, r) }))
	}()
	return nil
}

// daemon is one woodworks process.
type daemon struct {
	name, public, health string
	cmd                  *exec.Cmd
}

// settings follows deploy/settings.yaml.
const settings = `name: %s
zone: z
region: r
listen:
  public: %s
  health: %s
  metrics: %s
  peer: %s
platform:
  driver: store
  store:
    address: %s
    partitions: %d
    record_bytes: %d
    append_bytes: %d
    writes_per_second: 800
    reads_per_second: 2000
    read_mb_per_second: 80
limits:
  memory_mb: 294
  memory_headroom: 50
timing:
  stop_grace: 8s
  lease_quiet: 3000ms
  contact_bound: 3000ms
  drain_bound: 2000ms
`

// freeAddresses returns loopback addresses on which nobody listens.
func freeAddresses(n int) (addresses []string, err error) {
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// startDaemons starts n daemons and waits until all are ready.
func (w *world) startDaemons(n int) error {
	addresses, err := freeAddresses(4 * n)
	if err != nil {
		return err
	}
	for i := range n {
		a := addresses[4*i:]
		d := &daemon{name: fmt.Sprintf("edge-z-%d", i+1), public: a[0], health: a[1]}
		text := fmt.Sprintf(settings, d.name, a[0], a[1], a[2], a[3], w.listener.Addr(),
			w.store.Log.Partitions, w.store.Log.RecordBytes, w.store.Log.AppendBytes)
		file := filepath.Join(w.folder, d.name+".yaml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(w.folder, d.name+".log"))
		if err != nil {
			return err
		}
		d.cmd = exec.Command(w.program, "serve", "-c", file)
		d.cmd.Stdout, d.cmd.Stderr = log, log
		d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := d.cmd.Start(); err != nil {
			return err
		}
		_ = log.Close()
		w.daemons = append(w.daemons, d)
	}
	for _, d := range w.daemons {
		if err := awaitReady(d); err != nil {
			return err
		}
	}
	w.note("%d daemons are ready", n)
	return nil
}

func awaitReady(d *daemon) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, path := range []string{"/ready", "/readyz"} {
			res, err := http.Get("http://" + d.health + path)
			if err != nil {
				continue
			}
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return errors.New(d.name + " is not ready")
}

// answer is what a client got; status is 0 if there was no answer.
type answer struct {
	status int
	body   string
	header http.Header
}

// call sends a request on a new connection, as a client that waits for wait.
func (w *world) call(d *daemon, method, path, id, body string, wait time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), wait+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.public+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Close = true
	if id != "" {
		req.Header.Set("X-Attempt-Id", id)
	}
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(req)
	if err != nil {
		return answer{}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{}
	}
	return answer{res.StatusCode, string(text), res.Header}
}
