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
		d.mu.Lock()
		_ = d.cmd.Process.Kill()
		_ = d.cmd.Wait() // may have been waited for already
		d.mu.Unlock()
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

// daemon is one woodworks process, on an IP address of its own.
type daemon struct {
	name, ip, public, health, file string

	mu  sync.Mutex
	cmd *exec.Cmd
	// disturbed is when the process was last started or told to stop.
	disturbed time.Time
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

// freeAddresses returns addresses of a loopback IP on which nobody listens.
func freeAddresses(ip string, n int) (addresses []string, err error) {
	for range n {
		l, err := net.Listen("tcp4", ip+":0")
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
	for i := range n {
		d := &daemon{name: fmt.Sprintf("edge-z-%d", i+1), ip: fmt.Sprintf("127.0.0.%d", 21+i)}
		a, err := freeAddresses(d.ip, 4)
		if err != nil {
			return err
		}
		d.public, d.health = a[0], a[1]
		text := fmt.Sprintf(settings, d.name, a[0], a[1], a[2], a[3], w.listener.Addr(),
			w.store.Log.Partitions, w.store.Log.RecordBytes, w.store.Log.AppendBytes)
		d.file = filepath.Join(w.folder, d.name+".yaml")
		if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
		if err := w.startDaemon(d); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		if err := awaitReady(d); err != nil {
			return err
		}
	}
	w.note("%d daemons are ready", n)
	return nil
}

// startDaemon starts a process of a daemon, whose output goes to the end of its log.
func (w *world) startDaemon(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(w.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(w.program, "serve", "-c", d.file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.disturbed = cmd, time.Now()
	return nil
}

// restart stops a daemon as the platform does, with SIGTERM, and SIGKILL after the grace, and starts
// it again.
func (w *world) restart(d *daemon) {
	d.mu.Lock()
	cmd := d.cmd
	d.disturbed = time.Now()
	d.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(stopGrace, func() { _ = cmd.Process.Kill() })
	_ = cmd.Wait()
	kill.Stop()
	w.note("%s ended", d.name)
	time.Sleep(300 * time.Millisecond)
	if err := w.startDaemon(d); err != nil {
		w.note("%s did not start: %v", d.name, err)
	}
}

// inTouch reports whether a daemon's process was neither started nor told to stop within the contact
// bound before a time.
func (d *daemon) inTouch(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return at.Sub(d.disturbed) > contactBound
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
