package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/results"
	"woodworks/internal/batches/runner"
)

const (
	// submitTimeout bounds how long a submission is held while the journal
	// does not answer.
	submitTimeout = 2500 * time.Millisecond
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
	submission.Tenant = asked.tenantName()
	submission.AcceptedAtMs = time.Now().UnixMilli()
	ctx, cancel := context.WithTimeout(asked.request.Context(), min(asked.timeLeft(), submitTimeout))
	defer cancel()
	err = asked.handler.Runner.Accept(ctx, submission)
	if err != nil {
		asked.notKept(err)
		return
	}
	asked.write(http.StatusAccepted, nil)
	asked.observe(http.StatusAccepted, "accepted", "")
}

// notKept answers a submission or an end whose record is not known to be in the journal.
func (asked *request) notKept(err error) {
	switch {
	case errors.Is(err, runner.ErrStopping):
		asked.refuse(err.Error(), stopRetryAfter)
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

// serveResults answers with results from a position on.
func (asked *request) serveResults(call BatchCall) {
	wait := max(call.Wait-asked.held(), 0)
	page, err := asked.handler.Results.Results(asked.request.Context(), results.Query{BatchID: call.BatchID, Tenant: asked.tenantName(), After: call.After, Wait: wait})
	if err != nil {
		asked.refuse(err.Error(), storeRetryAfter)
		return
	}
	if !page.Found {
		asked.fail(http.StatusNotFound, "unknown batch", "no such batch")
		return
	}
	encoded, err := asked.handler.Codec.EncodeResults(page)
	if err != nil {
		asked.fail(http.StatusInternalServerError, "failed", err.Error())
		return
	}
	asked.writePage(encoded)
}

// serveItem answers with the body of an item.
func (asked *request) serveItem(call BatchCall) {
	body, err := asked.handler.Results.Item(asked.request.Context(), results.ItemQuery{BatchID: call.BatchID, Tenant: asked.tenantName(), ItemID: call.ItemID})
	if err != nil {
		asked.refuse(err.Error(), storeRetryAfter)
		return
	}
	if !body.Found {
		asked.fail(http.StatusNotFound, "unknown item", "no such item")
		return
	}
	asked.writer.Header().Set("Content-Type", "application/octet-stream")
	asked.writer.WriteHeader(http.StatusOK)
	if err := asked.writeSlowly(body.Bytes); err != nil {
		asked.observe(http.StatusOK, "broken off", err.Error())
		return
	}
	asked.observe(http.StatusOK, "item", "")
}

// serveEnd ends a batch; the answer comes once the record is acknowledged.
func (asked *request) serveEnd(call BatchCall) {
	ctx, cancel := context.WithTimeout(asked.request.Context(), min(asked.timeLeft(), submitTimeout))
	defer cancel()
	if err := asked.handler.Runner.End(ctx, call.BatchID, asked.tenantName()); err != nil {
		asked.notKept(err)
		return
	}
	asked.write(http.StatusOK, nil)
	asked.observe(http.StatusOK, "ended", "")
}
