// Package headers holds the names of the HTTP headers in which woodworks,
// its callers and its replicas tell each other about a request. The names
// differ between platforms; what each header means does not. The package owns no state; an
// empty name stands for a header that a platform does not have.
package headers

import (
	"net/http"
	"strings"

	"woodworks/internal/callers/apikey"
)

// Names are the header names in force.
type Names struct {
	// RequestID names one try of one request; replicas repeat it.
	RequestID string
	// DeadlineMs is how long the caller waits, in milliseconds.
	DeadlineMs string
	// ExpectReplica is the id of the only replica that may run the request.
	ExpectReplica string
	// NotExecuted marks an answer whose request was not run.
	NotExecuted string
	// Signature is a replica's signature under its answer.
	Signature string
	// LastEventID is the last event that the caller has of a stream.
	LastEventID string
	// WeightsVersion is the version of the weights that made an answer.
	WeightsVersion string
	// TokenUsage is the size of a prompt and of the longest answer, in tokens.
	TokenUsage string
	// LengthHint is the estimated length of the answer, in tokens.
	LengthHint string
	// Tenant is the name of the tenant whose key the request carried, "" where the
	// platform has no tenants.
	Tenant string
	// Quarantined says that a request was refused, and how many replicas have ended under
	// its content; "" where callers are told in words only.
	Quarantined string
	// WaitMs is how long a call may be held for news, in milliseconds.
	WaitMs string
	// DecodeLoad, if not nil, decodes what an answer tells of its replica's load, and
	// reports whether it tells any.
	DecodeLoad func(header http.Header) (Load, bool)
}

// SetTenant tells a replica the tenant of a request, and nothing else about who sent
// it: the key, and what the sender said of a tenant, are dropped. Without a name the
// replica is told no tenant.
func (names Names) SetTenant(header http.Header, tenant string) {
	if names.Tenant == "" {
		return
	}
	apikey.Strip(header)
	delete(header, http.CanonicalHeaderKey(names.Tenant))
	if tenant != "" {
		header[http.CanonicalHeaderKey(names.Tenant)] = []string{tenant}
	}
}

// Load is a replica's load, of the requests of all its callers.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes there at present, as the machine is shared with
	// others: 1 is as usual, 2 twice as long; 0 if that is not told.
	Slowdown float64
}

// hopByHopHeaders concern one connection and are never passed on.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
}

// CopyEndToEnd returns the headers of a message that are not about one
// connection, with room for a few more.
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
