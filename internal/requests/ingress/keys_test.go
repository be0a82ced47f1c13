package ingress

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/results"
	"woodworks/internal/callers/tenant"
	"woodworks/internal/requests/headers"
	"woodworks/internal/requests/route"
)

// plainCodec is a Codec without calls about batches.
type plainCodec struct{}

func (plainCodec) ParseCall(*http.Request) (BatchCall, bool, error) { return BatchCall{}, false, nil }
func (plainCodec) DecodeSubmission([]byte) (*batch.Submission, error) {
	return nil, http.ErrNotSupported
}
func (plainCodec) EncodeResults(results.Page) ([]byte, error) { return nil, http.ErrNotSupported }
func (plainCodec) EncodeError(text string) []byte             { return []byte(text) }

// ignoreAnswer is a Handler.Observe that does nothing.
func ignoreAnswer(string, string, string, time.Duration) {}

// authenticateKey authenticates a request at a daemon whose configuration was last confirmed age
// ago. It returns the request, the status of the refusal (0 if the request was accepted) and the
// logs.
func authenticateKey(t *testing.T, authorization string, age time.Duration, policy KeyPolicy) (*request, int, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	directory, err := tenant.NewDirectory([]tenant.Declaration{{Name: "a", Keys: []string{"valid-key"}}})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := route.New(route.Definition{Version: 1, Tenants: directory})
	if err != nil {
		t.Fatal(err)
	}
	req := httptest.NewRequest(http.MethodPost, "/x", nil)
	req.Header.Set("Authorization", authorization)
	req.Header.Set("X-Tenant", "forged")
	recorder := httptest.NewRecorder()
	handler := newTestHandler(time.Now)
	handler.Names, handler.Keys, handler.ConfigurationAge = headers.Names{Tenant: "X-Tenant"}, policy, func() time.Duration { return age }
	r := &request{handler: handler, w: recorder, req: req, arrived: time.Now(), logger: zap.New(core)}
	if r.authenticate(cfg) {
		header := r.outgoingRequest(cfg, nil).Header
		if header.Get("Authorization") != "" || header.Get("X-Tenant") != r.tenantName() {
			t.Fatalf("outgoing header: %v", header)
		}
		return r, 0, logs
	}
	return r, recorder.Code, logs
}

// A key must only be accepted, or rejected with a 401, if the configuration is recent enough.
func TestKeyDecisionsDependOnTheConfigurationsAge(t *testing.T) {
	strict := KeyPolicy{AcceptMaxAge: 5 * time.Second, RejectMaxAge: 4 * time.Second}
	open := KeyPolicy{RejectMaxAge: 4 * time.Second}
	cases := map[string]struct {
		authorization string
		age           time.Duration
		policy        KeyPolicy
		status        int
	}{
		"valid":                                  {"Bearer valid-key", time.Second, strict, 0},
		"valid, bound just met":                  {"Bearer valid-key", 5 * time.Second, strict, 0},
		"valid, may be withdrawn":                {"Bearer valid-key", 6 * time.Second, strict, http.StatusServiceUnavailable},
		"valid, out of contact, no bound":        {"Bearer valid-key", time.Hour, open, 0},
		"unknown":                                {"Bearer other-key", time.Second, strict, http.StatusUnauthorized},
		"unknown, may have been added":           {"Bearer other-key", 6 * time.Second, open, http.StatusServiceUnavailable},
		"none":                                   {"", time.Second, strict, http.StatusUnauthorized},
		"none, out of contact":                   {"", time.Hour, strict, http.StatusUnauthorized},
		"another scheme":                         {"Basic valid-key", time.Second, strict, http.StatusUnauthorized},
		"a part of a valid key":                  {"Bearer valid-ke", time.Second, strict, http.StatusUnauthorized},
		"a valid key and more":                   {"Bearer valid-key2", time.Second, strict, http.StatusUnauthorized},
		"valid, scheme in other case, confirmed": {"bearer valid-key", 0, strict, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, status, logs := authenticateKey(t, c.authorization, c.age, c.policy)
			is.Equal(status, c.status)
			if status == 0 {
				is.Equal(r.tenantName(), "a")
				return
			}
			is.Equal(r.tenantName(), "")
			is.Equal(logs.FilterMessage("key refused").Len(), 1)
			for _, entry := range logs.All() {
				for _, value := range entry.ContextMap() {
					is.True(value != "valid-key") // keys must not be logged
					is.True(value != "other-key")
				}
			}
		})
	}
}
