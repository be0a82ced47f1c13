package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batch"
	"woodworks/internal/ledger"
	"woodworks/internal/runner"
)

const (
	// submitTimeout bounds how long a submission is held while the journal
	// does not answer.
	submitTimeout = 2500 * time.Millisecond
	// catchUpTimeout bounds a read of the journal for a reader.
	catchUpTimeout = 1500 * time.Millisecond
	refreshTimeout = 100 * time.Millisecond
	// staleAfter is how old a fold may be to tell a part of the results without
	// a look for more.
	staleAfter = 150 * time.Millisecond
	// pageBytes bounds the texts of one page of results, in bytes.
	pageBytes = 900 << 10
	// storeRetryAfter is when to come back after the journal did not answer.
	storeRetryAfter = 400 * time.Millisecond
)

// serveSubmission keeps a batch. Only an acknowledged record is accepted.
func (asked *request) serveSubmission(body []byte) {
	if asked.request.Method != http.MethodPost {
		asked.fail(http.StatusMethodNotAllowed, "malformed", "batches are submitted by POST")
		return
	}
	submission, err := asked.handler.Codec.DecodeSubmission(body)
	if err == nil && asked.id == "" {
		err = errors.Errorf("%s: is missing", asked.handler.Names.RequestID)
	}
	if err != nil {
		asked.fail(http.StatusBadRequest, "malformed", err.Error())
		return
	}
	submission.ID, submission.Host, submission.Path = asked.id, asked.request.Host, asked.request.RequestURI
	submission.AcceptedAtMs = time.Now().UnixMilli()
	ctx, cancel := context.WithTimeout(asked.request.Context(), min(asked.timeLeft(), submitTimeout))
	defer cancel()
	err = asked.handler.Runner.Accept(ctx, submission)
	switch {
	case err == nil:
		asked.write(http.StatusAccepted, nil)
		asked.observe(http.StatusAccepted, "accepted", "")
	case errors.Is(err, runner.ErrNotDone):
		asked.refuse(err.Error(), storeRetryAfter)
	default:
		asked.fail(http.StatusGatewayTimeout, "unknown", err.Error())
	}
}

// serveCall answers a call about a batch.
func (asked *request) serveCall(call BatchCall) {
	asked.logger = asked.logger.With(zap.String("batch", call.BatchID))
	switch call.Kind {
	case ReadResults:
		asked.serveResults(call)
	case ReadItem:
		asked.serveItem(call)
	case EndBatch:
		asked.serveEnd(call)
	}
}

// page is what the fold says of a batch at a moment.
type page struct {
	found bool
	ResultsPage
}

func lookUp(partition *ledger.Partition, call BatchCall) page {
	var seen page
	partition.View(func(state *batch.State) {
		known, found := state.Get(call.BatchID)
		if !found {
			return
		}
		seen.found = true
		seen.Total = known.Total()
		seen.Next = call.After
		size := 0
		for position := call.After; position < len(known.Results); position++ {
			result := known.Results[position]
			size += len(result.Text)
			if len(seen.Results) > 0 && size > pageBytes {
				break
			}
			seen.Results = append(seen.Results, ItemResult{ItemID: known.Items[result.Item].ID, Result: result})
			seen.Next = position + 1
		}
	})
	return seen
}

// serveResults answers with results from a position on. That there are none is
// said only after a read of the journal that was begun after the call came.
func (asked *request) serveResults(call BatchCall) {
	partition := asked.handler.Ledger.Of(call.BatchID)
	seen := lookUp(partition, call)
	switch {
	case len(seen.Results) == 0:
		if !asked.catchUp(partition) {
			return
		}
		seen = lookUp(partition, call)
	case seen.Next < seen.Total && time.Since(partition.LastRead()) > staleAfter:
		// There may be more results by now; those known are true all the same.
		asked.refresh(partition)
		seen = lookUp(partition, call)
	}
	if seen.found && len(seen.Results) == 0 && call.Wait > 0 && call.After < seen.Total {
		seen = asked.awaitResults(partition, call)
	}
	if !seen.found {
		asked.fail(http.StatusNotFound, "unknown batch", "no such batch")
		return
	}
	encoded, err := asked.handler.Codec.EncodeResults(seen.ResultsPage)
	if err != nil {
		asked.fail(http.StatusInternalServerError, "failed", err.Error())
		return
	}
	asked.write(http.StatusOK, encoded)
	asked.observe(http.StatusOK, "results", "")
}

// awaitResults follows the partition until there is a result or the wait is over.
func (asked *request) awaitResults(partition *ledger.Partition, call BatchCall) page {
	release := partition.Follow()
	defer release()
	timer := time.NewTimer(call.Wait - time.Since(asked.arrived))
	defer timer.Stop()
	for {
		changed := partition.Changed()
		seen := lookUp(partition, call)
		if len(seen.Results) > 0 {
			return seen
		}
		select {
		case <-changed:
		case <-timer.C:
			return seen
		case <-asked.request.Context().Done():
			return seen
		}
	}
}

// catchUp reads the journal up to now, or answers that it cannot.
func (asked *request) catchUp(partition *ledger.Partition) bool {
	ctx, cancel := context.WithTimeout(asked.request.Context(), catchUpTimeout)
	defer cancel()
	if err := partition.CatchUp(ctx); err != nil {
		asked.refuse(err.Error(), storeRetryAfter)
		return false
	}
	return true
}

// refresh reads the journal up to now if it answers soon.
func (asked *request) refresh(partition *ledger.Partition) {
	ctx, cancel := context.WithTimeout(asked.request.Context(), refreshTimeout)
	defer cancel()
	_ = partition.CatchUp(ctx)
}

// serveItem answers with the body of an item.
func (asked *request) serveItem(call BatchCall) {
	partition := asked.handler.Ledger.Of(call.BatchID)
	body, found := itemBody(partition, call)
	if !found {
		if !asked.catchUp(partition) {
			return
		}
		body, found = itemBody(partition, call)
	}
	if !found {
		asked.fail(http.StatusNotFound, "unknown item", "no such item")
		return
	}
	asked.writer.Header().Set("Content-Type", "application/octet-stream")
	asked.writer.WriteHeader(http.StatusOK)
	_, _ = asked.writer.Write(body)
	asked.observe(http.StatusOK, "item", "")
}

func itemBody(partition *ledger.Partition, call BatchCall) (body []byte, found bool) {
	partition.View(func(state *batch.State) {
		known, exists := state.Get(call.BatchID)
		if !exists || known.Ended {
			return
		}
		for _, each := range known.Items {
			if each.ID == call.ItemID {
				body, found = each.Body, true
				return
			}
		}
	})
	return body, found
}

// serveEnd ends a batch; the answer comes once the record is acknowledged.
func (asked *request) serveEnd(call BatchCall) {
	ctx, cancel := context.WithTimeout(asked.request.Context(), min(asked.timeLeft(), submitTimeout))
	defer cancel()
	if err := asked.handler.Runner.End(ctx, call.BatchID); err != nil {
		asked.fail(http.StatusGatewayTimeout, "unknown", err.Error())
		return
	}
	asked.write(http.StatusOK, nil)
	asked.observe(http.StatusOK, "ended", "")
}
