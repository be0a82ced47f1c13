package rollout

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"woodworks/internal/batches/batch"
)

// RouteHost is the host of the routes of batch jobs; each trainer has a prefix
// of its own there.
const RouteHost = "rollouts"

// GeneratePath is where engines take requests.
const GeneratePath = "/generate"

// RoutePrefix is the path prefix of a trainer's route.
func RoutePrefix(trainer string) string { return "/" + trainer + "/" }

// ItemHeaders are the names of the headers that an item tells its size in.
type ItemHeaders struct{ TokenUsage, LengthHint string }

// JobID names the batch job of one round. The first round makes all samples;
// each further one makes those again that were too old to be handed over. Names
// of batches have no slash, so no two jobs share an id.
func JobID(trainer, name string, round int) string {
	if round == 0 {
		return trainer + "/" + name
	}
	return fmt.Sprintf("%s/%s/%d", trainer, name, round)
}

// FirstRound returns the batch job that makes all samples of a request.
func FirstRound(request Request, header Header, minVersion int64, names ItemHeaders) *batch.Submission {
	job := newJob(header, 0, minVersion)
	for sample := range header.Samples {
		prompt := request.Prompts[sample/request.SamplesPerPrompt]
		seed := SampleSeed(request.Seed, sample)
		job.Items = append(job.Items, firstItem(job.ID, sample, prompt, seed, request, names))
	}
	return job
}

func newJob(header Header, round int, minVersion int64) *batch.Submission {
	return &batch.Submission{
		ID: JobID(header.Trainer, header.Name, round), Host: RouteHost,
		Path: RoutePrefix(header.Trainer) + strconv.FormatUint(header.Digest, 16),
		Step: int64(round), Model: header.Trainer, MinVersion: minVersion,
	}
}

func firstItem(job string, sample int, prompt Prompt, seed uint64, request Request, names ItemHeaders) batch.Item {
	body, err := json.Marshal(GenerateRequest{Model: request.Trainer, Prompt: prompt.Text, Seed: seed, MaxTokens: request.MaxTokens})
	if err != nil {
		panic(err) // texts and numbers are always encodable
	}
	item := batch.Item{
		ID: itemID(job, sample), Path: GeneratePath, Body: body, Group: prompt.ID,
		Tokens:  int64(len(prompt.Text) + request.MaxTokens),
		Headers: []batch.Header{{Name: names.TokenUsage, Value: fmt.Sprintf("%d,%d", len(prompt.Text), request.MaxTokens)}},
	}
	if prompt.ExpectedTokens > 0 {
		item.Headers = append(item.Headers, batch.Header{Name: names.LengthHint, Value: strconv.Itoa(prompt.ExpectedTokens)})
	}
	return item
}

// itemID names a sample in a job. Its last part is the sample's index.
func itemID(job string, sample int) string { return fmt.Sprintf("%s/s%d", job, sample) }

// SampleIndex returns the index of the sample that the item of an id makes.
func SampleIndex(id string) (int, bool) {
	slash := strings.LastIndex(id, "/s")
	if slash < 0 {
		return 0, false
	}
	sample, err := strconv.Atoi(id[slash+2:])
	return sample, err == nil
}

// FurtherRound returns the batch job that makes some samples again.
func FurtherRound(first *batch.Submission, header Header, round int, samples []int, minVersion int64) *batch.Submission {
	job := newJob(header, round, minVersion)
	for _, sample := range samples {
		item := first.Items[sample]
		item.ID = itemID(job.ID, sample)
		job.Items = append(job.Items, item)
	}
	return job
}

// ParseDigest returns the digest of the request that a job with a path was made from.
func ParseDigest(path string) (uint64, bool) {
	digest, err := strconv.ParseUint(path[strings.LastIndex(path, "/")+1:], 16, 64)
	return digest, err == nil
}

// RoundResults is one round as it stands: the newest result of each of its samples,
// nil for one that has none yet.
type RoundResults map[int]*batch.Result

// DeliveryPlan is what a delivery should do.
type DeliveryPlan struct {
	// Ready are samples to hand over.
	Ready []Result
	// Regenerate are samples that must be made again in a further round.
	Regenerate []int
	// Open counts the samples that are neither taken nor ready.
	Open int
}

// Plan decides on the samples that the cursor has not taken. Accepts judges the
// oldest version of a sample. Of the rounds that make a sample the last counts.
func Plan(cursor Cursor, rounds []RoundResults, accepts func(oldest int64) bool, limit int) DeliveryPlan {
	var plan DeliveryPlan
	for sample := range cursor.Header.Samples {
		if cursor.Taken(sample) {
			continue
		}
		res := newestResult(rounds, sample)
		switch {
		case res == nil:
			plan.Open++
		case res.Outcome != batch.Done || !accepts(oldestVersion(res)):
			plan.Open++
			plan.Regenerate = append(plan.Regenerate, sample)
		case len(plan.Ready) >= limit:
			plan.Open++
		default:
			ready := Result{Index: sample}
			if ready.parseText(res) != nil {
				plan.Open++
				plan.Regenerate = append(plan.Regenerate, sample)
				continue
			}
			plan.Ready = append(plan.Ready, ready)
		}
	}
	return plan
}

// newestResult returns the result of the last round that makes a sample, or nil if
// it has none yet.
func newestResult(rounds []RoundResults, sample int) *batch.Result {
	for i := len(rounds) - 1; i >= 0; i-- {
		if res, ok := rounds[i][sample]; ok {
			return res
		}
	}
	return nil
}

// ParseSeed returns the seed that the body of an item asks for, 0 where it names none.
func ParseSeed(body []byte) uint64 {
	var g GenerateRequest
	if json.Unmarshal(body, &g) != nil {
		return 0
	}
	return g.Seed
}
