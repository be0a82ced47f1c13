package signals

import (
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/zeromicro/go-zero/core/proc"
)

// childVariable is set in the process that runs a test on its own.
const childVariable = "WOODWORKS_SIGNALS_TEST"

// alone runs a test in a process of its own, as signals are the whole process's.
func alone(t *testing.T, run func(is *is.I)) {
	t.Helper()
	if os.Getenv(childVariable) != "" {
		run(is.New(t))
		return
	}
	child := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.count=1")
	child.Env = append(os.Environ(), childVariable+"=1")
	if output, err := child.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
}

func kill(is *is.I, s syscall.Signal) {
	is.Helper()
	is.NoErr(syscall.Kill(syscall.Getpid(), s))
}

// SIGHUP ended a daemon up to 6 ms after its start (27 of 32 tries), as nobody listened for
// it yet. The process is begun with it ignored, before any Go code runs.
func TestSIGHUPIsIgnoredFromTheStart(t *testing.T) {
	alone(t, func(is *is.I) {
		is.True(signal.Ignored(syscall.SIGHUP))
	})
}

// Many signals of one kind never push out one of another.
func TestAStormOfOneKindHidesNoOther(t *testing.T) {
	alone(t, func(is *is.I) {
		taken := Take()
		defer taken.Release()
		taken.Daemon()
		for range 1000 {
			kill(is, syscall.SIGHUP)
		}
		kill(is, syscall.SIGUSR1)
		is.Equal(<-taken.Reloads, syscall.SIGHUP)
		is.Equal(<-taken.Others, syscall.SIGUSR1)
		kill(is, syscall.SIGTERM)
		is.Equal(<-taken.Stops, syscall.SIGTERM)
	})
}

// A SIGTERM that go-zero had before Take was lost: 9 of 16 that were sent 4 to 8 ms after
// the start. go-zero says of it that the process is done.
func TestWhatCameBeforeTakeStops(t *testing.T) {
	alone(t, func(is *is.I) {
		proc.SetTimeToForceQuit(never) // so that only go-zero's word can tell of it
		before := Take()
		delivered := make(chan os.Signal, 1)
		signal.Notify(delivered, syscall.SIGTERM)
		// go-zero listens from a goroutine, which may not have run yet. Each signal is
		// delivered before the next, so that none is left for the second Take.
		for swallowed := false; !swallowed; {
			kill(is, syscall.SIGTERM)
			<-delivered
			select {
			case <-proc.Done():
				swallowed = true
			case <-time.After(time.Millisecond):
			}
		}
		is.Equal(<-before.Stops, syscall.SIGTERM)
		before.Release()

		late := Take()
		defer late.Release()
		select {
		case s := <-late.Stops:
			is.Equal(s, syscall.SIGTERM)
		case <-time.After(hangTime):
			t.Fatal("the signal is lost")
		}
	})
}

// hangTime is when a signal that does not come counts as lost.
const hangTime = 10 * time.Second

// repeatTime is longer than the 5.5 s after which go-zero sends a signal again.
const repeatTime = 6 * time.Second

// go-zero sent SIGTERM and SIGINT again after 5.5 s. A daemon takes a second SIGINT as
// the order to end at once, so that one from a terminal cut off what was under way.
func TestNoSignalIsRepeated(t *testing.T) {
	alone(t, func(is *is.I) {
		taken := Take()
		defer taken.Release()
		taken.Daemon()
		kill(is, syscall.SIGINT)
		is.Equal(<-taken.Stops, syscall.SIGINT)
		select {
		case s := <-taken.Stops:
			t.Fatalf("%v came again", s)
		case <-time.After(repeatTime):
		}
	})
}
