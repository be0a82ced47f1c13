package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/route"
)

func startFront(t *testing.T, handler http.Handler) (*frontServer, string) {
	t.Helper()
	is := is.New(t)
	front := newFrontServer(zap.NewNop())
	front.handler = handler
	is.NoErr(front.listen("127.0.0.1:0"))
	t.Cleanup(func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		front.shutdown(ended)
	})
	return front, front.bound.Addr().String()
}

// A stop must end although a connection could still come: it once waited for
// the accepting loop, which never ended, until the process was killed with a
// request under way (bench: hunt-f73b-7, LOST).
func TestShutdownEndsWithoutRequests(t *testing.T) {
	front, _ := startFront(t, http.NotFoundHandler())
	front.configured(&route.Configuration{Limits: route.Limits{MaxHeaderBytes: 8192}})
	done := make(chan struct{})
	go func() {
		front.shutdown(context.Background())
		close(done)
	}()
	<-done
}

// A request that is under way when the stop begins is answered whole, and
// later connections are not taken.
func TestShutdownFinishesRequestUnderWay(t *testing.T) {
	is := is.New(t)
	entered, leave := make(chan struct{}), make(chan struct{})
	front, address := startFront(t, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-leave
		_, _ = writer.Write([]byte("whole"))
	}))
	answer := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + address + "/")
		if err != nil {
			answer <- err.Error()
			return
		}
		body, _ := io.ReadAll(response.Body)
		answer <- string(body)
	}()
	<-entered
	front.drain()
	done := make(chan struct{})
	go func() {
		front.shutdown(context.Background())
		close(done)
	}()
	for {
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			break
		}
		_ = conn.Close()
	}
	close(leave)
	is.Equal(<-answer, "whole")
	<-done
}

// An address for metrics that is taken does not keep a daemon from serving.
func TestAMetricsAddressInUseIsNotFatal(t *testing.T) {
	is := is.New(t)
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = taken.Close() }()
	health := &healthServer{ready: func() (bool, string) { return true, "" }, metrics: http.NotFoundHandler(), logger: zap.NewNop()}
	is.NoErr(health.listen("127.0.0.1:0", taken.Addr().String()))
	is.True(health.listen(taken.Addr().String(), "") != nil)
}
