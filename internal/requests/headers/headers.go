// Package headers defines the HTTP headers by which woodworks, its callers and its replicas
// exchange metadata about a request. Platforms use different names for the same headers. An
// empty name means that the platform lacks the header. The package holds no state.
package headers

import (
	"net/http"
	"strings"

	"woodworks/internal/callers/apikey"
)

// Names holds the names that a platform uses for the headers. The comment of each field
// describes the value of that header.
type Names struct {
	// RequestID identifies one attempt of a request. Replicas repeat it in their answers.
	RequestID string
	// DeadlineMs is the time that the caller waits for the answer, in milliseconds.
	DeadlineMs string
	// ExpectReplica is the id of the only replica that may run the request.
	ExpectReplica string
	// NotExecuted marks an answer to a request that was not run.
	NotExecuted string
	// Signature is the signature that a replica puts on its answers. Answers of proxies and
	// other servers have none.
	Signature string
	// LastEventID is the id of the last event of a stream that the caller received.
	LastEventID string
	// WeightsVersion is the version of the model weights that produced the answer.
	WeightsVersion string
	// TokenUsage is the size of the prompt and the maximum size of the answer, in tokens,
	// separated by a comma.
	TokenUsage string
	// LengthHint is the estimated length of the answer, in tokens.
	LengthHint string
	// Tenant is the name of the tenant that owns the request's API key. It is empty if the
	// platform has no tenants.
	Tenant string
	// Quarantined marks the refusal of a request whose content ended replicas, and holds the
	// number of these ends. It is empty if the platform reports this in the error text only.
	Quarantined string
	// WaitMs is the maximum duration of a long poll, in milliseconds.
	WaitMs string
	// DecodeLoad decodes the load that a replica reports in an answer. It returns false if the
	// answer reports none. It is nil if the platform's replicas never report their load.
	DecodeLoad func(header http.Header) (Load, bool)
}

// SetTenant prepares the headers of a request for a replica, which learns the tenant but
// nothing else about the sender: it removes the API key and any tenant set by the sender, and
// sets the tenant header unless tenant is empty. It does nothing if the platform has no
// tenants.
func (names Names) SetTenant(header http.Header, tenant string) {
	if names.Tenant == "" {
		return
	}
	apikey.RemoveFromHeader(header)
	delete(header, http.CanonicalHeaderKey(names.Tenant))
	if tenant != "" {
		header[http.CanonicalHeaderKey(names.Tenant)] = []string{tenant}
	}
}

// Load is the load of a replica, from all of its callers.
type Load struct {
	// Running and Waiting count requests, Slots those that the replica can run at once.
	Running, Waiting, Slots int
	// Slowdown is the present duration of work relative to the usual one, as the machine is
	// shared: 2 means twice as long. It is 0 if not reported.
	Slowdown float64
}

// hopByHopHeaders are the headers that concern a single connection and are never forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
}

// CopyEndToEnd returns a copy of a message's headers without those that concern a single
// connection, with capacity for a few more. The copy shares the slices of values, which must
// not be changed.
func CopyEndToEnd(from http.Header) http.Header {
	named := map[string]bool{}
	for _, value := range from["Connection"] {
		for _, token := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	copied := make(http.Header, len(from)+4)
	for name, values := range from {
		if !hopByHopHeaders[name] && !named[name] {
			copied[name] = values
		}
	}
	return copied
}
