// Package floor starts and ends the processes of a lab run on loopback. It
// ends only processes that it started, by their process id.
package floor

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one started process.
type Process struct {
	Name string
	// Arguments start it again alike.
	Path      string
	Arguments []string

	mutex   sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	logPath string
}

// Launch starts a process whose output goes to a file.
func Launch(name, path, logPath string, arguments ...string) (*Process, error) {
	process := &Process{Name: name, Path: path, Arguments: arguments, logPath: logPath}
	return process, process.start()
}

// LogDirectory returns the directory given, or a new temporary one if that is
// "", and a function that removes what was made.
func LogDirectory(given string) (directory string, remove func(), err error) {
	if given != "" {
		return given, func() {}, nil
	}
	directory, err = os.MkdirTemp("", "woodworks-lab-")
	return directory, func() { _ = os.RemoveAll(directory) }, errors.Wrap(err, "floor: log directory")
}

func (process *Process) start() error {
	output, err := os.OpenFile(process.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "floor: log file")
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(process.Path, process.Arguments...)
	command.Stdout = output
	command.Stderr = output
	// A lab that dies takes its processes along.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "floor: start %s", process.Name)
	}
	done := make(chan struct{})
	process.mutex.Lock()
	process.command = command
	process.done = done
	process.mutex.Unlock()
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

// Signal sends a signal, if the process still runs.
func (process *Process) Signal(signal syscall.Signal) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	select {
	case <-process.done:
	default:
		_ = process.command.Process.Signal(signal)
	}
}

// Done is closed when the process has ended.
func (process *Process) Done() <-chan struct{} {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.done
}

// Running reports whether the process has not ended.
func (process *Process) Running() bool {
	select {
	case <-process.Done():
		return false
	default:
		return true
	}
}

// Kill ends the process at once and waits for that.
func (process *Process) Kill() {
	process.Signal(syscall.SIGKILL)
	<-process.Done()
}

// Freeze pauses the process; Thaw lets it go on.
func (process *Process) Freeze() { process.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (process *Process) Thaw() { process.Signal(syscall.SIGCONT) }

// Terminate asks the process to stop by plan and waits; it reports whether it
// ended in time, and with exit code 0.
func (process *Process) Terminate(timeout time.Duration) bool {
	process.Signal(syscall.SIGTERM)
	select {
	case <-process.Done():
		return process.command.ProcessState.ExitCode() == 0
	case <-time.After(timeout):
		return false
	}
}

// Restart starts an ended process again with the same arguments.
func (process *Process) Restart() error { return process.start() }
