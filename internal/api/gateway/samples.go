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

type sampleRequest struct {
	Trainer   string `json:"trainer"`
	Prompt    string `json:"prompt"`
	Seed      uint64 `json:"seed"`
	MaxTokens int    `json:"max_tokens"`
	// TimeoutMillis bounds the whole request, 0 for the default.
	TimeoutMillis int64 `json:"timeout_ms,omitempty"`
}

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

// SampleLine is one line of a sample's stream. The last line of a whole sample
// has Total and Segments; a stream without it is incomplete.
type SampleLine struct {
	Version  int64             `json:"version,omitempty"`
	Tokens   []uint32          `json:"tokens,omitempty"`
	End      string            `json:"end,omitempty"`
	Total    int               `json:"total,omitempty"`
	Segments []rollout.Segment `json:"segments,omitempty"`
	Error    *Problem          `json:"error,omitempty"`
}

// streamSample passes one sample on as it grows.
func (g *Gateway) streamSample(w http.ResponseWriter, r *http.Request, caller policy.Caller) {
	var req sampleRequest
	if !decodeJSON(w, r, &req) {
		return
	}
	if field, reason := req.check(); field != "" {
		badField(w, field, reason)
		return
	}
	if _, ok := g.trainerOf(w, caller, req.Trainer); !ok {
		return
	}
	configuration, _ := g.parts.Configuration()
	class := configuration.Policies.Classes[configuration.Policies.Trainers[req.Trainer].Class]
	if !g.enterClass(w, class) {
		return
	}
	defer g.flights.leave(classCounter(class.Name))
	body, err := json.Marshal(rollout.GenerateRequest{Model: req.Trainer, Prompt: req.Prompt, Seed: req.Seed, MaxTokens: req.MaxTokens})
	if err != nil {
		badField(w, "prompt", err.Error())
		return
	}
	timeout := defaultSampleTimeout
	if req.TimeoutMillis > 0 {
		timeout = time.Duration(req.TimeoutMillis) * time.Millisecond
	}
	lines := &sampleWriter{w: w, header: http.Header{}, names: g.parts.Headers}
	g.parts.Ingress.ServeHTTP(lines, g.request(r.Context(), ingressCall{
		host: g.parts.SamplesHost(req.Trainer), path: rollout.GeneratePath, kind: "application/json", body: body, timeout: timeout,
	}))
	lines.finish()
}

// sampleWriter is an http.ResponseWriter that turns the events of the ingress into lines. If
// the ingress ends with a panic the answer stays without its last line.
type sampleWriter struct {
	w      http.ResponseWriter
	header http.Header
	names  headers.Names
	status int
	sample rollout.Result
	broken bool
}

func (s *sampleWriter) Header() http.Header { return s.header }

// Unwrap lets http.ResponseController reach the real writer.
func (s *sampleWriter) Unwrap() http.ResponseWriter { return s.w }

func (s *sampleWriter) WriteHeader(status int) {
	s.status = status
	if !s.fromEngine() {
		return
	}
	s.w.Header().Set("Content-Type", streamType)
	s.w.Header().Set(OutcomeHeader, string(Completed))
	s.w.WriteHeader(status)
}

func (s *sampleWriter) fromEngine() bool { return s.header.Get(s.names.Signature) != "" }

// Write implements http.ResponseWriter. The ingress writes one whole event at a
// time.
func (s *sampleWriter) Write(event []byte) (int, error) {
	if !s.fromEngine() {
		return len(event), nil
	}
	read, err := eventstream.NewReader(bytes.NewReader(event), s.names.WeightsVersion).Next()
	if err != nil {
		s.broken = true
		return 0, err
	}
	var frame rollout.Frame
	if err := json.Unmarshal(read.Data, &frame); err != nil {
		s.broken = true
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

// finish writes the last line, or the problem if there is no sample.
func (s *sampleWriter) finish() {
	if !s.fromEngine() {
		writeProblem(s.w, problemOf(s.status, s.header))
		return
	}
	if s.broken || s.sample.End == "" {
		panic(http.ErrAbortHandler)
	}
	// Without this line the caller knows the sample to be incomplete.
	_ = json.NewEncoder(s.w).Encode(SampleLine{End: s.sample.End, Total: len(s.sample.Tokens), Segments: s.sample.Segments})
}
