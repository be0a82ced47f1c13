// Package lab starts woodworks daemons as separate processes on loopback, in front of a store, and
// writes down what happened. The cases of the review use it.
package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"sync"
	"syscall"
	"time"

	"woodworks/internal/journal"
	"woodworks/platform/platformtest"
)

// The bounds of the sheets of the two small deployments.
const (
	DrainBound = 2 * time.Second
	StopGrace  = 8 * time.Second
)

// Program is the daemon as the deploy file builds it.
const Program = "target/woodworks"

// Daemon is one daemon's process.
type Daemon struct {
	Name, Front, Ready string
	peer, metrics      string
	file               string
	log                *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
}

// Lab holds all parts of one run. Record must be closed with Finish.
type Lab struct {
	Store   *platformtest.Store
	Daemons []*Daemon

	folder       string
	storeAddress string
	began        time.Time

	mu     sync.Mutex
	record []line
	broken int
}

type line struct {
	at   time.Duration
	text string
}

// Trouble reports whether the run has its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// New starts a store. wrap, if not nil, stands between the daemons and the store.
func New(wrap func(http.Handler) http.Handler) (*Lab, error) {
	folder, err := os.MkdirTemp("", "woodworks-review")
	if err != nil {
		return nil, err
	}
	store := platformtest.NewStore()
	store.Log.Partitions, store.Log.RecordBytes, store.Log.AppendBytes = 8, 262144, 2097152
	var handler http.Handler = store
	if wrap != nil {
		handler = wrap(store)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return &Lab{Store: store, folder: folder, storeAddress: listener.Addr().String(), began: time.Now()}, nil
}

// settings is the deploy file's template, filled for a daemon on loopback.
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
    partitions: 8
    record_bytes: 262144
    append_bytes: 2097152
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

// freeAddresses returns free addresses, all held until the last is found.
func freeAddresses(into ...*string) error {
	for _, address := range into {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		*address = listener.Addr().String()
	}
	return nil
}

// StartDaemons starts daemons and waits until all are ready and know each other.
func (l *Lab) StartDaemons(count int) error {
	for i := range count {
		d := &Daemon{Name: fmt.Sprintf("edge-%d", i+1)}
		if err := freeAddresses(&d.Front, &d.Ready, &d.metrics, &d.peer); err != nil {
			return err
		}
		d.file = filepath.Join(l.folder, d.Name+".yaml")
		text := fmt.Sprintf(settings, d.Name, d.Front, d.Ready, d.metrics, d.peer, l.storeAddress)
		if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
			return err
		}
		var err error
		if d.log, err = os.Create(filepath.Join(l.folder, d.Name+".log")); err != nil {
			return err
		}
		l.Daemons = append(l.Daemons, d)
	}
	for _, d := range l.Daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	for _, d := range l.Daemons {
		if err := d.AwaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second) // the contact bound, and a little for the lists of daemons
	return nil
}

// Start starts the daemon's process.
func (d *Daemon) Start() error {
	cmd := exec.Command(Program, "serve", "-c", d.file)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.cmd = cmd
	d.mu.Unlock()
	return nil
}

// Signal sends a signal to the daemon's process.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(s)
}

// AwaitReady waits until the daemon calls itself ready.
func (d *Daemon) AwaitReady(within time.Duration) error {
	for began := time.Now(); time.Since(began) < within; time.Sleep(50 * time.Millisecond) {
		answer, err := http.Get("http://" + d.Ready + "/ready")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", d.Name, within)
}

// List puts a replica's entry in the store and returns when the store had acknowledged it.
func (l *Lab) List(id string, entry map[string]any) time.Time {
	encoded, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	if entry == nil {
		encoded = nil
	}
	call := journal.Append{Partition: journal.Partition{Topic: "keyed.servers"}, Records: [][]byte{journal.EncodeKeyed(id, encoded)}}
	if _, err := l.Store.Log.Append(context.Background(), call); err != nil {
		panic(err)
	}
	return time.Now()
}

// Note writes a line of the record, at the present time.
func (l *Lab) Note(format string, values ...any) { l.NoteAt(time.Now(), format, values...) }

// NoteAt writes a line of the record, at a given time.
func (l *Lab) NoteAt(at time.Time, format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record = append(l.record, line{at.Sub(l.began), fmt.Sprintf(format, values...)})
}

// Broken notes that the rule was broken.
func (l *Lab) Broken(at time.Time, format string, values ...any) {
	l.NoteAt(at, "BROKEN "+format, values...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken++
}

// Finish ends the daemons, writes the record and returns the exit code.
func (l *Lab) Finish(record string) int {
	for _, d := range l.Daemons {
		d.mu.Lock()
		_ = d.cmd.Process.Kill()
		_ = d.cmd.Wait()
		d.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sort.SliceStable(l.record, func(i, j int) bool { return l.record[i].at < l.record[j].at })
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	for _, each := range l.record {
		_, _ = fmt.Fprintf(file, "%8.3f  %s\n", each.at.Seconds(), each.text)
	}
	_, _ = fmt.Fprintf(file, "trouble %v, broken %d times\n", Trouble(), l.broken)
	fmt.Printf("trouble %v, broken %d times\n", Trouble(), l.broken)
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(l.folder)
	} else {
		fmt.Println(l.folder)
	}
	if l.broken > 0 {
		return 1
	}
	return 0
}

// PID returns the id of the daemon's process.
func (d *Daemon) PID() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Pid
}

// Wait waits until the daemon's process has ended.
func (d *Daemon) Wait() {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Wait()
}
