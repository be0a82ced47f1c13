package sendgate_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/sendgate"
)

// Of a sender and one who gives up, exactly one wins, whatever the race.
func TestExactlyOneSideWins(t *testing.T) {
	for range 2000 {
		gate := &sendgate.Gate{}
		var sent, gaveUp bool
		var racing sync.WaitGroup
		racing.Add(2)
		go func() { defer racing.Done(); sent = gate.TrySend() }()
		go func() { defer racing.Done(); gaveUp = gate.Abandon() }()
		racing.Wait()
		if sent == gaveUp {
			t.Fatalf("sent %t, gave up %t", sent, gaveUp)
		}
	}
}

// A process that was paused between its permit and its send finds the time over.
func TestLateSenderIsStopped(t *testing.T) {
	is := is.New(t)
	gate := &sendgate.Gate{NotAfter: time.Now().Add(-time.Millisecond)}
	is.True(!gate.TrySend())
	is.True(gate.Abandon())
}

func TestNoByteLeavesAClosedGate(t *testing.T) {
	is := is.New(t)
	here, there := net.Pipe()
	defer func() { _ = there.Close() }()
	gate := &sendgate.Gate{}
	is.True(gate.Abandon())
	_, err := gate.Conn(here).Write([]byte("move"))
	is.Equal(err, sendgate.ErrClosed)
}
