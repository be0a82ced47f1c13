package rollout

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"woodworks/internal/batches/batch"
)

// RouteHost is the host in the routes of rollout batch jobs. Each trainer has its own path prefix
// there.
const RouteHost = "rollouts"

// GeneratePath is the path of generation requests to engines.
const GeneratePath = "/generate"

// RoutePrefix returns the path prefix of a trainer's route.
func RoutePrefix(trainer string) string { return "/" + trainer + "/" }

// ItemHeaders are the names of the request headers that carry the token usage and the expected
// length of an item.
type ItemHeaders struct{ TokenUsage, LengthHint string }

// JobID returns the ID of the batch job of one round. Round 0 makes all samples; each further round
// makes again those that were too old or failed. Names of batches contain no slash, so IDs are
// unique.
func JobID(trainer, name string, round int) string {
	if round == 0 {
		return trainer + "/" + name
	}
	return fmt.Sprintf("%s/%s/%d", trainer, name, round)
}

// FirstRound returns the batch job that makes all samples of a request, by weights of minVersion or
// newer.
func FirstRound(request Request, header Header, minVersion int64, itemHeaders ItemHeaders) *batch.Submission {
	job := newJob(header, 0, minVersion)
	for sample := range header.Samples {
		prompt := request.Prompts[sample/request.SamplesPerPrompt]
		seed := SampleSeed(request.Seed, sample)
		job.Items = append(job.Items, firstItem(job.ID, sample, prompt, seed, request, itemHeaders))
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

func firstItem(jobID string, sample int, prompt Prompt, seed uint64, request Request, itemHeaders ItemHeaders) batch.Item {
	body, err := json.Marshal(GenerateRequest{Model: request.Trainer, Prompt: prompt.Text, Seed: seed, MaxTokens: request.MaxTokens})
	if err != nil {
		panic(err) // strings and numbers are always encodable
	}
	item := batch.Item{
		ID: itemID(jobID, sample), Path: GeneratePath, Body: body, Group: prompt.ID,
		Tokens:  int64(len(prompt.Text) + request.MaxTokens),
		Headers: []batch.Header{{Name: itemHeaders.TokenUsage, Value: fmt.Sprintf("%d,%d", len(prompt.Text), request.MaxTokens)}},
	}
	if prompt.ExpectedTokens > 0 {
		item.Headers = append(item.Headers, batch.Header{Name: itemHeaders.LengthHint, Value: strconv.Itoa(prompt.ExpectedTokens)})
	}
	return item
}

// itemID returns the ID of the item that makes a sample. SampleIndex parses it.
func itemID(jobID string, sample int) string { return fmt.Sprintf("%s/s%d", jobID, sample) }

// SampleIndex returns the index of the sample that an item makes, given the item's ID. It reports
// false for an ID that itemID did not make.
func SampleIndex(id string) (int, bool) {
	slash := strings.LastIndex(id, "/s")
	if slash < 0 {
		return 0, false
	}
	sample, err := strconv.Atoi(id[slash+2:])
	return sample, err == nil
}

// FurtherRound returns the batch job that makes the given samples again, with the items of the
// first round.
func FurtherRound(first *batch.Submission, header Header, round int, samples []int, minVersion int64) *batch.Submission {
	job := newJob(header, round, minVersion)
	for _, sample := range samples {
		item := first.Items[sample]
		item.ID = itemID(job.ID, sample)
		job.Items = append(job.Items, item)
	}
	return job
}

// ParseDigest returns the digest of the request from the path of one of its batch jobs. It reports
// false for another path.
func ParseDigest(path string) (uint64, bool) {
	digest, err := strconv.ParseUint(path[strings.LastIndex(path, "/")+1:], 16, 64)
	return digest, err == nil
}

// RoundResults holds the latest result of each sample that a round makes, nil for a sample without
// a result.
type RoundResults map[int]*batch.Result

// DeliveryPlan is the result of Plan.
type DeliveryPlan struct {
	// Ready are the samples to deliver.
	Ready []Result
	// Regenerate are the indices of the samples that must be made again in a further round.
	Regenerate []int
	// Open is the number of samples that are neither taken nor in Ready.
	Open int
}

// Plan decides what to do with each sample that the cursor has not taken, and returns at most limit
// samples as ready. accepts reports whether a sample may be delivered, given its oldest weight
// version. If several rounds make a sample, the last one counts.
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

// newestResult returns the result of a sample in the last round that makes it, or nil if there is
// none yet.
func newestResult(rounds []RoundResults, sample int) *batch.Result {
	for i := len(rounds) - 1; i >= 0; i-- {
		if res, ok := rounds[i][sample]; ok {
			return res
		}
	}
	return nil
}

// ParseSeed returns the seed in the body of an item, 0 if there is none.
func ParseSeed(body []byte) uint64 {
	var g GenerateRequest
	if json.Unmarshal(body, &g) != nil {
		return 0
	}
	return g.Seed
}
