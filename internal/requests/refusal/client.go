package refusal

import (
	"net/http"
	"time"
)

// Reasons at the client listener for which the request has not run and may be sent again.
var (
	// NoConfiguration: this daemon has just started and has not read any.
	NoConfiguration = Reason{Name: outcomeRefused, Status: http.StatusServiceUnavailable, RetryAfter: 250 * time.Millisecond}
	// BodyTimeout: the body did not come in the time of its request.
	BodyTimeout = Reason{Name: outcomeRefused, Status: http.StatusServiceUnavailable, RetryAfter: 250 * time.Millisecond}
	// NoReplica: no replica took the request, and it was not sent to one that may run it.
	NoReplica = Reason{Name: outcomeRefused, Status: http.StatusServiceUnavailable, RetryAfter: 250 * time.Millisecond}
	// MemoryLimitReached: this daemon holds as much for clients as it may. Clients that read at all have
	// read much within the time to return.
	MemoryLimitReached = Reason{Name: outcomeRefused, Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
	// JournalTimeout: neither the journal nor the watcher of the batch's partition answered in time.
	JournalTimeout = Reason{Name: outcomeRefused, Status: http.StatusServiceUnavailable, RetryAfter: 400 * time.Millisecond}
	// KeyUnconfirmed: the configuration is too old to tell whether the key is valid.
	KeyUnconfirmed = Reason{Name: outcomeRefused, Status: http.StatusServiceUnavailable, RetryAfter: 400 * time.Millisecond}
	// Stopping: a planned stop leaves the request no time. Other daemons take it at once; a few
	// round trips spread those that come together.
	Stopping = Reason{Name: outcomeRefused, Status: http.StatusServiceUnavailable, RetryAfter: 50 * time.Millisecond}
	// ServiceFull: the service has no place for the request in its time; admission.ComeBack
	// gives the time to return.
	ServiceFull = Reason{Name: outcomeRefused, Status: http.StatusServiceUnavailable}
	// Quarantined: replicas ended under the request's content. The time to return is that of a
	// content that an operator must lift: no promise to serve it then, it keeps a caller from
	// asking at once. Others are SuspectAlone, SuspectAwaited and the rest of the time until a
	// refused content may run once more.
	Quarantined = Reason{Name: "quarantined", Status: http.StatusServiceUnavailable, RetryAfter: time.Minute, AllDaemons: true}
	// LoneRunPending: the content may soon run alone; at most this long.
	LoneRunPending = Quarantined.WithRetryAfter(time.Second)
	// OtherRunPending: other runs of the content, or of another suspect, keep it waiting. Most
	// requests to plain services are over by then.
	OtherRunPending = Quarantined.WithRetryAfter(100 * time.Millisecond)
)

// Reasons at the client listener that lie in the request. It has not run.
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

// Reasons at the client listener for which nothing is promised.
var (
	// PageNotEncoded: results could not be encoded. Reading them again does no harm.
	PageNotEncoded = Reason{Name: "failed", Status: http.StatusInternalServerError, MayHaveRun: true}
	// Failed: a replica got the request, and its answer was lost or unsound.
	Failed = Reason{Name: "failed", Status: http.StatusBadGateway, MayHaveRun: true}
	// Interrupted: the end of a planned stop cut the request.
	Interrupted = Reason{Name: "interrupted", Status: http.StatusBadGateway, MayHaveRun: true}
	// TimedOut: a replica got the request, and its time has passed.
	TimedOut = Reason{Name: "timed out", Status: http.StatusGatewayTimeout, MayHaveRun: true}
	// BatchOutcomeUnknown: whether the journal has the record of a submission or an end is not known.
	BatchOutcomeUnknown = Reason{Name: "unknown", Status: http.StatusGatewayTimeout, MayHaveRun: true}
)

// outcomeRefused is the outcome of most refusals, a label of a metric.
const outcomeRefused = "refused"
