package ingress

import (
	"time"

	"go.uber.org/zap"

	"woodworks/internal/callers/apikey"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/headers"
	"woodworks/internal/requests/refusal"
	"woodworks/internal/requests/route"
)

// KeyPolicy bounds the age at which a configuration is used to accept or reject API keys. The
// age is the time since the configuration was last confirmed to be the newest. A bound of 0
// means no bound.
type KeyPolicy struct {
	// AcceptMaxAge is the greatest age at which a key in the configuration is accepted. In a
	// newer configuration the key may have been withdrawn.
	AcceptMaxAge time.Duration
	// RejectMaxAge is the greatest age at which a key that is not in the configuration is
	// rejected as invalid. A newer configuration may contain it.
	RejectMaxAge time.Duration
}

// exceeded reports whether age is greater than bound. A bound of 0 is never exceeded.
func exceeded(age, bound time.Duration) bool { return bound > 0 && age > bound }

// authenticate sets the request's tenant by its API key, or refuses the request and returns
// false. The answer is 401 if the key is certainly invalid, and 503 if the configuration is too
// old to decide, so that the client tries another daemon. Without tenants in the configuration,
// authenticate accepts every request.
func (r *request) authenticate(cfg *route.Configuration) bool {
	if cfg.Tenants == nil {
		return true
	}
	key, _ := apikey.FromHeader(r.req.Header)
	t, ok := cfg.Tenants.ByKey(key)
	age := r.handler.ConfigurationAge()
	policy := r.handler.Keys
	unconfirmed := ""
	switch {
	case ok && exceeded(age, policy.AcceptMaxAge):
		unconfirmed = "the key may have been withdrawn"
	case ok:
		r.tenant = t
		return true
	case key != "" && exceeded(age, policy.RejectMaxAge):
		unconfirmed = "the key may have been added"
	}
	r.logger.Info("key refused", zap.String("key_digest", apikey.DigestOf(key).Short()), zap.Bool("sent", key != ""),
		zap.Bool("known", ok), zap.Int64("configuration", cfg.Version), zap.Duration("age", age))
	if unconfirmed != "" {
		r.refuse(refusal.KeyUnconfirmed, unconfirmed)
		return false
	}
	r.refuse(refusal.NoTenant, "no tenant has this key")
	return false
}

// authenticateCall authenticates a call about a batch. No key is needed if the host accepts
// batches without one. A key that is sent is checked nevertheless, as a host may have batches
// with and without tenants.
func (r *request) authenticateCall(cfg *route.Configuration) bool {
	_, sent := apikey.FromHeader(r.req.Header)
	if !sent && cfg.AllowsAnonymousBatches(r.req.Host) {
		return true
	}
	return r.authenticate(cfg)
}

// tenantName returns the name of the request's tenant, or "" if it has none.
func (r *request) tenantName() string {
	if r.tenant == nil {
		return ""
	}
	return r.tenant.Name
}

// outgoingRequest returns the request as it is sent to a replica. If the configuration has
// tenants, the API key is replaced by the tenant's name.
func (r *request) outgoingRequest(cfg *route.Configuration, body []byte) forward.Request {
	header := headers.CopyEndToEnd(r.req.Header)
	if cfg.Tenants != nil {
		r.handler.Names.SetTenant(header, r.tenantName())
	}
	return forward.Request{RequestID: r.id, Method: r.req.Method, Target: r.req.RequestURI, Host: r.req.Host,
		Header: header, Body: body, Caller: r.tenantName(), ClientLeft: r.clientLeft}
}
