package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/router"
	"go.uber.org/zap"

	"woodworks/examples"
	"woodworks/internal/client"
	"woodworks/internal/daemon"
	"woodworks/internal/lab/enginestand"
	"woodworks/internal/lab/floor"
	"woodworks/internal/lab/logstand"
	"woodworks/internal/lab/machinestand"
	"woodworks/internal/lab/plainstand"
	"woodworks/internal/logging"
	"woodworks/internal/platform/machinelist"
	"woodworks/internal/policy"
	"woodworks/internal/settings"
)

func TestMain(m *testing.M) {
	if _, err := logging.New("error", "test"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const (
	operatorKey = "test-operator"
	// patience bounds waits that end as soon as they can.
	patience = 30 * time.Second
)

// testFloor is a floor in this process: stand-ins behind test servers, and
// real daemons on loopback.
type testFloor struct {
	t        testing.TB
	log      *httptest.Server
	list     *httptest.Server
	plains   []*httptest.Server
	engines  []*httptest.Server
	settings []settings.Settings
	daemons  []*daemon.Daemon
	mutex    sync.Mutex
	clients  map[string]*client.Client
}

func serve(t testing.TB, routes []rest.Route) *httptest.Server {
	t.Helper()
	routing := router.NewRouter()
	for _, route := range routes {
		if err := routing.Handle(route.Method, route.Path, route.Handler); err != nil {
			t.Fatal(err)
		}
	}
	server := httptest.NewServer(routing)
	t.Cleanup(server.Close)
	return server
}

// newFloor starts the platform, two engines and two plain back ends, and plans
// the daemons; startDaemons starts them.
func newFloor(t testing.TB, daemons int) *testFloor {
	t.Helper()
	one := &testFloor{t: t, clients: map[string]*client.Client{}, log: serve(t, logstand.New(1).Routes()), list: serve(t, machinestand.New(0).Routes())}
	for i := range 2 {
		config := enginestand.DefaultConfig()
		config.Instance = fmt.Sprint("engine-", i)
		config.Service = "assessor-lm"
		config.SwapTime = 20 * time.Millisecond
		config.MedianTokens = 30
		engine := enginestand.New(config)
		stop := make(chan struct{})
		t.Cleanup(func() { close(stop) })
		go engine.Run(stop)
		one.engines = append(one.engines, serve(t, engine.Routes()))
		one.listMachine(config.Instance, "assessor-lm", one.engines[i].URL, machinelist.Live)
		name := fmt.Sprint("desk-", i)
		one.plains = append(one.plains, serve(t, plainstand.New(name, "permit-desk", time.Millisecond, 1).Routes()))
		one.listMachine(name, "permit-desk", one.plains[i].URL, machinelist.Live)
	}
	for i := range daemons {
		one.settings = append(one.settings, one.plan(i))
	}
	return one
}

func (one *testFloor) listMachine(name, service, url string, state machinelist.State) {
	one.t.Helper()
	err := floor.PostJSON(one.list.URL+"/admin/machines", machinelist.Machine{
		Name: name, Service: service, Address: strings.TrimPrefix(url, "http://"), Zone: "zone-0", Region: "r", State: state,
	})
	if err != nil {
		one.t.Fatal(err)
	}
}

func (one *testFloor) plan(index int) settings.Settings {
	loaded := settings.Defaults()
	loaded.Name = fmt.Sprint("d", index)
	loaded.Zone = fmt.Sprint("zone-", index)
	loaded.Region = "r"
	loaded.Platform = settings.Platform{LogURL: one.log.URL, MachineListURL: one.list.URL}
	loaded.Operators = []settings.OperatorKey{{Name: "op", KeySHA256: policy.KeyDigest(operatorKey)}}
	loaded.Limits.MaxBodyBytes = 64 << 10
	loaded.Limits.ChunkSamples = 4
	for _, target := range []*string{&loaded.Listen.Public, &loaded.Listen.Internal, &loaded.Listen.Peer} {
		port, err := floor.FreePort("127.0.0.1")
		if err != nil {
			one.t.Fatal(err)
		}
		*target = net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	}
	for i := range one.settings {
		loaded.Seeds = append(loaded.Seeds, one.settings[i].Listen.Peer)
	}
	return loaded
}

func (one *testFloor) startDaemons() {
	one.t.Helper()
	for _, loaded := range one.settings {
		started, err := daemon.New(loaded, zap.NewNop())
		if err != nil {
			one.t.Fatal(err)
		}
		if err := started.Start(); err != nil {
			one.t.Fatal(err)
		}
		one.t.Cleanup(started.Close)
		one.daemons = append(one.daemons, started)
	}
}

// startReady starts the daemons with the Operator's policy and waits until
// they are ready and the trainer's first version is loaded.
func startReady(t testing.TB, daemons int) *testFloor {
	t.Helper()
	one := newFloor(t, daemons)
	one.startDaemons()
	one.await("the first policy", func() bool { return one.publish(examples.OperatorPolicy, nil) == nil })
	for i := range one.settings {
		one.await("readiness", func() bool { return one.ready(i) })
	}
	if err := one.public(0, "assessor").Announce(context.Background(), "assessor", 1, "a-1"); err != nil {
		t.Fatal(err)
	}
	return one
}

func (one *testFloor) await(what string, holds func() bool) {
	one.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	one.t.Fatalf("%s did not come about", what)
}

func (one *testFloor) public(index int, key string) *client.Client {
	return one.client("http://"+one.settings[index].Listen.Public, key)
}

func (one *testFloor) internal(index int, key string) *client.Client {
	return one.client("http://"+one.settings[index].Listen.Internal, key)
}

// client returns one client a listener and key, as each has connections.
func (one *testFloor) client(base, key string) *client.Client {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	if one.clients[base+key] == nil {
		one.clients[base+key] = client.New(base, key)
	}
	return one.clients[base+key]
}

func (one *testFloor) ready(index int) bool {
	answer, err := one.internal(index, "").Do(context.Background(), http.MethodGet, "/readyz", http.Header{}, nil)
	return err == nil && answer.Status == http.StatusOK
}

func (one *testFloor) publish(source string, replaces *uint64) error {
	body := struct {
		Name     string  `json:"name"`
		Source   string  `json:"source"`
		Replaces *uint64 `json:"replaces,omitempty"`
	}{"operator", source, replaces}
	return one.internal(0, operatorKey).JSON(context.Background(), http.MethodPost, "/v1/policies", body, nil)
}

// executions returns what the plain back ends executed, by body.
func (one *testFloor) executions() map[string]int {
	counts := map[string]int{}
	for _, backend := range one.plains {
		var ledger []plainstand.Execution
		if err := floor.GetJSON(backend.URL+"/admin/ledger", &ledger); err != nil {
			one.t.Fatal(err)
		}
		for _, execution := range ledger {
			counts[execution.Body]++
		}
	}
	return counts
}

// problem decodes the final answer of a refused request.
func problem(t *testing.T, answer client.Answer) (code, field, outcome, thisTry string) {
	t.Helper()
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Field   string `json:"field"`
			Outcome string `json:"outcome"`
			ThisTry string `json:"this_try"`
		} `json:"error"`
	}
	if err := json.Unmarshal(answer.Body, &body); err != nil {
		t.Fatalf("%s: %v", answer.Body, err)
	}
	return body.Error.Code, body.Error.Field, body.Error.Outcome, body.Error.ThisTry
}
