package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/backend/engine"
	"woodworks/internal/calls"
	"woodworks/internal/rollout"
	"woodworks/internal/samplestream"
)

func contextWithTimeout(request *http.Request, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(request.Context(), timeout)
}

// sampleWriter writes the lines of one sample's stream.
type sampleWriter struct {
	writer     http.ResponseWriter
	encoder    *json.Encoder
	controller *http.ResponseController
	begun      bool
}

func (stream *sampleWriter) begin() {
	if stream.begun {
		return
	}
	stream.begun = true
	stream.writer.Header().Set("Content-Type", streamType)
	stream.writer.WriteHeader(http.StatusOK)
}

func (stream *sampleWriter) frame(frame engine.Frame) {
	stream.begin()
	_ = stream.encoder.Encode(sampleLine{Version: frame.Version, Tokens: frame.Tokens})
	_ = stream.controller.Flush()
}

func (stream *sampleWriter) finish(result rollout.Result) {
	stream.begin()
	_ = stream.encoder.Encode(sampleLine{End: result.End, Total: len(result.Tokens), Segments: result.Segments})
	_ = stream.controller.Flush()
}

// fail ends the request with its final answer: an error status if nothing was
// streamed, else an error line, which no reader can take for the end mark.
func (stream *sampleWriter) fail(err error) {
	problem := Problem{Code: "sample_failed", Message: err.Error(), Outcome: calls.Unknown, RetryAfterMillis: refuseRetryAfter.Milliseconds()}
	if errors.Is(err, samplestream.ErrNotStarted) {
		problem.Code = "sample_not_started"
		problem.Outcome = calls.NotExecuted
	}
	if !stream.begun {
		writeProblem(stream.writer, http.StatusServiceUnavailable, problem)
		return
	}
	_ = stream.encoder.Encode(sampleLine{Error: &problem})
	_ = stream.controller.Flush()
}
