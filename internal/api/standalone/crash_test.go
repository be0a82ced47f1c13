package standalone_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"woodworks/internal/api/gateway"
)

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
			crashes := f.world.CrashOn(body, 300*time.Millisecond)
			refused := 0
			for try := range tries {
				operation, key := "board", ""
				if keyed {
					operation, key = "move", fmt.Sprintf("%d-crashing%02d", time.Now().UnixMilli(), try)
				}
				answer, outcome, err := f.client(try%2, "players").Call(f.ctx(), "game-front", operation, key, []byte(body))
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
				answer, _, err := f.client(0, "players").Call(f.ctx(), "game-front", "board", "", []byte("show"))
				return err == nil && answer.Status == http.StatusOK
			})
		})
	}
}
