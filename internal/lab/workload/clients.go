package workload

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"woodworks/internal/calls"
	"woodworks/internal/client"
	"woodworks/internal/lab/plainstand"
	"woodworks/internal/lab/truth"
)

// Told is what a caller was told of one non-repeatable request.
type Told struct {
	// Body names the request; no two requests with different keys share one.
	Body string
	// Results holds every final answer that came, in order.
	Results []calls.Result
}

// Callers sends lookups, moves and internal calls at a steady rate from
// several goroutines, and remembers what it was told.
type Callers struct {
	Service string
	// Lookup and Move name the operations, Hidden the one that must not exist
	// on the public listener.
	Lookup string
	Move   string
	// Public clients are players and clerks, Internal ones the users' own services.
	Public     []*client.Client
	Internal   []*client.Client
	Ledger     *Ledger
	Statistics *Statistics
	// Trainer and Streams, if given, are used to stream single samples.
	Trainer      string
	Streams      []*client.Client
	MedianTokens int
	Pause        time.Duration
	Workers      int
	Seed         uint64

	mutex sync.Mutex
	told  []*Told
}

// Run sends until the context ends and every request has its answer.
func (callers *Callers) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for worker := range callers.Workers {
		workers.Add(1)
		go func() {
			defer workers.Done()
			callers.work(ctx, worker)
		}()
	}
	workers.Wait()
}

func (callers *Callers) work(ctx context.Context, worker int) {
	random := rand.New(rand.NewPCG(callers.Seed, uint64(worker)))
	for number := 0; ctx.Err() == nil; number++ {
		body := fmt.Sprintf("%d/%d/%d", callers.Seed, worker, number)
		if len(callers.Streams) > 0 && random.IntN(10) == 0 {
			callers.stream(callers.pick(random, callers.Streams), body, random.Uint64())
			continue
		}
		switch random.IntN(4) {
		case 0:
			callers.lookup(callers.pick(random, callers.Public), "lookup", body)
		case 1:
			callers.lookup(callers.pick(random, callers.Internal), "internal", body)
		case 2:
			callers.moveOnce(random, body)
		default:
			callers.moveWithKey(random, body)
		}
		time.Sleep(callers.Pause/2 + rand.N(callers.Pause))
	}
}

func (callers *Callers) pick(random *rand.Rand, clients []*client.Client) *client.Client {
	return clients[random.IntN(len(clients))]
}

// send makes one request and checks that a whole answer belongs to it.
func (callers *Callers) send(daemon *client.Client, kind, operation, key, body string) (calls.Result, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	startedAt := time.Now()
	answer, result, err := daemon.Call(ctx, callers.Service, operation, key, []byte(body))
	if err != nil {
		callers.Statistics.refusal(kind + "_no_answer")
		return calls.Unknown, false
	}
	callers.Statistics.latency(kind, time.Since(startedAt))
	if result == calls.Completed {
		var reply plainstand.Reply
		whole := json.Unmarshal(answer.Body, &reply) == nil && reply.Echo == body
		callers.Ledger.Check(WholeAnswers, whole, "%s %s was answered with %q", kind, body, answer.Body)
		return result, true
	}
	var problem struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(answer.Body, &problem)
	callers.Statistics.refusal(kind + "_" + problem.Error.Code)
	return result, true
}

func (callers *Callers) lookup(daemon *client.Client, kind, body string) {
	callers.send(daemon, kind, callers.Lookup, "", body)
}

// streamMaxTokens bounds a streamed sample.
const streamMaxTokens = 200

// stream asks for one sample and checks that it is whole and true.
func (callers *Callers) stream(daemon *client.Client, body string, seed uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
	defer cancel()
	startedAt := time.Now()
	sample, err := daemon.Stream(ctx, client.SampleRequest{Trainer: callers.Trainer, Prompt: body, Seed: seed, MaxTokens: streamMaxTokens})
	if err != nil {
		code := "no_answer"
		if problem, answered := client.AsProblem(err); answered {
			code = problem.Problem.Code
		}
		callers.Statistics.refusal("stream_" + code)
		return
	}
	callers.Statistics.latency("stream", time.Since(startedAt))
	truthful, position := Truthful(callers.Trainer, body, seed, sample.Tokens, sample.Segments)
	callers.Ledger.Check(TruthfulVersions, truthful, "stream %s: token %d does not come from the named version", body, position)
	want := min(truth.Length(body, seed, callers.MedianTokens), streamMaxTokens)
	callers.Ledger.Check(WholeAnswers, len(sample.Tokens) == want, "stream %s: %d tokens, want %d", body, len(sample.Tokens), want)
}

func (callers *Callers) remember(told *Told) {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	callers.told = append(callers.told, told)
}

// moveOnce sends a move without a key and never again.
func (callers *Callers) moveOnce(random *rand.Rand, body string) {
	told := &Told{Body: "once:" + body}
	callers.remember(told)
	result, answered := callers.send(callers.pick(random, callers.Public), "move", callers.Move, "", told.Body)
	if answered {
		told.Results = append(told.Results, result)
	}
}

const keyedTries = 4

// moveWithKey sends a move with a key, and again through other daemons until
// it is told that the move ran or did not.
func (callers *Callers) moveWithKey(random *rand.Rand, body string) {
	told := &Told{Body: "keyed:" + body}
	callers.remember(told)
	key := fmt.Sprintf("%d-%016x", time.Now().UnixMilli(), random.Uint64())
	for range keyedTries {
		result, answered := callers.send(callers.pick(random, callers.Public), "move", callers.Move, key, told.Body)
		if answered {
			told.Results = append(told.Results, result)
			if result != calls.Unknown {
				return
			}
		}
		time.Sleep(failureDelay)
	}
}

// Settle compares what callers were told with what the back ends executed.
func (callers *Callers) Settle(executions []plainstand.Execution) (applied, doubled int) {
	counts := map[string]int{}
	for _, execution := range executions {
		if execution.Operation == callers.Move {
			counts[execution.Body]++
		}
	}
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	for _, told := range callers.told {
		count := counts[told.Body]
		if count > 0 {
			applied++
		}
		if count > 1 {
			doubled++
		}
		callers.Ledger.Check(AtMostOnce, count <= 1, "move %s ran %d times", told.Body, count)
		for _, result := range told.Results {
			switch result {
			case calls.NotExecuted:
				callers.Ledger.Check(TrueRefusals, count == 0, "move %s was said not to have run, and ran %d times; told %v", told.Body, count, told.Results)
			case calls.Completed:
				callers.Ledger.Check(TrueRefusals, count >= 1, "move %s was said to have run, and did not", told.Body)
			}
		}
	}
	return applied, doubled
}
