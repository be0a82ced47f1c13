package refusal

import (
	"net/http"
	"time"
)

// Reasons at the client listener that guarantee that the request has not run. It may be sent again.
var (
	// NoConfiguration: this daemon has just started and has not read a configuration yet.
	NoConfiguration = Reason{Name: outcomeRefused, Status: http.StatusServiceUnavailable, RetryAfter: 250 * time.Millisecond}
	// BodyTimeout: the body was not received before the deadline of the request.
	BodyTimeout = Reason{Name: outcomeRefused, Status: http.StatusServiceUnavailable, RetryAfter: 250 * time.Millisecond}
	// NoReplica: no replica accepted the request, and it was not sent to one that may run it.
	NoReplica = Reason{Name: outcomeRefused, Status: http.StatusServiceUnavailable, RetryAfter: 250 * time.Millisecond}
	// MemoryLimitReached: this daemon holds as many bytes for clients as it may. The delay lets
	// clients that read at a normal rate free memory.
	MemoryLimitReached = Reason{Name: outcomeRefused, Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
	// JournalTimeout: neither the journal nor the watcher of the batch's partition answered in
	// time.
	JournalTimeout = Reason{Name: outcomeRefused, Status: http.StatusServiceUnavailable, RetryAfter: 400 * time.Millisecond}
	// KeyUnconfirmed: the configuration is too old to decide whether the key is valid.
	KeyUnconfirmed = Reason{Name: outcomeRefused, Status: http.StatusServiceUnavailable, RetryAfter: 400 * time.Millisecond}
	// Stopping: a planned stop leaves no time for the request. Other daemons can take it at once;
	// the short delay only spreads requests that were refused together.
	Stopping = Reason{Name: outcomeRefused, Status: http.StatusServiceUnavailable, RetryAfter: 50 * time.Millisecond}
	// ServiceFull: the service has no free slot for the request before its deadline.
	// admission.RetryAfter computes the delay.
	ServiceFull = Reason{Name: outcomeRefused, Status: http.StatusServiceUnavailable}
	// Quarantined: replicas ended under the request's content, and an operator must lift the
	// quarantine. The delay does not promise success; it limits how often a caller asks. In other
	// cases of quarantine the delay is that of IsolatedRunPending or OtherRunPending, or the time
	// until a refused content may run once more.
	Quarantined = Reason{Name: "quarantined", Status: http.StatusServiceUnavailable, RetryAfter: time.Minute, AllDaemons: true}
	// IsolatedRunPending: the content may get an isolated run within this delay.
	IsolatedRunPending = Quarantined.WithRetryAfter(time.Second)
	// OtherRunPending: the content waits for other runs of it, or of another suspect. Most requests
	// to plain services end within this delay.
	OtherRunPending = Quarantined.WithRetryAfter(100 * time.Millisecond)
)

// Reasons at the client listener for faults of the request. It has not run.
var (
	Malformed      = Reason{Name: "malformed", Status: http.StatusBadRequest}
	WrongMethod    = Reason{Name: "malformed", Status: http.StatusMethodNotAllowed}
	NoTenant       = Reason{Name: "no tenant", Status: http.StatusUnauthorized}
	NoRoute        = Reason{Name: "no route", Status: http.StatusNotFound}
	UnknownBatch   = Reason{Name: "unknown batch", Status: http.StatusNotFound}
	UnknownItem    = Reason{Name: "unknown item", Status: http.StatusNotFound}
	BodyTooLarge   = Reason{Name: "too large", Status: http.StatusRequestEntityTooLarge}
	BodyIncomplete = Reason{Name: "cut off", Status: http.StatusBadRequest}
)

// Reasons at the client listener that leave open whether the request has run.
var (
	// PageNotEncoded: results could not be encoded. It is safe to read them again.
	PageNotEncoded = Reason{Name: "failed", Status: http.StatusInternalServerError, MayHaveRun: true}
	// Failed: a replica received the request, but its answer was lost or invalid.
	Failed = Reason{Name: "failed", Status: http.StatusBadGateway, MayHaveRun: true}
	// Interrupted: a planned stop reached its end and cancelled the request.
	Interrupted = Reason{Name: "interrupted", Status: http.StatusBadGateway, MayHaveRun: true}
	// TimedOut: a replica received the request, and the request's deadline has passed.
	TimedOut = Reason{Name: "timed out", Status: http.StatusGatewayTimeout, MayHaveRun: true}
	// BatchOutcomeUnknown: it is not known whether the journal has the record of a submission or of
	// an end.
	BatchOutcomeUnknown = Reason{Name: "unknown", Status: http.StatusGatewayTimeout, MayHaveRun: true}
)

// outcomeRefused is the Name of most refusals, which is a label value of a metric.
const outcomeRefused = "refused"
