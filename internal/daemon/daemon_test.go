package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"woodworks/examples"
	"woodworks/internal/calls"
	"woodworks/internal/client"
	"woodworks/internal/gateway"
	"woodworks/internal/lab/floor"
	"woodworks/internal/lab/logstand"
	"woodworks/internal/lab/plainstand"
	"woodworks/internal/lab/workload"
	"woodworks/internal/platform/machinelist"
	"woodworks/internal/rollout"
)

func newKey(name string) string { return fmt.Sprintf("%d-%s", time.Now().UnixMilli(), name) }

func TestBadInputGetsItsOwnAnswer(t *testing.T) {
	one := startReady(t, 1)
	const batch = `{"trainer":"assessor","name":"x","prompts":[{"id":"p","text":"t"}],"samples_per_prompt":1,"max_tokens":5}`
	cases := []struct {
		name, key, method, path, body string
		internal                      bool
		header                        http.Header
		status                        int
		code, field                   string
	}{
		{name: "no key", method: "POST", path: "/v1/rollouts", body: batch, status: 401, code: "unauthorized"},
		{name: "wrong key", key: "guess", method: "POST", path: "/v1/rollouts", body: batch, status: 401, code: "unauthorized"},
		{name: "internal caller on the public listener", key: "registry", method: "POST", path: "/v1/services/permit-desk/status", status: 401, code: "unauthorized"},
		{name: "operator key on the public listener", key: operatorKey, method: "POST", path: "/v1/rollouts", body: batch, status: 401, code: "unauthorized"},
		{name: "malformed JSON", key: "assessor", method: "POST", path: "/v1/rollouts", body: `{"trainer":`, status: 400, code: "bad_request", field: "body"},
		{name: "two JSON values", key: "assessor", method: "POST", path: "/v1/rollouts", body: batch + batch, status: 400, code: "bad_request", field: "body"},
		{name: "unknown field", key: "assessor", method: "POST", path: "/v1/rollouts", body: `{"trainer":"assessor","speed":1}`, status: 400, code: "bad_request", field: "speed"},
		{name: "wrong type", key: "assessor", method: "POST", path: "/v1/rollouts", body: `{"trainer":"assessor","max_tokens":"many"}`, status: 400, code: "bad_request", field: "max_tokens"},
		{name: "negative count", key: "assessor", method: "POST", path: "/v1/rollouts", body: strings.Replace(batch, `"samples_per_prompt":1`, `"samples_per_prompt":-1`, 1), status: 400, code: "bad_request", field: "samples_per_prompt"},
		{name: "oversize body", key: "assessor", method: "POST", path: "/v1/rollouts", body: `{"name":"` + strings.Repeat("x", 70<<10) + `"}`, status: 413, code: "body_too_large", field: "body"},
		{name: "another's trainer", key: "clerks", method: "POST", path: "/v1/rollouts", body: batch, status: 403, code: "not_your_trainer", field: "trainer"},
		{name: "unknown trainer", key: operatorKey, internal: true, method: "POST", path: "/v1/rollouts", body: strings.Replace(batch, `"assessor"`, `"nobody"`, 1), status: 404, code: "unknown_trainer", field: "trainer"},
		{name: "unknown batch", key: "assessor", method: "GET", path: "/v1/rollouts/assessor/none/samples", status: 404, code: "unknown_batch"},
		{name: "damaged cursor", key: "assessor", method: "GET", path: "/v1/rollouts/assessor/x/samples?cursor=abc", status: 400, code: "bad_request", field: "cursor"},
		{name: "wait out of range", key: "assessor", method: "GET", path: "/v1/rollouts/assessor/x/samples?wait_ms=-1", status: 400, code: "bad_request", field: "wait_ms"},
		{name: "version zero", key: "assessor", method: "POST", path: "/v1/trainers/assessor/versions", body: `{"version":0,"artifact":"a"}`, status: 400, code: "bad_request", field: "version"},
		{name: "sample without prompt", key: "assessor", method: "POST", path: "/v1/samples", body: `{"trainer":"assessor","max_tokens":5}`, status: 400, code: "bad_request", field: "prompt"},
		{name: "unknown service", key: "clerks", method: "POST", path: "/v1/services/nope/status", status: 404, code: "unknown_service", field: "service"},
		{name: "engine as a plain service", key: "clerks", method: "POST", path: "/v1/services/assessor-lm/x", status: 404, code: "unknown_service", field: "service"},
		{name: "unknown operation", key: "clerks", method: "POST", path: "/v1/services/permit-desk/nope", status: 404, code: "unknown_operation", field: "operation"},
		{name: "malformed request key", key: "clerks", method: "POST", path: "/v1/services/permit-desk/register", header: http.Header{gateway.KeyHeader: {"abc"}}, status: 400, code: "bad_request", field: gateway.KeyHeader},
		{name: "unknown path", key: "clerks", method: "GET", path: "/v1/nope", status: 404, code: "not_found"},
		{name: "wrong method", key: "clerks", method: "GET", path: "/v1/rollouts", status: 405, code: "method_not_allowed"},
		{name: "status on the public listener", key: "assessor", method: "GET", path: "/v1/status", status: 404, code: "not_found"},
		{name: "status for another caller", key: "registry", internal: true, method: "GET", path: "/v1/status", status: 403, code: "operators_only"},
		{name: "broken policy", key: operatorKey, internal: true, method: "POST", path: "/v1/policies", body: `{"name":"operator","source":"service("}`, status: 422, code: "policy_invalid", field: "source"},
		{name: "stale policy", key: operatorKey, internal: true, method: "POST", path: "/v1/policies", body: `{"name":"operator","source":"","replaces":77}`, status: 409, code: "policy_conflict", field: "replaces"},
		{name: "drain of an unknown machine", key: operatorKey, internal: true, method: "POST", path: "/v1/drains", body: `{"machine":"nope"}`, status: 404, code: "unknown_machine", field: "machine"},
	}
	for _, wrong := range cases {
		t.Run(wrong.name, func(t *testing.T) {
			is := is.New(t)
			caller := one.public(0, wrong.key)
			if wrong.internal {
				caller = one.internal(0, wrong.key)
			}
			header := wrong.header
			if header == nil {
				header = http.Header{}
			}
			answer, err := caller.Do(context.Background(), wrong.method, wrong.path, header, []byte(wrong.body))
			is.NoErr(err)
			is.Equal(answer.Status, wrong.status)
			code, field, _, _ := problem(t, answer)
			is.Equal(code, wrong.code)
			is.Equal(field, wrong.field)
		})
	}
	if !one.ready(0) {
		t.Fatal("the daemon does not go on after bad input")
	}
}

// pullAll takes a whole batch through the given daemons in turn.
func pullAll(t *testing.T, one *testFloor, submitted client.Submitted, version uint64, daemons ...int) []rollout.Result {
	t.Helper()
	var all []rollout.Result
	cursor := submitted.Cursor
	for number := 0; ; number++ {
		pulled, err := one.public(daemons[number%len(daemons)], "assessor").Pull(context.Background(), "assessor", submitted.Name, cursor, version, 100, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, pulled.Samples...)
		cursor = pulled.Cursor
		if pulled.Done {
			return all
		}
	}
}

func TestBatchIsDeliveredOnceThroughAnyDaemon(t *testing.T) {
	is := is.New(t)
	one := startReady(t, 3)
	request := rollout.Request{Trainer: "assessor", Name: "step-1", SamplesPerPrompt: 5, MaxTokens: 60, Seed: 9, Prompts: []rollout.Prompt{{ID: "a", Text: "first"}, {ID: "b", Text: "second"}}}
	submitted, err := one.public(0, "assessor").Submit(context.Background(), request)
	is.NoErr(err)
	again, err := one.public(1, "assessor").Submit(context.Background(), request)
	is.NoErr(err)
	is.Equal(again, submitted) // the same name and content is the same batch
	other := request
	other.Seed++
	_, err = one.public(2, "assessor").Submit(context.Background(), other)
	conflict, answered := client.AsProblem(err)
	is.True(answered)
	is.Equal(conflict.Status, http.StatusConflict)

	ledger := workload.NewLedger()
	seen := map[int]bool{}
	for _, sample := range pullAll(t, one, submitted, 1, 0, 1, 2) {
		is.True(!seen[sample.Index])
		seen[sample.Index] = true
		ledger.CheckSample(request, sample, 30, 1, 1)
	}
	is.Equal(len(seen), 10)
	violations, details := ledger.Violations()
	is.Equal(violations, 0)
	is.Equal(len(details), 0)
}

func TestSameCursorGivesTheSameSamples(t *testing.T) {
	is := is.New(t)
	one := startReady(t, 3)
	request := rollout.Request{Trainer: "assessor", Name: "step-1", SamplesPerPrompt: 4, MaxTokens: 40, Prompts: []rollout.Prompt{{ID: "a", Text: "first"}}}
	submitted, err := one.public(0, "assessor").Submit(context.Background(), request)
	is.NoErr(err)
	pull := func(daemon int, cursor string) client.Pulled {
		pulled, err := one.public(daemon, "assessor").Pull(context.Background(), "assessor", "step-1", cursor, 1, 100, time.Second)
		is.NoErr(err)
		return pulled
	}
	var first client.Pulled
	one.await("all samples", func() bool { first = pull(0, submitted.Cursor); return len(first.Samples) == 4 })
	is.Equal(pull(1, submitted.Cursor), first) // as after a lost answer
	is.Equal(pull(2, first.Cursor).Done, true) // acknowledged ones never return
	is.Equal(len(pull(2, first.Cursor).Samples), 0)
}

func TestStaleSamplesAreMadeAgain(t *testing.T) {
	is := is.New(t)
	one := startReady(t, 1)
	request := rollout.Request{Trainer: "assessor", Name: "step-1", SamplesPerPrompt: 4, MaxTokens: 40, Prompts: []rollout.Prompt{{ID: "a", Text: "first"}}}
	submitted, err := one.public(0, "assessor").Submit(context.Background(), request)
	is.NoErr(err)
	one.await("samples of version 1", func() bool { return one.daemons[0].Status().SamplesDone >= 4 })
	is.NoErr(one.public(0, "assessor").Announce(context.Background(), "assessor", 5, "a-5"))
	for _, sample := range pullAll(t, one, submitted, 5, 0) {
		is.Equal(sample.OldestVersion(), uint64(5))
	}
	is.Equal(one.daemons[0].Status().SamplesStale, uint64(4)) // counted
}

func TestMoveWithAKeyRunsOnceThroughAnyDaemon(t *testing.T) {
	is := is.New(t)
	one := startReady(t, 3)
	one.await("a placement epoch", func() bool {
		_, result, err := one.public(0, "clerks").Call(context.Background(), "permit-desk", "register", newKey("warm.up.1"), []byte("warm up"))
		return err == nil && result == calls.Completed
	})
	key := newKey("move.0001")
	var bodies []string
	for daemon := range 3 {
		answer, result, err := one.public(daemon, "clerks").Call(context.Background(), "permit-desk", "register", key, []byte("plot 7"))
		is.NoErr(err)
		is.Equal(result, calls.Completed)
		bodies = append(bodies, string(answer.Body))
	}
	is.Equal(bodies[0], bodies[1])
	is.Equal(bodies[0], bodies[2])
	is.Equal(one.executions()["plot 7"], 1)

	answer, result, err := one.public(1, "clerks").Call(context.Background(), "permit-desk", "register", key, []byte("plot 8"))
	is.NoErr(err)
	is.Equal(result, calls.NotExecuted)
	code, _, _, _ := problem(t, answer)
	is.Equal(code, string(calls.CodeKeyReused))
	is.Equal(one.executions()["plot 8"], 0)
}

func TestMoveOfABrokenBackEndIsUnknownAndRunsOnce(t *testing.T) {
	is := is.New(t)
	one := startReady(t, 1)
	for _, backend := range one.plains {
		is.NoErr(floor.PostJSON(backend.URL+"/admin/faults", plainstand.Faults{CloseAfterRead: 1}))
	}
	_, result, err := one.public(0, "clerks").Call(context.Background(), "permit-desk", "register", "", []byte("plot 1"))
	is.NoErr(err)
	is.Equal(result, calls.Unknown)
	is.Equal(one.executions()["plot 1"], 1)
}

// With the log down, a majority of the witnesses is enough to go on.
func TestDaemonsGoOnWhileTheLogIsDown(t *testing.T) {
	is := is.New(t)
	one := startReady(t, 3)
	one.await("an epoch of three", func() bool { return one.daemons[0].Status().EpochMembers == 3 })
	is.NoErr(floor.PostJSON(one.log.URL+"/admin/faults", logstand.Faults{Down: true}))
	one.daemons[2].Close()
	outage := time.Now()
	bound := one.settings[0].Timing.ConfirmBound.Std()
	one.await("a move in the outage", func() bool {
		if time.Since(outage) < 2*bound {
			return false
		}
		_, result, err := one.public(0, "clerks").Call(context.Background(), "permit-desk", "register", newKey("move.0001"), []byte("plot 3"))
		return err == nil && result == calls.Completed
	})
	is.True(one.ready(0))
}

// A daemon that can ask neither the log nor a majority of witnesses stops
// admitting, and says so truthfully, also of a request with a key.
func TestDaemonCutOffFromTheLogStopsAdmitting(t *testing.T) {
	is := is.New(t)
	one := startReady(t, 3)
	one.await("an epoch of three", func() bool { return one.daemons[0].Status().EpochMembers == 3 })
	is.NoErr(floor.PostJSON(one.log.URL+"/admin/faults", logstand.Faults{Down: true}))
	one.daemons[1].Close()
	one.daemons[2].Close()
	one.await("readiness to end", func() bool { return !one.ready(0) })
	answer, result, err := one.public(0, "clerks").Call(context.Background(), "permit-desk", "register", newKey("move.0001"), []byte("plot 1"))
	is.NoErr(err)
	code, _, _, thisTry := problem(t, answer)
	is.Equal(code, "configuration_not_confirmed")
	is.Equal(result, calls.Unknown) // an earlier try elsewhere may have run
	is.Equal(thisTry, "not_sent")
	_, result, err = one.public(0, "clerks").Call(context.Background(), "permit-desk", "register", "", []byte("plot 2"))
	is.NoErr(err)
	is.Equal(result, calls.NotExecuted)
	is.True(answer.Header.Get("Retry-After") != "")
	is.Equal(len(one.executions()), 0)
}

func TestDaemonWithoutPolicyIsNotReady(t *testing.T) {
	is := is.New(t)
	one := newFloor(t, 1)
	one.startDaemons()
	is.True(!one.ready(0))
	one.await("the first policy", func() bool { return one.publish(examples.OperatorPolicy, nil) == nil })
	one.await("readiness", func() bool { return one.ready(0) })
}

func TestDrainedBackEndGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	one := startReady(t, 2)
	drain := func(machine string) error {
		return one.internal(1, operatorKey).JSON(context.Background(), http.MethodPost, "/v1/drains", map[string]string{"machine": machine}, nil)
	}
	one.await("the machine to be listed", func() bool { return drain("desk-0") == nil })
	one.await("the order to arrive", func() bool {
		for _, replica := range one.daemons[0].Status().Replicas {
			if replica.Machine == "desk-0" {
				return replica.Leaving
			}
		}
		return false
	})
	one.listMachine("desk-1", "permit-desk", one.plains[1].URL, machinelist.Leaving)
	one.await("the list to arrive", func() bool {
		for _, replica := range one.daemons[0].Status().Replicas {
			if replica.Machine == "desk-1" {
				return replica.Leaving
			}
		}
		return false
	})
	_, result, err := one.public(0, "clerks").Call(context.Background(), "permit-desk", "status", "", []byte("late"))
	is.NoErr(err)
	is.Equal(result, calls.NotExecuted) // both back ends leave
	is.Equal(one.executions()["late"], 0)
}

// An append whose answer was lost is found in the log, not appended as a rival.
func TestPublishSurvivesLostAnswers(t *testing.T) {
	is := is.New(t)
	one := startReady(t, 1)
	is.NoErr(floor.PostJSON(one.log.URL+"/admin/faults", logstand.Faults{LoseAnswers: 1}))
	is.NoErr(one.publish(examples.OperatorPolicy+"\n# again\n", nil))
}

// A planned stop lets a move in flight end, hands the batch over, and ends a
// followed delivery with a final answer.
func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	one := startReady(t, 3)
	request := rollout.Request{Trainer: "assessor", Name: "step-1", SamplesPerPrompt: 24, MaxTokens: 400, Prompts: []rollout.Prompt{{ID: "a", Text: "first"}}}
	submitted, err := one.public(0, "assessor").Submit(context.Background(), request)
	is.NoErr(err)
	followed := make(chan client.Answer, 1)
	go func() {
		header := http.Header{"Accept": {"application/x-ndjson"}}
		answer, err := one.public(0, "assessor").Do(context.Background(), http.MethodGet, "/v1/rollouts/assessor/step-1/samples?training_version=1", header, nil)
		if err != nil {
			t.Error(err)
		}
		followed <- answer
	}()
	one.await("work at the daemon", func() bool { return one.daemons[0].Status().InFlight > 0 })
	is.NoErr(one.daemons[0].Stop())
	lines := strings.Split(strings.TrimSpace(string((<-followed).Body)), "\n")
	last := lines[len(lines)-1]
	is.True(strings.Contains(last, `"done":true`) || strings.Contains(last, `"code":"stopping"`))

	is.Equal(len(pullAll(t, one, submitted, 1, 1)), 24)
}

// A flood is refused at once and truthfully, with when to come back, while
// what was admitted goes on.
func TestFloodIsRefusedTruthfully(t *testing.T) {
	is := is.New(t)
	one := startReady(t, 1)
	tight := strings.Replace(examples.OperatorPolicy, `name = "registry", weight = 0, queue_limit = 64`, `name = "registry", weight = 0, queue_limit = 2`, 1)
	tight = strings.Replace(tight, "max_in_flight = 256", "max_in_flight = 20", 1)
	is.NoErr(one.publish(tight, nil))
	type told struct {
		body   string
		result calls.Result
		answer client.Answer
		err    error
	}
	const flood = 200
	answers := make(chan told, flood)
	for i := range flood {
		go func() {
			body := fmt.Sprint("plot ", i)
			answer, result, err := one.public(0, "clerks").Call(context.Background(), "permit-desk", "register", "", []byte(body))
			answers <- told{body: body, result: result, answer: answer, err: err}
		}()
	}
	counts := map[calls.Result]int{}
	all := make([]told, 0, flood)
	for range flood {
		answer := <-answers
		is.NoErr(answer.err)
		counts[answer.result]++
		all = append(all, answer)
	}
	executed := one.executions()
	for _, answer := range all {
		switch answer.result {
		case calls.Completed:
			is.Equal(executed[answer.body], 1)
		case calls.NotExecuted:
			is.Equal(executed[answer.body], 0)
			is.True(answer.answer.Header.Get("Retry-After") != "")
		default:
			t.Fatalf("%s: %s", answer.body, answer.result)
		}
	}
	is.True(counts[calls.Completed] > 0)
	is.True(counts[calls.NotExecuted] > 0)
}

// What a batch and its pulls took is given back.
func TestNothingIsLeftBehind(t *testing.T) {
	is := is.New(t)
	one := startReady(t, 1)
	run := func(name string) {
		request := rollout.Request{Trainer: "assessor", Name: name, SamplesPerPrompt: 6, MaxTokens: 40, Prompts: []rollout.Prompt{{ID: "a", Text: name}}}
		submitted, err := one.public(0, "assessor").Submit(context.Background(), request)
		is.NoErr(err)
		is.Equal(len(pullAll(t, one, submitted, 1, 0)), 6)
	}
	run("warm-up")
	http.DefaultClient.CloseIdleConnections()
	before := runtime.NumGoroutine()
	for i := range 20 {
		run(fmt.Sprint("step-", i))
	}
	// Idle connections of the test's own clients are given some room.
	const room = 60
	one.await("goroutines to end", func() bool { return runtime.NumGoroutine() < before+room })
	is.Equal(one.daemons[0].Status().InFlight, int64(0))
}
