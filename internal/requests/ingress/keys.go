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

// KeyPolicy says how far a configuration of some age is trusted about keys. Zero values
// mean without bound.
type KeyPolicy struct {
	// TrustKnown is how long after the configuration was last confirmed a key that it
	// has is still taken. Beyond it the key may have been withdrawn.
	TrustKnown time.Duration
	// TrustUnknown is how long after the configuration was last confirmed a key that it does
	// not have is refused for good. Beyond it the key may have been added.
	TrustUnknown time.Duration
}

// exceeded reports whether an age is beyond a bound, 0 being none.
func exceeded(age, bound time.Duration) bool { return bound > 0 && age > bound }

// authenticate finds the tenant of a request by its key, or answers why it has none: 401
// if the key is certainly not valid, 503 if this daemon has lost contact for too long to
// know, so that the caller asks another one.
func (r *request) authenticate(cfg *route.Configuration) bool {
	if cfg.Tenants == nil {
		return true
	}
	key, _ := apikey.FromHeader(r.req.Header)
	t, ok := cfg.Tenants.Of(key)
	age := r.handler.ConfigurationAge()
	policy := r.handler.Keys
	unconfirmed := ""
	switch {
	case ok && exceeded(age, policy.TrustKnown):
		unconfirmed = "the key may have been withdrawn"
	case ok:
		r.tenant = t
		return true
	case key != "" && exceeded(age, policy.TrustUnknown):
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

// authenticateCall finds the tenant of a call about a batch. A call needs no key where
// batches may be submitted without one; a key that is sent counts all the same, as a host
// may have batches of both kinds.
func (r *request) authenticateCall(cfg *route.Configuration) bool {
	_, sent := apikey.FromHeader(r.req.Header)
	if !sent && cfg.AllowsAnonymousBatches(r.req.Host) {
		return true
	}
	return r.authenticate(cfg)
}

// tenantName returns the name of the request's tenant, "" if it has none.
func (r *request) tenantName() string {
	if r.tenant == nil {
		return ""
	}
	return r.tenant.Name
}

// onward returns the request as it goes to a replica. Where there are tenants, the replica
// sees the tenant in place of the key.
func (r *request) onward(cfg *route.Configuration, body []byte) forward.Request {
	header := headers.CopyEndToEnd(r.req.Header)
	if cfg.Tenants != nil {
		r.handler.Names.SetTenant(header, r.tenantName())
	}
	return forward.Request{RequestID: r.id, Method: r.req.Method, Target: r.req.RequestURI, Host: r.req.Host,
		Header: header, Body: body, Caller: r.tenantName()}
}
