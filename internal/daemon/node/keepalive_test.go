package node

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/daemon/shutdown"
)

// The announced timeout must be shorter than the idle limit and than what a stop can wait for.
func TestAnswersStateTheKeepAliveTimeout(t *testing.T) {
	for idle, header := range map[time.Duration]string{
		0: "timeout=5", time.Minute: "timeout=5", 4 * time.Second: "timeout=3", 1500 * time.Millisecond: "timeout=1", time.Second: "",
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := newPipeListener(http.HandlerFunc(wholeHandler))
			defer d.closeNow()
			d.applyConfiguration(idleTimeoutConfiguration(1, idle))
			answer, err := d.dial().get("/")
			is.NoErr(err)
			is.Equal(answer.Header.Get("Keep-Alive"), header)
		})
	}
	is := is.New(t)
	for grace, keepAlive := range map[time.Duration]time.Duration{
		2 * time.Minute: 5 * time.Second, 8 * time.Second: 5 * time.Second, 5 * time.Second: 3 * time.Second, 2 * time.Second: 0,
	} {
		is.Equal(keepAliveForStop(shutdown.PlanOf(grace).Interrupt), keepAlive)
	}
}

// An answer of a handler that writes nothing must close its connection during a stop as well.
func TestEmptyAnswerDuringAStopClosesItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newPipeListener(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		defer d.closeNow()
		d.drain()
		answer, err := d.dial().get("/")
		is.NoErr(err)
		is.True(answer.Close)
	})
}

// An idle connection is closed when the idle limit has passed, and not before.
func TestIdleConnectionsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newPipeListener(http.HandlerFunc(wholeHandler))
		defer d.closeNow()
		d.applyConfiguration(idleTimeoutConfiguration(1, 10*time.Second))
		_, err := d.dial().get("/")
		is.NoErr(err)
		synctest.Wait()
		d.applyConfiguration(idleTimeoutConfiguration(2, 2*time.Second))
		time.Sleep(9 * time.Second)
		d.conns.closeExpired(time.Now())
		is.Equal(len(d.conns.all()), 1) // Its client may know the limit in force when it became idle.
		time.Sleep(time.Second)
		d.conns.closeExpired(time.Now())
		is.Equal(len(d.conns.all()), 0)
	})
}

// Closing a listener resets the connections that the kernel has accepted and the process has not;
// they must be served first.
func TestPendingConnectionsAreServed(t *testing.T) {
	is := is.New(t)
	bound, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	l := newClientListener(shutdown.New(), zap.NewNop())
	l.handler = http.HandlerFunc(wholeHandler)
	l.mu.Lock()
	l.listener = bound
	l.startServer()
	l.mu.Unlock()
	client := dialPersistent(t, bound.Addr().String())
	_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	l.drain()
	l.closeListener()
	answer, err := http.ReadResponse(client.r, nil)
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusOK)
	is.True(answer.Close)
	_, err = net.DialTimeout("tcp4", bound.Addr().String(), time.Second)
	is.True(err != nil)
}
