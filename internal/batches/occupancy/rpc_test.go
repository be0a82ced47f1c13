package occupancy

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/daemon/bootclock"
	"woodworks/internal/demo/process"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/journal/relay"
)

// freeAddress returns an unused loopback address.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := process.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// startRelayedDaemon starts a relay with a table, a publisher and a service of this package.
func startRelayedDaemon(ctx context.Context, t *testing.T, name string, store journal.Journal, source Source) *Table {
	t.Helper()
	relayed := relay.New(store, relay.Options{Name: name, Zone: "z", Address: freeAddress(t)}, zap.NewNop())
	table := NewTable(name+"/1", bootclock.Now, zap.NewNop())
	candidates := func(context.Context) []string { return []string{"a/1", "b/1"} }
	publisher := NewPublisher(table, relayed, source, candidates, zap.NewNop())
	relayed.Register(ServiceName, NewService(table, publisher, func() {}))
	if err := relayed.Serve(ctx); err != nil {
		t.Fatal(err)
	}
	go relayed.Run(ctx)
	const interval = 3 * time.Second
	go journal.NewKeyedFollower(relayed, relay.PeersPartition, relayed.PeersHandler(), interval, zap.NewNop()).Run(ctx)
	go publisher.Run(ctx)
	return table
}

// Guards against reports that are lost or altered between two daemons connected by net/rpc.
func TestReportsOverRelays(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	store := journaltest.New()
	sourceOf := func(requests uint32) Source {
		return func() Report {
			return Report{
				Counts: []RequestCount{{Replica: engine, Requests: requests}},
				Measurements: []Measurement{
					NewMeasurement(engine+Key(requests), time.Duration(requests)*10*time.Millisecond, 0),
				},
				Demands: []Demand{{Service: 1, Rank: 2, InFlight: requests, Waiting: 4}},
			}
		}
	}
	a, b := startRelayedDaemon(ctx, t, "a", store, sourceOf(3)), startRelayedDaemon(ctx, t, "b", store, sourceOf(5))
	for ctx.Err() == nil && (a.InFlight(engine) != 5 || b.InFlight(engine) != 3 || len(a.Demands(1)) == 0) {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(a.InFlight(engine), 5)
	is.Equal(b.InFlight(engine), 3)
	is.Equal(a.Demands(1), []Demand{{Service: 1, Rank: 2, InFlight: 5, Waiting: 4}})
	eventTime, _ := b.EventTime(engine + 3)
	is.Equal(eventTime, 30*time.Millisecond)
}
