package forward

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/upstream"
)

// For a request, a crashed replica and a broken connection look the same. The log line must tell
// them apart, and must name the content so that attempts with the same content can be
// correlated.
func TestFailedAttemptLogsWhetherReplicaEnded(t *testing.T) {
	for _, c := range []struct {
		process string
		ends    bool
	}{{"gone", true}, {"alive", false}} {
		t.Run(c.process, func(t *testing.T) {
			is := is.New(t)
			core, logged := observer.New(zapcore.InfoLevel)
			server := httptest.NewUnstartedServer(nil)
			server.Config.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				if c.ends {
					_ = server.Listener.Close()
				}
				panic(http.ErrAbortHandler)
			})
			server.Start()
			t.Cleanup(server.Close)
			table := replica.NewTable(time.Second, zap.NewNop())
			table.Set(replica.Entry{ID: "a", Service: "s", Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Slots: 4})
			f := &testService{forwarder: &Forwarder{MaxConnections: UnboundedConnections, Table: table, Quarantine: quarantine.New("m", time.Now, zap.NewNop()), Names: names, Logger: zap.New(core), Observe: func(string, string, time.Duration) {},
				Pool: upstream.NewPool(upstream.Options{ConnectTimeout: time.Second, UnackedTimeout: time.Second})}}
			var asked *Call
			_, err := f.call(t, func(call *Call) { asked = call })
			is.True(err != nil)
			lines := logged.FilterMessage("attempt failed").All()
			is.Equal(len(lines), 1)
			fields := lines[0].ContextMap()
			is.Equal(fields["process"], c.process)
			is.Equal(fields["content"], asked.content.Digest().Short())
			is.Equal(fields["replica"], "a")
			is.Equal(fields["may_have_run"], true)
		})
	}
}

// A suspected content gets an isolated run only if other replicas remain, so a replica must not
// count as one of the others itself.
func TestOtherIncarnationsExcludeReplica(t *testing.T) {
	is := is.New(t)
	f := newTestService(t, 2)
	rep, ok := f.forwarder.Table.Get("a")
	is.True(ok)
	is.Equal(f.forwarder.otherIncarnations(rep), []string{"b"})
}

// Guards against a planned end that counts against the content that ran then: the replica was taken off the
// list without stating that it is draining, served on, and ended. A crashed one ends first.
func TestPlannedEndIsNoEvidenceAgainstContent(t *testing.T) {
	const servesOn = 20 * time.Millisecond
	remove := func(table *replica.Table) {
		table.Replace(nil)
		time.Sleep(servesOn)
	}
	for name, c := range map[string]struct {
		drainBound time.Duration
		before     func(table *replica.Table)
		want       quarantine.Suspicion
	}{
		"crashes":               {servesOn, func(*replica.Table) {}, quarantine.Suspected},
		"crashes as it leaves":  {time.Hour, remove, quarantine.Suspected},
		"leaves":                {servesOn, remove, quarantine.Unsuspected},
		"starts again under it": {servesOn, startAgain, quarantine.Suspected},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := replica.NewTable(c.drainBound, zap.NewNop())
			server := httptest.NewUnstartedServer(nil)
			server.Config.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				_ = server.Listener.Close()
				c.before(table)
				panic(http.ErrAbortHandler)
			})
			server.Start()
			t.Cleanup(server.Close)
			table.Set(replica.Entry{ID: "a", Service: "s", Slots: 4, StartedAt: time.UnixMilli(1000),
				Address: netip.MustParseAddrPort(server.Listener.Addr().String())})
			f := newTestService(t, 0)
			f.forwarder.Table = table
			var asked *Call
			_, err := f.call(t, func(call *Call) { asked = call })
			is.True(err != nil)
			is.Equal(f.forwarder.Quarantine.Suspicion(asked.content), c.want)
		})
	}
}

// startAgain lists a later incarnation of the only replica.
func startAgain(table *replica.Table) {
	entry := table.All()[0].Entry
	entry.StartedAt = entry.StartedAt.Add(time.Second)
	table.Replace([]replica.Entry{entry})
}
