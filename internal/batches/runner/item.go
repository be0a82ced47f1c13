package runner

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"woodworks/internal/batches/batch"
	"woodworks/internal/requests/quarantine"
)

// itemState is where an item stands in this job.
type itemState int

const (
	itemWaiting itemState = iota
	itemRunning
	// itemResultPending: the text is whole or the item given up, and the result is not listed yet.
	itemResultPending
	itemListed
)

// item is one item with its progress at this owner. The job's mutex guards what changes of it,
// but for rewardFailures, which only its reward call uses.
type item struct {
	batch.Item
	index  int
	header http.Header
	// content names what the item asks for, nil until it is needed.
	content *quarantine.Content
	// expectedTokens is the expected length of the answer.
	expectedTokens int64

	state itemState
	// notBefore delays the next attempt.
	notBefore time.Time
	// handedOff says that the item is left to the owner that released it. At that owner it
	// says that the record which does so names it.
	handedOff bool

	text

	// attempt numbers the attempt whose events count, from 1. One that was handed over to
	// another replica has a lower number.
	attempt int
	// failures counts answers of replicas that say that the item failed, rewardFailures
	// likewise of its reward call.
	failures       int
	rewardFailures int
	// lastReplica ran the item last.
	lastReplica string
	startedAt   time.Time
	// hasFirstEvent says that the attempt has brought an event.
	hasFirstEvent bool
	// cancel, if not nil, ends the attempt under way.
	cancel func()
	// buffering says that events are kept in buffered, while another replica is asked to go
	// on after the last one before.
	buffering bool
	buffered  []receivedEvent

	timing timing
}

func newItems(submission *batch.Submission, r *Runner) []*item {
	items := make([]*item, len(submission.Items))
	for i := range submission.Items {
		items[i] = &item{index: i, Item: submission.Items[i], header: itemHeader(submission.Items[i].Headers)}
		items[i].expectedTokens = r.expectedLength(items[i].header, items[i].Tokens)
	}
	return items
}

func itemHeader(list []batch.Header) http.Header {
	header := make(http.Header, len(list)+4)
	for _, h := range list {
		name := http.CanonicalHeaderKey(h.Name)
		header[name] = append(header[name], h.Value)
	}
	return header
}

// expectedLength is the number of tokens that an item's answer should have, by its headers,
// or else by its tokens in all.
func (r *Runner) expectedLength(header http.Header, tokens int64) int64 {
	names := r.forwarder.Names
	if hint, err := strconv.ParseInt(header.Get(names.LengthHint), 10, 64); err == nil && hint > 0 {
		return hint
	}
	_, most, ok := strings.Cut(header.Get(names.TokenUsage), ",")
	if longest, err := strconv.ParseInt(strings.TrimSpace(most), 10, 64); ok && err == nil {
		return longest
	}
	return tokens
}

// expectedBatchTokens is how many tokens a batch should make.
func (r *Runner) expectedBatchTokens(submission *batch.Submission) int64 {
	work := int64(0)
	for i := range submission.Items {
		work += r.expectedLength(itemHeader(submission.Items[i].Headers), submission.Items[i].Tokens)
	}
	return work
}

// beginAttempt makes an attempt at a replica the one that counts, and returns its number.
func (it *item) beginAttempt(replicaID string, now time.Time) int {
	it.attempt++
	it.lastReplica, it.startedAt = replicaID, now
	it.hasFirstEvent = false
	it.stopBuffering()
	return it.attempt
}

func (it *item) cancelAttempt() {
	if it.cancel != nil {
		it.cancel()
	}
}

// inProgress reports whether the item is at a replica, or its result is not listed yet.
func (it *item) inProgress() bool { return it.state == itemRunning || it.state == itemResultPending }
