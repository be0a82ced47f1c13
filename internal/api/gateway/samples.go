package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"woodworks/internal/api/policy"
	"woodworks/internal/api/rollout"
	"woodworks/internal/requests/eventstream"
	"woodworks/internal/requests/headers"
)

const (
	defaultSampleTimeout = 5 * time.Minute
	maxSampleTimeout     = 2 * time.Hour
)

// sampleRequest is the body of POST /v1/samples.
type sampleRequest struct {
	Trainer   string `json:"trainer"`
	Prompt    string `json:"prompt"`
	Seed      uint64 `json:"seed"`
	MaxTokens int    `json:"max_tokens"`
	// TimeoutMillis bounds the whole request in milliseconds; 0 means defaultSampleTimeout.
	TimeoutMillis int64 `json:"timeout_ms,omitempty"`
}

// check returns the first invalid field and the reason, or an empty field if the request is valid.
func (s sampleRequest) check() (field, reason string) {
	switch {
	case s.Trainer == "":
		return "trainer", "is required"
	case s.Prompt == "":
		return "prompt", "is required"
	case s.MaxTokens < 1 || s.MaxTokens > rollout.MaxSampleTokens:
		return "max_tokens", strconv.Itoa(s.MaxTokens) + " is not between 1 and " + strconv.Itoa(rollout.MaxSampleTokens)
	case s.TimeoutMillis < 0 || s.TimeoutMillis > maxSampleTimeout.Milliseconds():
		return "timeout_ms", "is not between 0 and " + strconv.FormatInt(maxSampleTimeout.Milliseconds(), 10)
	}
	return "", ""
}

// SampleLine is a line of a sample's stream. The last line of a complete sample has End, Total and
// Segments; a stream without such a line is incomplete.
type SampleLine struct {
	Version  int64             `json:"version,omitempty"`
	Tokens   []uint32          `json:"tokens,omitempty"`
	End      string            `json:"end,omitempty"`
	Total    int               `json:"total,omitempty"`
	Segments []rollout.Segment `json:"segments,omitempty"`
	Error    *Problem          `json:"error,omitempty"`
}

// streamSample generates a sample and streams its tokens to the caller as they arrive.
func (g *Gateway) streamSample(w http.ResponseWriter, r *http.Request, caller policy.Caller) {
	var req sampleRequest
	if !decodeJSON(w, r, &req) {
		return
	}
	if field, reason := req.check(); field != "" {
		writeFieldError(w, field, reason)
		return
	}
	if _, ok := g.resolveTrainer(w, caller, req.Trainer); !ok {
		return
	}
	configuration, _ := g.deps.Configuration()
	class := configuration.Policies.Classes[configuration.Policies.Trainers[req.Trainer].Class]
	if !g.acquireClass(w, class) {
		return
	}
	defer g.inFlight.release(classKey(class.Name))
	body, err := json.Marshal(rollout.GenerateRequest{Model: req.Trainer, Prompt: req.Prompt, Seed: req.Seed, MaxTokens: req.MaxTokens})
	if err != nil {
		writeFieldError(w, "prompt", err.Error())
		return
	}
	timeout := defaultSampleTimeout
	if req.TimeoutMillis > 0 {
		timeout = time.Duration(req.TimeoutMillis) * time.Millisecond
	}
	lines := &sampleWriter{w: w, header: http.Header{}, names: g.deps.Headers}
	g.deps.Ingress.ServeHTTP(lines, g.newIngressRequest(r.Context(), ingressCall{
		host: g.deps.SamplesHost(req.Trainer), path: rollout.GeneratePath, contentType: "application/json", body: body, timeout: timeout,
	}))
	lines.finish()
}

// sampleWriter is the http.ResponseWriter for the ingress. It converts the events of an engine to
// lines of w. If the ingress panics, the stream has no last line, so the caller can tell that the
// sample is incomplete.
type sampleWriter struct {
	w         http.ResponseWriter
	header    http.Header
	names     headers.Names
	status    int
	sample    rollout.Result
	malformed bool
}

// Header implements http.ResponseWriter.
func (s *sampleWriter) Header() http.Header { return s.header }

// Unwrap returns the wrapped writer, for http.ResponseController.
func (s *sampleWriter) Unwrap() http.ResponseWriter { return s.w }

// WriteHeader implements http.ResponseWriter. It starts the stream only for an answer of an engine.
func (s *sampleWriter) WriteHeader(status int) {
	s.status = status
	if !s.fromEngine() {
		return
	}
	s.w.Header().Set("Content-Type", ndjsonContentType)
	s.w.Header().Set(OutcomeHeader, string(Completed))
	s.w.WriteHeader(status)
}

// fromEngine reports whether an engine has answered, rather than the ingress itself.
func (s *sampleWriter) fromEngine() bool { return s.header.Get(s.names.Signature) != "" }

// Write implements http.ResponseWriter. Each call must pass exactly one whole event, as the ingress
// does. The body of an answer of the ingress itself is discarded.
func (s *sampleWriter) Write(event []byte) (int, error) {
	if !s.fromEngine() {
		return len(event), nil
	}
	read, err := eventstream.NewReader(bytes.NewReader(event), s.names.WeightsVersion).Next()
	if err != nil {
		s.malformed = true
		return 0, err
	}
	var frame rollout.Frame
	if err := json.Unmarshal(read.Data, &frame); err != nil {
		s.malformed = true
		return 0, err
	}
	s.sample.Add(frame)
	if len(frame.Tokens) > 0 {
		if err := json.NewEncoder(s.w).Encode(SampleLine{Version: frame.Version, Tokens: frame.Tokens}); err != nil {
			return 0, err
		}
	}
	return len(event), nil
}

// finish writes the last line of a complete sample, or a problem if no engine has answered. If the
// sample is incomplete, it panics with http.ErrAbortHandler to break the connection.
func (s *sampleWriter) finish() {
	if !s.fromEngine() {
		writeProblem(s.w, ingressProblem(s.status, s.header))
		return
	}
	if s.malformed || s.sample.End == "" {
		panic(http.ErrAbortHandler)
	}
	// If the write fails, the caller lacks the last line and so knows that the sample is
	// incomplete.
	_ = json.NewEncoder(s.w).Encode(SampleLine{End: s.sample.End, Total: len(s.sample.Tokens), Segments: s.sample.Segments})
}
