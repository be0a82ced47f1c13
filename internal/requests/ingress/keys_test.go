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

// plainCodec knows no calls about batches.
type plainCodec struct{}

func (plainCodec) ParseCall(*http.Request) (BatchCall, bool, error) { return BatchCall{}, false, nil }
func (plainCodec) DecodeSubmission([]byte) (*batch.Submission, error) {
	return nil, http.ErrNotSupported
}
func (plainCodec) EncodeResults(results.Page) ([]byte, error) { return nil, http.ErrNotSupported }
func (plainCodec) EncodeError(text string) []byte             { return []byte(text) }

// unobserved counts nothing.
func unobserved(string, string, string, time.Duration) {}

// ask has a request of a key judged by a daemon whose configuration was confirmed a
// while ago. It returns the status, 0 for a request that may go on, and the logs.
func ask(t *testing.T, authorization string, age time.Duration, policy KeyPolicy) (*request, int, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	directory, err := tenant.NewDirectory([]tenant.Declared{{Name: "a", Keys: []string{"valid-key"}}})
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
	handler := bare(time.Now)
	handler.Names, handler.Keys, handler.ConfigurationAge = headers.Names{Tenant: "X-Tenant"}, policy, func() time.Duration { return age }
	r := &request{handler: handler, w: recorder, req: req, arrived: time.Now(), logger: zap.New(core)}
	if r.authenticate(cfg) {
		header := r.onward(cfg, nil).Header
		if header.Get("Authorization") != "" || header.Get("X-Tenant") != r.tenantName() {
			t.Fatalf("header onward: %v", header)
		}
		return r, 0, logs
	}
	return r, recorder.Code, logs
}

// What a key is worth follows from what the configuration says of it and from how long
// ago that was confirmed.
func TestKeysAreJudgedByTheConfigurationsAge(t *testing.T) {
	strict := KeyPolicy{TrustKnown: 5 * time.Second, TrustUnknown: 4 * time.Second}
	open := KeyPolicy{TrustUnknown: 4 * time.Second}
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
		"none, out of contact: none is none":     {"", time.Hour, strict, http.StatusUnauthorized},
		"another scheme":                         {"Basic valid-key", time.Second, strict, http.StatusUnauthorized},
		"a part of a valid key":                  {"Bearer valid-ke", time.Second, strict, http.StatusUnauthorized},
		"a valid key and more":                   {"Bearer valid-key2", time.Second, strict, http.StatusUnauthorized},
		"valid, scheme in other case, confirmed": {"bearer valid-key", 0, strict, 0},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, status, logs := ask(t, one.authorization, one.age, one.policy)
			is.Equal(status, one.status)
			if status == 0 {
				is.Equal(r.tenantName(), "a")
				return
			}
			is.Equal(r.tenantName(), "")
			is.Equal(logs.FilterMessage("key refused").Len(), 1)
			for _, entry := range logs.All() {
				for _, value := range entry.ContextMap() {
					is.True(value != "valid-key") // keys never stand in logs
					is.True(value != "other-key")
				}
			}
		})
	}
}
