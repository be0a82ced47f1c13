package ingress

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/callers/apikey"
	"woodworks/internal/requests/headers"
	"woodworks/internal/requests/route"
)

// KeyPolicy says how far a configuration of some age is trusted about keys. Zero values
// mean without bound.
type KeyPolicy struct {
	// TrustKnown is how long after the configuration was last confirmed a key that it
	// has is still taken. Beyond it the key may have been withdrawn.
	TrustKnown time.Duration
	// TrustUnknown is how long after that a key that it does not have is refused for
	// good. Beyond it the key may have been added.
	TrustUnknown time.Duration
}

// exceeded reports whether an age is beyond a bound, 0 being none.
func exceeded(age, bound time.Duration) bool { return bound > 0 && age > bound }

// authenticate finds the tenant of a request by its key, or answers why it has none: 401
// if the key is certainly not valid, 503 if this daemon has lost contact for too long to
// know, so that the caller asks another one.
func (asked *request) authenticate(configuration *route.Configuration) bool {
	if configuration.Tenants == nil {
		return true
	}
	key, _ := apikey.FromHeader(asked.request.Header)
	found, known := configuration.Tenants.Of(key)
	age := asked.handler.ConfigurationAge()
	policy := asked.handler.Keys
	refused := ""
	switch {
	case known && exceeded(age, policy.TrustKnown):
		refused = "the key may have been withdrawn"
	case known:
		asked.tenant = found
		return true
	case key != "" && exceeded(age, policy.TrustUnknown):
		refused = "the key may have been added"
	}
	asked.logger.Info("key refused", zap.String("key_digest", apikey.DigestOf(key).Short()), zap.Bool("sent", key != ""), zap.Bool("known", known),
		zap.Int64("configuration", configuration.Version), zap.Duration("age", age))
	if refused != "" {
		asked.refuse(refused, storeRetryAfter)
		return false
	}
	asked.fail(http.StatusUnauthorized, "no tenant", "no tenant has this key")
	return false
}

// authenticateCall finds the tenant of a call about a batch. A call needs no key where
// batches may be submitted without one; a key that is sent counts all the same, as a host
// may have batches of both kinds.
func (asked *request) authenticateCall(configuration *route.Configuration) bool {
	_, sent := apikey.FromHeader(asked.request.Header)
	if !sent && configuration.AnonymousBatches(asked.request.Host) {
		return true
	}
	return asked.authenticate(configuration)
}

// tenantName returns the name of the request's tenant, "" if it has none.
func (asked *request) tenantName() string {
	if asked.tenant == nil {
		return ""
	}
	return asked.tenant.Name
}

// headerOnward returns the header with which the request goes to a replica. Where there
// are tenants, the replica sees the tenant in place of the key.
func (asked *request) headerOnward(configuration *route.Configuration) http.Header {
	header := headers.CopyEndToEnd(asked.request.Header)
	if configuration.Tenants != nil {
		asked.handler.Names.SetTenant(header, asked.tenantName())
	}
	return header
}
