package gateway

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"woodworks/internal/daemon/golden"
)

func TestBodyEncodingIsStable(t *testing.T) {
	golden.JSON[problemBody](t, "problem")
	golden.JSON[statusResponse](t, "status-word")
	golden.JSON[Status](t, "status")
	golden.JSON[PolicyList](t, "policies")
	golden.JSON[PublishRequest](t, "publish")
	golden.JSON[DrainRequest](t, "drain")
	golden.JSON[drainResponse](t, "drained")
	golden.JSON[RolloutInfo](t, "submitted")
	golden.JSON[PullResponse](t, "pulled")
	golden.JSON[AnnounceRequest](t, "announce")
	golden.JSON[announceResponse](t, "announced")
	golden.JSON[sampleRequest](t, "sample-request")
	golden.JSON[SampleLine](t, "sample-line")
	golden.Literals(t, "texts.literals")
	golden.Text(t, "names.txt", fmt.Sprintln(OutcomeHeader, RequestKeyHeader, QuarantinedHeader, Completed, NotExecuted, Unknown, notSent))
}

func TestProblemEncodingIsStable(t *testing.T) {
	answers := strings.Builder{}
	record := func(hasKey bool, write func(rec *recorder)) {
		answer := httptest.NewRecorder()
		write(&recorder{ResponseWriter: answer, hasKey: hasKey})
		header, _ := json.Marshal(answer.Header())
		fmt.Fprintln(&answers, answer.Code, string(header))
		fmt.Fprint(&answers, answer.Body)
	}
	for _, hasKey := range []bool{false, true} {
		record(hasKey, func(rec *recorder) { writeFieldError(rec, "field", "is wrong") })
		record(hasKey, func(rec *recorder) {
			writeProblem(rec, Problem{status: 503, Code: "code", Message: "message", RetryAfterMillis: 1500})
		})
		record(hasKey, func(rec *recorder) {
			writeProblem(rec, Problem{status: 503, Code: "code", Message: "message", Outcome: Unknown, RetryAfterMillis: 20})
		})
		record(hasKey, func(rec *recorder) { writeCompleted(rec, 201, statusResponse{Status: "ok"}) })
	}
	golden.Text(t, "problems.txt", answers.String())
}
