package cli

import (
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// waiting is a daemon whose stop takes until it is released.
type waiting struct{ release chan struct{} }

func (w waiting) Stop() { <-w.release }

// A supervisor that repeats SIGTERM does not cut off what is in flight: a second one after
// 5.5 s of a grace of 8 s cut off items that their successor had left to the daemon.
func TestARepeatedSIGTERMDoesNotHastenAStop(t *testing.T) {
	is := is.New(t)
	signals := make(chan os.Signal)
	running := waiting{release: make(chan struct{})}
	ended := make(chan error, 1)
	go func() { ended <- stop(running, zap.NewNop(), signals) }()
	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM // taken, so the first one did not end the stop
	close(running.release)
	is.NoErr(<-ended)
}

func TestAnInterruptEndsAStopAtOnce(t *testing.T) {
	is := is.New(t)
	signals := make(chan os.Signal)
	running := waiting{release: make(chan struct{})}
	defer close(running.release)
	ended := make(chan error, 1)
	go func() { ended <- stop(running, zap.NewNop(), signals) }()
	signals <- syscall.SIGINT
	is.True(<-ended != nil)
}
