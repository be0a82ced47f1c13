package runner

import (
	"testing"

	"github.com/matryer/is"
)

func isDone(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// Guards against a stop that ends before work which began during it, and against work that begins after it.
func TestWorkMayBeginWhileOtherWorkIsAwaited(t *testing.T) {
	is := is.New(t)
	var work workGroup
	is.True(work.begin())
	done := work.drain()
	is.True(work.begin())
	work.end()
	is.True(!isDone(done))
	work.end()
	is.True(isDone(done))
	is.True(!work.begin())
	is.True(isDone(work.drain()))
}
