package standalone_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/api/gateway"
	"woodworks/internal/demo/fakebackend"
	"woodworks/internal/demo/services"
)

// ends counts the ends of plain back ends.
type ends struct {
	mu    sync.Mutex
	count int
}

// Count returns how many there were.
func (e *ends) Count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.count
}

// crashOn has requests of a body end the plain back end that runs them. It stays listed,
// and is back at its address after a while.
func (f *floor) crashOn(body string, back time.Duration) *ends {
	crashes := &ends{}
	for _, plain := range f.services.Plains {
		plain.EndOn(func(one fakebackend.Execution) bool {
			if one.Body != body {
				return false
			}
			crashes.mu.Lock()
			crashes.count++
			_ = plain.Server.Close() // It dies: there is nobody to tell.
			crashes.mu.Unlock()
			time.AfterFunc(back, func() { crashes.restart(f.t, plain) })
			return true
		})
	}
	return crashes
}

// restart serves a plain back end at its address again, unless that is taken.
func (e *ends) restart(t *testing.T, plain *services.Plain) {
	listener, err := net.Listen("tcp", plain.Address.String())
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	server := &http.Server{Handler: plain.Backend, ReadHeaderTimeout: 5 * time.Second}
	plain.Server = server
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

// A request that ends each back end that runs it comes by other ways on the product's own
// services: each try has another key, back ends keep their ids over their starts, and
// daemons reach each other only through the log.
func TestAnOperationThatCrashesItsBackEndsIsStopped(t *testing.T) {
	const (
		body  = "ends its back end"
		tries = 40
		// mostCrashes is three to be known by. Two daemons that tell each other nothing
		// come to four in this time.
		mostCrashes = 3
	)
	for name, keyed := range map[string]bool{"repeatable": false, "with keys": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFloor(t, 2)
			crashes := f.crashOn(body, 300*time.Millisecond)
			refused := 0
			for try := range tries {
				operation, key := "board", ""
				if keyed {
					operation, key = "move", fmt.Sprintf("%d-crashing%02d", time.Now().UnixMilli(), try)
				}
				answer, outcome, err := f.client(try%2, "players").CallOperation(f.ctx(), "game-front", operation, key, []byte(body))
				is.NoErr(err)
				if strings.Contains(string(answer.Body), `"quarantined"`) {
					refused++
					is.Equal(outcome, gateway.NotExecuted)
				}
				time.Sleep(60 * time.Millisecond)
			}
			is.True(refused > tries/2)
			is.True(crashes.Count() <= mostCrashes)
			f.until("others are served", func() bool {
				answer, _, err := f.client(0, "players").CallOperation(f.ctx(), "game-front", "board", "", []byte("show"))
				return err == nil && answer.Status == http.StatusOK
			})
		})
	}
}
