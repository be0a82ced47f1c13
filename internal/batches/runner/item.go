package runner

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"woodworks/internal/batches/batch"
	"woodworks/internal/requests/quarantine"
)

// itemState is the state of an item in this job.
type itemState int

const (
	itemWaiting itemState = iota
	itemRunning
	// itemResultPending: the text is complete or the item was given up, and its result is not in
	// the ledger yet.
	itemResultPending
	itemListed
)

// item is an item of a batch with its progress at this owner. The job's mutex guards its mutable
// fields.
type item struct {
	batch.Item
	index  int
	header http.Header
	// content identifies the request for the quarantine. It is nil until contentOf is first called.
	content *quarantine.Content
	// recordedSuspicion is the quarantine's entry that this owner recorded last in the batch's
	// partition, or nil.
	recordedSuspicion []byte
	// expectedTokens is the expected length of the answer in tokens.
	expectedTokens int64

	state itemState
	// notBefore is the earliest time of the next attempt.
	notBefore time.Time
	// handedOff says, at a new owner, that the item is left to the owner that released the batch.
	// At the releasing owner it says that the Released record names the item.
	handedOff bool
	// wait is what is logged of the item's current wait.
	wait waitLog

	text

	// attempt is the number, from 1, of the current attempt. Events of attempts with another number
	// are ignored.
	attempt int
	// silentAttempts is the number of the last attempts in a row that got no response in time. Refused and
	// declined ones don't count.
	silentAttempts int
	// failures are those of this owner and, as far as they are recorded, of earlier ones.
	failures batch.Failures
	// lastReplica is the replica of the current or last attempt.
	lastReplica string
	startedAt   time.Time
	// hasFirstEvent says that the current attempt has received an event.
	hasFirstEvent bool
	// cancel, if not nil, cancels the current attempt.
	cancel func()
	// buffering says that a hand-over is in progress: another replica is asked to continue the
	// text after lastEvent. Meanwhile the events of the current attempt are kept in buffered.
	buffering bool
	buffered  []receivedEvent
	// bufferedBytes is the length of the buffered events as received.
	bufferedBytes int

	timing timing
}

// newItems returns the items of a batch, all waiting.
func newItems(submission *batch.Submission, r *Runner) []*item {
	items := make([]*item, len(submission.Items))
	for i := range submission.Items {
		items[i] = &item{index: i, Item: submission.Items[i], header: itemHeader(submission.Items[i].Headers)}
		items[i].expectedTokens = r.expectedLength(items[i].header, items[i].Tokens)
	}
	return items
}

// itemHeader returns an item's header list as an http.Header with capacity for a few more names.
func itemHeader(list []batch.Header) http.Header {
	header := make(http.Header, len(list)+4)
	for _, h := range list {
		name := http.CanonicalHeaderKey(h.Name)
		header[name] = append(header[name], h.Value)
	}
	return header
}

// expectedLength returns the expected number of tokens of an item's answer: the length hint in its
// headers, else the second number of its token usage header, else tokens.
func (r *Runner) expectedLength(header http.Header, tokens int64) int64 {
	names := r.forwarder.Names
	if hint, err := strconv.ParseInt(header.Get(names.LengthHint), 10, 64); err == nil && hint > 0 {
		return hint
	}
	_, second, ok := strings.Cut(header.Get(names.TokenUsage), ",")
	if length, err := strconv.ParseInt(strings.TrimSpace(second), 10, 64); ok && err == nil {
		return length
	}
	return tokens
}

// expectedBatchTokens returns the expected number of tokens of all answers of a batch.
func (r *Runner) expectedBatchTokens(submission *batch.Submission) int64 {
	sum := int64(0)
	for i := range submission.Items {
		sum += r.expectedLength(itemHeader(submission.Items[i].Headers), submission.Items[i].Tokens)
	}
	return sum
}

// beginAttempt makes a new attempt the current one and returns its number. Buffered events are
// dropped. The job's mutex is held.
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

// inProgress reports whether the item runs at a replica or its result is pending. The job's mutex
// is held.
func (it *item) inProgress() bool { return it.state == itemRunning || it.state == itemResultPending }
