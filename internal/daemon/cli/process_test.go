package cli

import (
	"bytes"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/demo/process"
)

// hangTime is when a process that should have ended counts as hanging.
const hangTime = 30 * time.Second

// buildFolder has the program once a test has built it.
var buildFolder string

var build = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "woodworks-test")
	if err != nil {
		return "", err
	}
	buildFolder = folder
	program := filepath.Join(folder, "woodworks")
	output, err := exec.Command("go", "build", "-o", program, "woodworks/cmd/woodworks").CombinedOutput()
	if err != nil {
		_, _ = os.Stderr.Write(output)
	}
	return program, err
})

func TestMain(m *testing.M) {
	code := m.Run()
	if buildFolder != "" {
		_ = os.RemoveAll(buildFolder)
	}
	os.Exit(code)
}

// output collects what a process writes.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// daemon is a real process of "woodworks serve" whose settings file is a FIFO: it
// starts no further than the test lets it read.
type daemon struct {
	t        *testing.T
	command  *exec.Cmd
	settings string
	written  *output
	ended    chan error
}

// settingsText has addresses that any machine can bind, and a store that nobody serves.
const settingsText = `
name: d1
zone: z
region: r
listen: {public: "127.0.0.1:PUBLIC", health: "127.0.0.1:HEALTH"}
platform:
  driver: store
  store: {address: "127.0.0.1:1", partitions: 8, record_bytes: 262144, append_bytes: 2097152}
timing: {stop_grace: 8s}
`

// withPorts fills in ports that are free.
func withPorts(t *testing.T, text string) string {
	t.Helper()
	return strings.NewReplacer("PUBLIC", freePort(t), "HEALTH", freePort(t)).Replace(text)
}

func start(t *testing.T) *daemon {
	t.Helper()
	d := newDaemon(t)
	if err := syscall.Mkfifo(d.settings, 0o600); err != nil {
		t.Fatal(err)
	}
	d.command.Stdout, d.command.Stderr = d.written, d.written
	d.start()
	return d
}

func newDaemon(t *testing.T) *daemon {
	t.Helper()
	program, err := build()
	if err != nil {
		t.Fatal(err)
	}
	d := &daemon{t: t, settings: filepath.Join(t.TempDir(), "settings.yaml"), written: &output{}, ended: make(chan error, 1)}
	d.command = exec.Command(program, "serve", "-c", d.settings)
	return d
}

func (d *daemon) start() {
	d.t.Helper()
	if err := d.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	go func() { d.ended <- d.command.Wait() }()
	d.t.Cleanup(func() { _ = d.command.Process.Kill() })
}

// reading waits until the process has the FIFO open and returns its other end.
func (d *daemon) reading() *os.File {
	d.t.Helper()
	for end := time.Now().Add(hangTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if file, err := os.OpenFile(d.settings, os.O_WRONLY|syscall.O_NONBLOCK, 0); err == nil {
			return file
		}
	}
	d.t.Fatalf("the settings are never read; output: %s", d.written)
	return nil
}

// give lets the process read settings.
func (d *daemon) give(file *os.File, text string) {
	_, _ = file.WriteString(text)
	_ = file.Close()
}

func (d *daemon) signal(signal os.Signal) { _ = d.command.Process.Signal(signal) }

// until waits until the process has written a text.
func (d *daemon) until(text string) {
	d.t.Helper()
	for end := time.Now().Add(hangTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if strings.Contains(d.written.String(), text) {
			return
		}
	}
	d.t.Fatalf("%q is never written; output: %s", text, d.written)
}

// end waits for the end of the process.
func (d *daemon) end() error {
	d.t.Helper()
	select {
	case err := <-d.ended:
		return err
	case <-time.After(hangTime):
		d.t.Fatalf("the process does not end; output: %s", d.written)
		return nil
	}
}

// SIGTERM in the first moments of a daemon was swallowed: go-zero listens for it from
// the start of the process, the daemon did so only with its settings read. It went on
// to serve, and go-zero sent the signal again 5.5 s later, when 2.5 s of a grace of 8 s
// were left; requests under way were killed with the process. On an idle machine all
// of four signals 5 ms after the start were swallowed.
func TestSIGTERMBeforeServingIsNeverSwallowed(t *testing.T) {
	is := is.New(t)
	d := start(t)
	file := d.reading()
	d.signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond) // more of the window; nothing depends on it
	d.give(file, withPorts(t, settingsText))
	is.NoErr(d.end())
	is.True(!strings.Contains(d.written.String(), "event=started")) // it never served
	is.True(strings.Contains(d.written.String(), "event=signal"))
}

// SIGHUP ended a daemon that had not read its settings yet: all of eight signals up
// to 2 ms after the start, and one of four at 5 ms. It says that the file has changed,
// so it is read once more.
func TestSIGHUPWhileStartingReadsTheSettingsOnceMore(t *testing.T) {
	is := is.New(t)
	d := start(t)
	file := d.reading()
	d.signal(syscall.SIGHUP)
	text := withPorts(t, settingsText)
	d.give(file, text)
	d.until("event=started")
	d.give(d.reading(), text)
	d.until("event=reload")
	d.signal(syscall.SIGTERM)
	d.until("event=stopping")
	is.NoErr(d.end())
}

// An interrupt of any other command was swallowed for 5.5 s in the same way.
func TestAnInterruptEndsACommandAtOnce(t *testing.T) {
	is := is.New(t)
	program, err := build()
	is.NoErr(err)
	d := &daemon{t: t, written: &output{}, ended: make(chan error, 1)}
	d.settings = filepath.Join(t.TempDir(), "policy.star")
	is.NoErr(syscall.Mkfifo(d.settings, 0o600))
	d.command = exec.Command(program, "policy", "check", d.settings)
	d.command.Stdout, d.command.Stderr = d.written, d.written
	d.start()
	file := d.reading()
	d.signal(syscall.SIGINT)
	err = d.end()
	is.True(err != nil)
	is.Equal(d.command.ProcessState.ExitCode(), 128+int(syscall.SIGINT)) // by the command, not by go-zero's copy
	is.NoErr(file.Close())
}

// freePort returns a port of loopback that is this test's alone. A port that the system
// chose was taken by another program's outgoing connection before the daemon listened.
func freePort(t *testing.T) string {
	t.Helper()
	address, err := process.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	return port
}
