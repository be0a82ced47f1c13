// Package process starts daemons for runs on one machine, finds addresses for them and
// waits until they are ready. It owns the processes that it started and ends only these,
// by their process id; a run that dies takes its processes along.
//
// # Usage
//
//	err := process.FreeAddresses(&cfg.Listen.Public)
//	d, err := process.StartDaemon("bin/woodworks", "out", cfg)
//	err = process.AwaitReady(20*time.Second, "http://"+cfg.Listen.Public+"/readyz")
//	stopped := d.Terminate(15 * time.Second)
package process

import (
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one incarnation of a program.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// Start starts a command.
func Start(name string, cmd *exec.Cmd) (*Process, error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "process: start %s", name)
	}
	p := &Process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // The state says how it ended.
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal if the process still runs.
func (p *Process) Signal(signal syscall.Signal) { _ = p.cmd.Process.Signal(signal) }

// Wait waits for the end and returns how the process ended.
func (p *Process) Wait() *os.ProcessState {
	<-p.done
	return p.cmd.ProcessState
}

// EndsWithin waits for the end, for no longer than a time, and reports whether it came.
func (p *Process) EndsWithin(timeout time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Kill ends the process at once and waits for that.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Terminate asks the process to stop by plan and waits; it reports whether it
// ended in time with exit code 0.
func (p *Process) Terminate(timeout time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	return p.EndsWithin(timeout) && p.Wait().ExitCode() == 0
}

const (
	// answerTimeout bounds one question whether a process is ready, readyPause is the time
	// between two.
	answerTimeout = 500 * time.Millisecond
	readyPause    = 50 * time.Millisecond
)

// ErrNotReady: a process did not become ready in time.
var ErrNotReady = errors.New("process: not ready")

// AwaitReady waits until each URL has answered 200.
func AwaitReady(timeout time.Duration, urls ...string) error {
	end := time.Now().Add(timeout)
	for _, url := range urls {
		for !isReady(url) {
			if time.Now().After(end) {
				return errors.Wrap(ErrNotReady, url)
			}
			time.Sleep(readyPause)
		}
	}
	return nil
}

func isReady(url string) bool {
	client := http.Client{Timeout: answerTimeout}
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
