// Package signals takes the signals of a process, from its first moment on.
//
// Three parties want them: the kernel, whose default ends the process; go-zero, which
// listens for SIGTERM and SIGINT from its own init and sends them again later; and the
// command that runs. This package sees to it that none is lost between them.
//
// # Usage
//
// The command line calls Take first of all, and then Daemon for a daemon or EndProcess for a
// command that a signal simply ends.
//
//	taken := signals.Take()
//	defer taken.Release()
//	taken.Daemon()
//	select {
//	case s := <-taken.Stops:   // SIGTERM or SIGINT
//	case <-taken.Reloads:      // SIGHUP
//	case s := <-taken.Others:  // SIGUSR1 or SIGUSR2
//	}
package signals

import (
	"math"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/proc"
)

const (
	// killedBase is added to a signal's number for the exit code of a command that it ended,
	// as shells do.
	killedBase = 128
	// never is when go-zero sends a signal again: its repeat would hasten a stop.
	never = time.Duration(math.MaxInt64)
)

// Taken is the signals of the process. None is lost, but several of one kind that wait
// count as one.
type Taken struct {
	// Stops has SIGTERM and SIGINT, also those that go-zero took before Take.
	Stops <-chan os.Signal
	// Reloads has SIGHUP, Others SIGUSR1 and SIGUSR2; both are empty before Daemon.
	Reloads, Others <-chan os.Signal

	// A channel for each kind, so that many of one kind never push out another.
	terminate, interrupt, hangup, user chan os.Signal
	released                           chan struct{}
	release                            sync.Once
}

// Take begins to take SIGTERM and SIGINT.
func Take() *Taken {
	one := func() chan os.Signal { return make(chan os.Signal, 1) }
	stops := make(chan os.Signal)
	t := &Taken{Stops: stops, terminate: one(), interrupt: one(), hangup: one(), user: one(), released: make(chan struct{})}
	t.Reloads, t.Others = t.hangup, t.user
	t.listen()
	go t.pass(stops)
	return t
}

func (t *Taken) listen() {
	signal.Notify(t.terminate, syscall.SIGTERM)
	signal.Notify(t.interrupt, syscall.SIGINT)
}

// pass hands on what stops the process.
func (t *Taken) pass(stops chan<- os.Signal) {
	swallowed := proc.Done()
	for {
		var s os.Signal
		select {
		case s = <-t.terminate:
		case s = <-t.interrupt:
		case <-swallowed:
			s = t.afterSwallowed()
		case <-t.released:
			return
		}
		// go-zero's word counts only for a signal that came before Take.
		swallowed = nil
		select {
		case stops <- s:
		case <-t.released:
			return
		}
	}
}

// afterSwallowed returns the signal that go-zero has just had: the copy of it that came
// here, or SIGTERM if it came before Take.
func (t *Taken) afterSwallowed() os.Signal {
	// Notify waits for a signal that is being handed to all who listen.
	t.listen()
	select {
	case s := <-t.terminate:
		return s
	case s := <-t.interrupt:
		return s
	default:
		return syscall.SIGTERM
	}
}

// Daemon takes the other signals of a daemon too, and keeps from it what would end it
// or its requests early.
func (t *Taken) Daemon() {
	proc.SetTimeToForceQuit(never)
	signal.Notify(t.hangup, syscall.SIGHUP)
	// Standard output and error may lose their reader: the write fails, the process goes on.
	signal.Ignore(syscall.SIGPIPE)
	t.TakeUser()
}

// TakeUser takes SIGUSR1 and SIGUSR2 from go-zero, which writes dumps and traces into
// files and may end the process after them. go-zero listens from a goroutine of its own,
// so this is called again once the daemon has started.
func (t *Taken) TakeUser() {
	signal.Ignore(syscall.SIGUSR1, syscall.SIGUSR2)
	signal.Notify(t.user, syscall.SIGUSR1, syscall.SIGUSR2)
}

// EndProcess lets a signal end the process at once.
func (t *Taken) EndProcess() {
	if !hangupIgnoredByParent() {
		signal.Notify(t.hangup, syscall.SIGHUP)
	}
	go func() {
		var s os.Signal
		select {
		case s = <-t.Stops:
		case s = <-t.Reloads:
		case <-t.released:
			return
		}
		os.Exit(killedBase + int(s.(syscall.Signal)))
	}()
}

// Release gives the signals back. It may be called more than once.
func (t *Taken) Release() {
	t.release.Do(func() {
		for _, c := range []chan os.Signal{t.terminate, t.interrupt, t.hangup, t.user} {
			signal.Stop(c)
		}
		close(t.released)
	})
}
