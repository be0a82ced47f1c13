// Package process starts programs for runs on one machine, and finds addresses for
// them. It ends only processes that it started, by their process id.
package process

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one started program.
type Process struct {
	Name string

	path    string
	args    []string
	logPath string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

// Launch starts a program whose output goes to a file.
func Launch(name, path, logPath string, args ...string) (*Process, error) {
	p := &Process{Name: name, path: path, args: args, logPath: logPath}
	return p, p.Restart()
}

// Restart starts an ended program again with the same arguments.
func (p *Process) Restart() error {
	output, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "process: log file")
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(p.path, p.args...)
	command.Stdout, command.Stderr = output, output
	// A run that dies takes its processes along.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "process: start %s", p.Name)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.command, p.done = command, done
	p.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal if the program still runs, and returns a channel that
// is closed when it has ended.
func (p *Process) signal(signal syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
	default:
		_ = p.command.Process.Signal(signal)
	}
	return p.done
}

// Kill ends the program at once and waits for that.
func (p *Process) Kill() { <-p.signal(syscall.SIGKILL) }

// Terminate asks the program to stop by plan and waits; it reports whether it
// ended in time with exit code 0.
func (p *Process) Terminate(timeout time.Duration) bool {
	done := p.signal(syscall.SIGTERM)
	select {
	case <-done:
		return p.command.ProcessState.ExitCode() == 0
	case <-time.After(timeout):
		return false
	}
}
