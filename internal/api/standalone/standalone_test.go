package standalone_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/zeromicro/go-zero/core/logx"
	"go.uber.org/zap"

	"woodworks/examples"
	"woodworks/internal/api/client"
	"woodworks/internal/api/gateway"
	"woodworks/internal/api/rollout"
	"woodworks/internal/api/standalone"
	"woodworks/internal/daemon/node"
	"woodworks/internal/demo/fakebackend"
	"woodworks/internal/demo/fakeengine"
	"woodworks/internal/demo/process"
	"woodworks/internal/demo/services"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/requests/refusal"
)

// go-zero's client logs each request.
func init() { logx.Disable() }

// patience bounds the waits of these tests; it is no measure of speed.
const patience = 30 * time.Second

// floor is services with daemons, all in this process over loopback.
type floor struct {
	t        *testing.T
	services *services.Services
	nodes    []*node.Node
	public   []string
	internal []string
}

// newFloor starts daemons under Qarmoud's example policy: trainer "bots" with a
// staleness of 3, moves that are not repeatable, boards that are.
func newFloor(t *testing.T, daemons int) *floor {
	t.Helper()
	t.Parallel()
	started, err := services.Start(3, 2, []string{"z"})
	if err != nil {
		t.Fatal(err)
	}
	f := &floor{t: t, services: started}
	t.Cleanup(func() {
		f.stopAll()
		started.Stop()
	})
	for i := range daemons {
		f.daemon(fmt.Sprint("daemon-", i))
	}
	for i := range daemons {
		f.until("daemon is ready", func() bool {
			answer, err := f.client(i, "").Do(context.Background(), http.MethodGet, "/readyz", nil, nil)
			return err == nil && answer.Status == http.StatusOK
		})
	}
	return f
}

func (f *floor) address() string {
	address, err := process.FreeAddress()
	if err != nil {
		f.t.Fatal(err)
	}
	return address
}

func (f *floor) daemon(name string) {
	loaded := f.services.Settings(name, "z")
	loaded.Listen.Public, loaded.Listen.Internal = f.address(), f.address()
	if err := loaded.Check(); err != nil {
		f.t.Fatal(err)
	}
	logger := zap.NewNop()
	if os.Getenv("WOODWORKS_TEST_LOG") != "" {
		logger, _ = zap.NewDevelopment()
	}
	started, err := node.New(loaded, standalone.Connect, logger)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := started.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.nodes = append(f.nodes, started)
	f.public = append(f.public, loaded.Listen.Public)
	f.internal = append(f.internal, loaded.Listen.Internal)
}

func (f *floor) stopAll() {
	var stopping sync.WaitGroup
	for _, c := range f.nodes {
		stopping.Go(c.Stop)
	}
	stopping.Wait()
	f.nodes = nil
}

func (f *floor) until(what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("never: %s", what)
}

// client speaks to a daemon's public listener with a caller's key.
func (f *floor) client(daemon int, key string) *client.Client {
	return client.New("http://"+f.public[daemon], key)
}

// operator speaks to a daemon's internal listener as an operator.
func (f *floor) operator(daemon int) *client.Client {
	return client.New("http://"+f.internal[daemon], services.OperatorKey)
}

func (f *floor) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	f.t.Cleanup(cancel)
	return ctx
}

func batchOf(name string, prompts, samples int) rollout.Request {
	wanted := rollout.Request{Trainer: "bots", Name: name, SamplesPerPrompt: samples, MaxTokens: 80, Seed: 9}
	for i := range prompts {
		wanted.Prompts = append(wanted.Prompts, rollout.Prompt{ID: fmt.Sprint("p", i), Text: fmt.Sprint("board ", i)})
	}
	return wanted
}

// journalLate are the refusals of a daemon whose journal did not answer in time, which
// happens on a busy machine.
var journalLate = []string{"batch_unsure", "delivery_failed", "log_unavailable"}

// comesBack makes a call that may be repeated, again when a daemon says for as long as its
// journal is late.
func (f *floor) comesBack(call func() error) error {
	for end := time.Now().Add(patience); ; {
		err := call()
		problem, ok := client.AsProblem(err)
		if !ok || problem.Status != http.StatusServiceUnavailable || !slices.Contains(journalLate, problem.Problem.Code) {
			return err
		}
		wait := time.Duration(problem.Problem.RetryAfterMillis) * time.Millisecond
		if wait <= 0 || time.Now().Add(wait).After(end) {
			return err
		}
		f.t.Log("comes back in ", wait, ": ", err)
		time.Sleep(wait)
	}
}

// submit submits a batch of the trainer "bots".
func (f *floor) submit(daemon int, wanted rollout.Request) (submitted gateway.RolloutInfo, err error) {
	err = f.comesBack(func() error {
		submitted, err = f.client(daemon, "bots").SubmitBatch(f.ctx(), wanted)
		return err
	})
	return submitted, err
}

// announce tells a daemon of a version of the trainer "bots".
func (f *floor) announce(daemon int, version uint64) error {
	return f.comesBack(func() error { return f.client(daemon, "bots").AnnounceVersion(f.ctx(), "bots", version, "artifact") })
}

// pull asks for samples of a batch of the trainer "bots".
func (f *floor) pull(daemon int, name, cursor string, version uint64, limit int, wait time.Duration) (pulled gateway.PullResponse, err error) {
	err = f.comesBack(func() error {
		pulled, err = f.client(daemon, "bots").PullSamples(f.ctx(), "bots", name, cursor, version, limit, wait)
		return err
	})
	return pulled, err
}

// collect pulls a batch through the daemons in turn until it is done, and
// checks each sample against what its versions generate.
func (f *floor) collect(wanted rollout.Request, cursor string, version uint64, through ...int) map[int]rollout.Result {
	f.t.Helper()
	samples := map[int]rollout.Result{}
	for turn := 0; ; turn++ {
		pulled, err := f.pull(through[turn%len(through)], wanted.Name, cursor, version, 5, time.Second)
		if err != nil {
			f.t.Fatal(err)
		}
		for _, sample := range pulled.Samples {
			if _, doubled := samples[sample.Index]; doubled {
				f.t.Fatalf("sample %d was delivered twice", sample.Index)
			}
			samples[sample.Index] = sample
			f.checkSample(wanted, sample)
		}
		cursor = pulled.Cursor
		if pulled.Done {
			return samples
		}
	}
}

func (f *floor) checkSample(wanted rollout.Request, sample rollout.Result) {
	f.t.Helper()
	prompt := wanted.Prompts[sample.Index/wanted.SamplesPerPrompt]
	if sample.PromptID != prompt.ID || sample.Seed != rollout.SampleSeed(wanted.Seed, sample.Index) {
		f.t.Fatalf("sample %d names prompt %q and seed %d", sample.Index, sample.PromptID, sample.Seed)
	}
	want := min(fakeengine.Length(prompt.Text, sample.Seed, services.DefaultEngine().MedianTokens), wanted.MaxTokens)
	if len(sample.Tokens) != want {
		f.t.Fatalf("sample %d has %d tokens of %d", sample.Index, len(sample.Tokens), want)
	}
	if wrong := fakeengine.FirstWrong(wanted.Trainer, prompt.Text, sample); wrong >= 0 {
		f.t.Fatalf("sample %d, token %d: not made by the version that %v name", sample.Index, wrong, sample.Segments)
	}
}

func TestABatchIsDeliveredOnceThroughAnyDaemon(t *testing.T) {
	f := newFloor(t, 2)
	is := is.New(t)
	wanted := batchOf("step-1", 4, 4)
	first, err := f.submit(0, wanted)
	is.NoErr(err)
	again, err := f.submit(1, wanted)
	is.NoErr(err)
	is.Equal(first, again)
	is.Equal(len(f.collect(wanted, first.Cursor, 0, 0, 1)), 16)
	other := wanted
	other.Seed++
	_, err = f.submit(0, other)
	problem, ok := client.AsProblem(err)
	is.True(ok)
	is.Equal(problem.Status, http.StatusConflict)
}

func TestBrokenStreamsAreGoneOnWith(t *testing.T) {
	f := newFloor(t, 1)
	is := is.New(t)
	for _, engine := range f.services.Engines {
		engine.Break(4)
	}
	wanted := batchOf("broken", 4, 4)
	submitted, err := f.submit(0, wanted)
	is.NoErr(err)
	is.Equal(len(f.collect(wanted, submitted.Cursor, 0, 0)), 16)
	resumed := 0
	for _, engine := range f.services.Engines {
		for _, start := range engine.Starts() {
			if start.After >= 0 {
				resumed++
			}
		}
	}
	is.True(resumed > 0)
}

// Samples that are too old when they are asked for are made again.
func TestSamplesOverTheBoundAreMadeAgain(t *testing.T) {
	f := newFloor(t, 2)
	is := is.New(t)
	wanted := batchOf("stale", 2, 2)
	submitted, err := f.submit(0, wanted)
	is.NoErr(err)
	partly, err := f.pull(0, "stale", submitted.Cursor, 0, 1, patience)
	is.NoErr(err)
	is.Equal(len(partly.Samples), 1)
	for version := uint64(2); version <= 6; version++ {
		is.NoErr(f.announce(0, version))
	}
	// The policy's bound is 3: version 2 and older are too old for version 6.
	rest := f.collect(wanted, partly.Cursor, 6, 0, 1)
	is.Equal(len(rest), 3)
	for _, sample := range rest {
		for _, segment := range sample.Segments {
			is.True(segment.Version >= 3)
		}
	}
}

func TestWeightsFollowTheNamedVersion(t *testing.T) {
	f := newFloor(t, 2)
	is := is.New(t)
	is.NoErr(f.announce(1, 2))
	f.until("an engine was ordered to version 2", func() bool {
		for _, engine := range f.services.Engines {
			for _, order := range engine.Orders() {
				if order.Version == 2 {
					return true
				}
			}
		}
		return false
	})
	// An older version is answered with the newest.
	is.NoErr(f.announce(0, 1))
}

// A daemon whose read or claim had no answer from the journal in time, as on a machine that
// is busy, says so, and its caller asks again with the same key. If such a claim does count,
// nothing may run under the key any more, and all tries hear that.
func TestAKeyedMoveRunsOnceThroughAllDaemons(t *testing.T) {
	f := newFloor(t, 2)
	is := is.New(t)
	key := fmt.Sprintf("%d-abcdefgh", time.Now().UnixMilli())
	var tries sync.WaitGroup
	var unsure atomic.Bool
	answers := make([]client.Response, 6)
	for i := range answers {
		tries.Go(func() {
			for end := time.Now().Add(patience); time.Now().Before(end); {
				answers[i], _, _ = f.client(i%2, "players").CallOperation(f.ctx(), "game-front", "move", key, []byte("e4"))
				mayCount := bytes.Contains(answers[i].Body, []byte(refusal.V1PermitUnknown.Name))
				if !mayCount && !bytes.Contains(answers[i].Body, []byte(refusal.V1LogUnavailable.Name)) {
					return
				}
				if mayCount {
					unsure.Store(true)
				}
			}
		})
	}
	tries.Wait()
	status, executions := http.StatusOK, 1
	if unsure.Load() && answers[0].Status == http.StatusConflict {
		status, executions = http.StatusConflict, 0
	}
	for _, answer := range answers {
		is.Equal(answer.Status, status)
		is.Equal(string(answer.Body), string(answers[0].Body))
	}
	is.Equal(f.executions("e4"), executions)
	answer, outcome, err := f.client(0, "players").CallOperation(f.ctx(), "game-front", "move", key, []byte("d4"))
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusConflict)
	is.Equal(outcome, gateway.Unknown)
	is.Equal(f.executions("d4"), 0)
}

func (f *floor) executions(body string) int {
	count := 0
	for _, plain := range f.services.Plains {
		for _, one := range plain.Executed() {
			if one.Body == body {
				count++
			}
		}
	}
	return count
}

// A move whose answer is lost may have run, and is not sent again.
func TestALostAnswerIsUnknown(t *testing.T) {
	f := newFloor(t, 1)
	for _, fault := range []fakebackend.Fault{fakebackend.Cut, fakebackend.Truncate} {
		is := is.New(t)
		for _, plain := range f.services.Plains {
			plain.Befall(fault)
		}
		body := fmt.Sprint("move ", fault)
		answer, outcome, err := f.client(0, "players").CallOperation(f.ctx(), "game-front", "move", "", []byte(body))
		is.NoErr(err)
		is.Equal(answer.Status, http.StatusBadGateway)
		is.Equal(outcome, gateway.Unknown)
		is.Equal(f.executions(body), 1)
	}
}

func TestARepeatableCallIsTriedElsewhere(t *testing.T) {
	f := newFloor(t, 1)
	is := is.New(t)
	f.services.Plains[0].Befall(fakebackend.Cut, fakebackend.Cut)
	for range 4 {
		answer, outcome, err := f.client(0, "players").CallOperation(f.ctx(), "game-front", "board", "", []byte("show"))
		is.NoErr(err)
		is.Equal(answer.Status, http.StatusOK)
		is.Equal(outcome, gateway.Completed)
	}
}

func TestServicesOfTheInternalListenerAreHidden(t *testing.T) {
	f := newFloor(t, 1)
	is := is.New(t)
	answer, _, err := f.client(0, "players").CallOperation(f.ctx(), "lobby", "fetch", "", nil)
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusNotFound)
	answer, _, err = f.client(0, "arena").CallOperation(f.ctx(), "lobby", "fetch", "", nil)
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusUnauthorized) // an internal caller on the public listener
}

// stream asks for one sample and reads it whole: its last line ends it and counts its tokens.
func (f *floor) stream(daemon int, key, request string) (sample rollout.Result) {
	f.t.Helper()
	answer, err := f.client(daemon, key).Do(f.ctx(), http.MethodPost, "/v1/samples", http.Header{"Content-Type": {"application/json"}}, []byte(request))
	if err != nil || answer.Status != http.StatusOK {
		f.t.Fatal(answer.Status, err)
	}
	for decoder := json.NewDecoder(bytes.NewReader(answer.Body)); ; {
		var line gateway.SampleLine
		if err := decoder.Decode(&line); err != nil {
			f.t.Fatal("stream without its last line", err)
		}
		if line.Error != nil {
			f.t.Fatal(line.Error)
		}
		sample.Tokens = append(sample.Tokens, line.Tokens...)
		if line.End == "" {
			continue
		}
		if line.Total != len(sample.Tokens) {
			f.t.Fatalf("stream has %d of %d tokens", len(sample.Tokens), line.Total)
		}
		sample.Segments = line.Segments
		return sample
	}
}

func TestASampleIsStreamedWhole(t *testing.T) {
	f := newFloor(t, 1)
	is := is.New(t)
	sample := f.stream(0, "bots", `{"trainer": "bots", "prompt": "board", "seed": 3, "max_tokens": 50}`)
	is.Equal(len(sample.Tokens), min(fakeengine.Length("board", 3, services.DefaultEngine().MedianTokens), 50))
	for position, token := range sample.Tokens {
		is.Equal(token, fakeengine.Token("bots", "board", 3, sample.Segments[0].Version, position))
	}
}

func TestPublishedPoliciesComeIntoForceAtAllDaemons(t *testing.T) {
	f := newFloor(t, 2)
	is := is.New(t)
	publish := func(daemon int, source string, replaces int64) error {
		body := map[string]any{"name": "qarmoud", "source": source, "replaces": replaces}
		return f.operator(daemon).DoJSON(f.ctx(), http.MethodPost, "/v1/policies", body, nil)
	}
	changed := strings.Replace(examples.QarmoudPolicy, `"lobby"`, `"hall"`, 1)
	is.NoErr(publish(0, strings.ReplaceAll(changed, `"lobby"`, `"hall"`), 1))
	f.until("the policy is in force at the other daemon", func() bool {
		var status gateway.Status
		return f.operator(1).DoJSON(f.ctx(), http.MethodGet, "/v1/status", nil, &status) == nil && status.ConfigurationVersion == 2
	})
	problem, ok := client.AsProblem(publish(1, examples.QarmoudPolicy, 1))
	is.True(ok)
	is.Equal(problem.Status, http.StatusConflict)
	problem, ok = client.AsProblem(publish(1, "no policy (", 2))
	is.True(ok)
	is.Equal(problem.Status, http.StatusUnprocessableEntity)
	var list gateway.PolicyList
	is.NoErr(f.operator(1).DoJSON(f.ctx(), http.MethodGet, "/v1/policies", nil, &list))
	is.Equal(len(list.History), 2)
}

func TestADrainedBackEndGetsNoNewWork(t *testing.T) {
	f := newFloor(t, 2)
	is := is.New(t)
	is.NoErr(f.comesBack(func() error {
		return f.operator(0).DoJSON(f.ctx(), http.MethodPost, "/v1/drains", map[string]any{"machine": "plain-0"}, nil)
	}))
	f.until("both daemons know", func() bool {
		for i := range 2 {
			var status gateway.Status
			if f.operator(i).DoJSON(f.ctx(), http.MethodGet, "/v1/status", nil, &status) != nil {
				return false
			}
			for _, c := range status.Replicas {
				if c.ID == "plain-0" && !c.Draining {
					return false
				}
			}
		}
		return true
	})
	before := len(f.services.Plains[0].Executed())
	for i := range 20 {
		_, outcome, err := f.client(i%2, "players").CallOperation(f.ctx(), "game-front", "move", "", []byte("after"))
		is.NoErr(err)
		is.Equal(outcome, gateway.Completed)
	}
	is.Equal(len(f.services.Plains[0].Executed()), before)
	problem, ok := client.AsProblem(f.operator(0).DoJSON(f.ctx(), http.MethodPost, "/v1/drains", map[string]any{"machine": "nobody"}, nil))
	is.True(ok)
	is.Equal(problem.Status, http.StatusNotFound)
}

// A planned stop hands the batch over; nothing of it is lost or doubled.
func TestAPlannedStopLosesNoSample(t *testing.T) {
	f := newFloor(t, 2)
	is := is.New(t)
	wanted := batchOf("stop", 8, 4)
	submitted, err := f.submit(0, wanted)
	is.NoErr(err)
	f.until("samples are being made", func() bool {
		for _, engine := range f.services.Engines {
			if len(engine.Starts()) > 0 {
				return true
			}
		}
		return false
	})
	stopped := make(chan struct{})
	go func() {
		f.nodes[0].Stop()
		close(stopped)
	}()
	is.Equal(len(f.collect(wanted, submitted.Cursor, 0, 1)), 32)
	<-stopped
	f.nodes = f.nodes[1:]
}

func TestAnEngineThatDiesLosesNoSample(t *testing.T) {
	f := newFloor(t, 1)
	is := is.New(t)
	wanted := batchOf("kill", 8, 4)
	submitted, err := f.submit(0, wanted)
	is.NoErr(err)
	f.services.Engines[1].Kill()
	is.Equal(len(f.collect(wanted, submitted.Cursor, 0, 0)), 32)
}

// While the log is away nothing is taken in, and the answer says so truly: the outcome is unknown
// only where the deadline cut an append that was under way.
func TestWithoutTheLogNothingIsTakenIn(t *testing.T) {
	f := newFloor(t, 1)
	is := is.New(t)
	f.services.Log.SetFault(func(call journaltest.Call) journaltest.Fault {
		if call == journaltest.Append {
			return journaltest.Refuse
		}
		return journaltest.None
	})
	wanted := batchOf("away", 1, 1)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	f.until("a refusal is certain", func() bool {
		_, err := f.client(0, "bots").SubmitBatch(ctx, wanted)
		problem, ok := client.AsProblem(err)
		is.True(ok)
		is.Equal(problem.Status, http.StatusServiceUnavailable)
		is.True(problem.Problem.RetryAfterMillis > 0)
		if problem.Problem.Outcome == gateway.NotExecuted {
			return true
		}
		is.Equal(problem.Problem.Outcome, gateway.Unknown)
		return false
	})
	key := fmt.Sprintf("%d-abcdefgh", time.Now().UnixMilli())
	answer, _, err := f.client(0, "players").CallOperation(ctx, "game-front", "move", key, []byte("away"))
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusServiceUnavailable)
	is.Equal(f.executions("away"), 0)
	f.services.Log.SetFault(nil)
	_, err = f.client(0, "bots").SubmitBatch(ctx, wanted)
	is.NoErr(err)
}

func TestWrongRequestsNameTheField(t *testing.T) {
	f := newFloor(t, 1)
	is := is.New(t)
	cases := []struct{ method, path, body, field string }{
		{http.MethodPost, "/v1/rollouts", `{"trainer":"bots","name":"n","samples_per_prompt":0}`, "prompts"},
		{http.MethodPost, "/v1/rollouts", `{"trainer":"bots","nme":"n"}`, "nme"},
		{http.MethodPost, "/v1/rollouts", `{"trainer":"others","name":"n","prompts":[{"id":"a","text":"t"}],"samples_per_prompt":1,"max_tokens":1}`, "trainer"},
		{http.MethodGet, "/v1/rollouts/bots/n/samples?max=0", "", "max"},
		{http.MethodGet, "/v1/rollouts/bots/n/samples?cursor=zzz", "", "cursor"},
		{http.MethodPost, "/v1/samples", `{"trainer":"bots","prompt":"p","max_tokens":-1}`, "max_tokens"},
		{http.MethodPost, "/v1/trainers/bots/versions", `{"version":0,"artifact":"a"}`, "version"},
		{http.MethodPost, "/v1/trainers/bots/versions", `{"version":1}`, "artifact"},
	}
	for _, one := range cases {
		var body any
		if one.body != "" {
			body = rawJSON(one.body)
		}
		problem, ok := client.AsProblem(f.client(0, "bots").DoJSON(f.ctx(), one.method, one.path, body, nil))
		is.True(ok)
		is.Equal(problem.Problem.Field, one.field)
		is.Equal(problem.Problem.Outcome, gateway.NotExecuted)
	}
	_, err := f.client(0, "bots").PullSamples(f.ctx(), "bots", "nothing", "", 0, 1, 0)
	problem, ok := client.AsProblem(err)
	is.True(ok)
	is.Equal(problem.Problem.Code, "unknown_batch")
	var status gateway.Status
	problem, ok = client.AsProblem(f.client(0, "nobody").DoJSON(f.ctx(), http.MethodGet, "/v1/rollouts/bots/n", nil, &status))
	is.True(ok)
	is.Equal(problem.Status, http.StatusUnauthorized)
}

// rawJSON is a text that is JSON already.
type rawJSON string

// MarshalJSON implements json.Marshaler.
func (raw rawJSON) MarshalJSON() ([]byte, error) { return []byte(raw), nil }

func TestAnEndedBatchMakesNoMoreSamples(t *testing.T) {
	f := newFloor(t, 1)
	is := is.New(t)
	wanted := batchOf("ended", 8, 8)
	_, err := f.submit(0, wanted)
	is.NoErr(err)
	is.NoErr(f.client(0, "bots").DoJSON(f.ctx(), http.MethodDelete, "/v1/rollouts/bots/ended", nil, nil))
	starts := func() int {
		count := 0
		for _, engine := range f.services.Engines {
			count += len(engine.Starts())
		}
		return count
	}
	var seen int
	f.until("no more samples are begun", func() bool {
		before := starts()
		time.Sleep(200 * time.Millisecond)
		seen = starts()
		return seen == before
	})
	is.True(seen < 64)
}

// A move that no back end took gives its key back: the same key runs it later,
// once, at any daemon.
func TestAKeyOfAMoveThatDidNotRunIsFreeAgain(t *testing.T) {
	f := newFloor(t, 2)
	is := is.New(t)
	key := fmt.Sprintf("%d-abcdefgh", time.Now().UnixMilli())
	declines := slices.Repeat([]fakebackend.Fault{fakebackend.Decline}, 500)
	for _, plain := range f.services.Plains {
		plain.Befall(declines...)
	}
	answer, outcome, err := f.client(0, "players").CallOperation(f.ctx(), "game-front", "move", key, []byte("e4"))
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusServiceUnavailable)
	is.Equal(outcome, gateway.NotExecuted)
	is.Equal(f.executions("e4"), 0)
	for _, plain := range f.services.Plains {
		plain.Befall()
	}
	f.until("the move runs", func() bool {
		answer, _, err := f.client(1, "players").CallOperation(f.ctx(), "game-front", "move", key, []byte("e4"))
		return err == nil && answer.Status == http.StatusOK
	})
	is.Equal(f.executions("e4"), 1)
	answer, _, err = f.client(0, "players").CallOperation(f.ctx(), "game-front", "move", key, []byte("e4"))
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusOK)
	is.Equal(f.executions("e4"), 1)
}
