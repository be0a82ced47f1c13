package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/results"
	"woodworks/internal/batches/runner"
	"woodworks/internal/requests/refusal"
)

// serveSubmission accepts a batch. It answers 202 only after the journal has acknowledged the
// batch's record.
func (r *request) serveSubmission(body []byte) {
	if r.req.Method != http.MethodPost {
		r.refuse(refusal.WrongMethod, "batches are submitted by POST")
		return
	}
	submission, err := r.handler.Codec.DecodeSubmission(body)
	if err == nil && r.id == "" {
		err = errors.Errorf("%s: is missing", r.handler.Names.RequestID)
	}
	if err != nil {
		r.refuse(refusal.Malformed, err.Error())
		return
	}
	submission.ID, submission.Host, submission.Path = r.id, r.req.Host, r.req.RequestURI
	submission.Tenant = r.tenantName()
	submission.AcceptedAtMs = time.Now().UnixMilli()
	ctx, cancel := context.WithTimeout(r.req.Context(), min(r.timeLeft(), runner.SubmitTimeout))
	defer cancel()
	err = r.handler.Runner.Accept(ctx, submission)
	if err != nil {
		r.refuseUnrecorded(err)
		return
	}
	r.write(http.StatusAccepted, nil)
	r.observe(http.StatusAccepted, "accepted", "")
}

// refuseUnrecorded answers a submission, or a call that ends a batch, whose record the journal
// has not acknowledged.
func (r *request) refuseUnrecorded(err error) {
	switch {
	case errors.Is(err, runner.ErrStopping):
		r.refuse(refusal.Stopping, err.Error())
	case errors.Is(err, runner.ErrNotDone):
		r.refuse(refusal.JournalTimeout, err.Error())
	default:
		r.refuse(refusal.BatchOutcomeUnknown, err.Error())
	}
}

// serveCall answers a call about an existing batch.
func (r *request) serveCall(call BatchCall) {
	r.logger = r.logger.With(zap.String("batch", call.BatchID))
	switch call.Kind {
	case ReadResults:
		r.serveResults(call)
	case ReadItem:
		r.serveItem(call)
	case EndBatch:
		r.serveEnd(call)
	}
}

// serveResults answers with the results from the requested position on. If there is none yet, it
// waits for the first one for at most call.Wait, less the time that the request has already
// taken.
func (r *request) serveResults(call BatchCall) {
	wait := max(call.Wait-r.elapsed(), 0)
	page, err := r.handler.Results.Results(r.req.Context(),
		results.Query{BatchID: call.BatchID, Tenant: r.tenantName(), After: call.After, Wait: wait})
	if err != nil {
		r.refuse(refusal.JournalTimeout, err.Error())
		return
	}
	if !page.Found {
		r.refuse(refusal.UnknownBatch, "no such batch")
		return
	}
	encoded, err := r.handler.Codec.EncodeResults(page)
	if err != nil {
		r.refuse(refusal.PageNotEncoded, err.Error())
		return
	}
	r.writePage(encoded)
}

// serveItem answers with the body of an item.
func (r *request) serveItem(call BatchCall) {
	body, err := r.handler.Results.Item(r.req.Context(), results.ItemQuery{BatchID: call.BatchID, Tenant: r.tenantName(), ItemID: call.ItemID})
	if err != nil {
		r.refuse(refusal.JournalTimeout, err.Error())
		return
	}
	if !body.Found {
		r.refuse(refusal.UnknownItem, "no such item")
		return
	}
	r.w.Header().Set("Content-Type", "application/octet-stream")
	r.w.WriteHeader(http.StatusOK)
	if err := r.writeChunks(body.Bytes); err != nil {
		r.observe(http.StatusOK, "broken off", err.Error())
		return
	}
	r.observe(http.StatusOK, "item", "")
}

// serveEnd ends a batch. It answers 200 only after the journal has acknowledged the record of
// the end.
func (r *request) serveEnd(call BatchCall) {
	ctx, cancel := context.WithTimeout(r.req.Context(), min(r.timeLeft(), runner.SubmitTimeout))
	defer cancel()
	if err := r.handler.Runner.End(ctx, call.BatchID, r.tenantName()); err != nil {
		r.refuseUnrecorded(err)
		return
	}
	r.write(http.StatusOK, nil)
	r.observe(http.StatusOK, "ended", "")
}
