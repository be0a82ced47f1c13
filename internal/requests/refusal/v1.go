package refusal

import (
	"net/http"
	"time"
)

// v1RetryAfter is when callers of /v1/ should come back, whole seconds being what all HTTP
// clients understand.
const v1RetryAfter = time.Second

// Reasons at /v1/ for which this try has not run.
var (
	V1NoConfiguration = Reason{Name: "no_configuration", Status: http.StatusServiceUnavailable, RetryAfter: v1RetryAfter}
	// V1ConfigurationNotConfirmed: this daemon can't confirm that its policies are the newest.
	V1ConfigurationNotConfirmed = Reason{Name: "configuration_not_confirmed", Status: http.StatusServiceUnavailable, RetryAfter: v1RetryAfter}
	V1Stopping                  = Reason{Name: "stopping", Status: http.StatusServiceUnavailable, RetryAfter: v1RetryAfter}
	// V1QueueFull: the traffic class has as many requests at this daemon as it may.
	V1QueueFull = Reason{Name: "queue_full", Status: http.StatusTooManyRequests, RetryAfter: v1RetryAfter}
	// V1TooManyInFlight: the caller has.
	V1TooManyInFlight = Reason{Name: "too_many_in_flight", Status: http.StatusTooManyRequests, RetryAfter: v1RetryAfter}
	// V1LogUnavailable: the journal did not take the record.
	V1LogUnavailable = Reason{Name: "log_unavailable", Status: http.StatusServiceUnavailable, RetryAfter: v1RetryAfter}
	// V1PermitUnknown: whether the journal has the claim of the request's key is not known.
	V1PermitUnknown  = Reason{Name: "permit_unsure", Status: http.StatusServiceUnavailable, RetryAfter: v1RetryAfter}
	V1DeliveryFailed = Reason{Name: "delivery_failed", Status: http.StatusServiceUnavailable, RetryAfter: v1RetryAfter}
	// V1NoReplica and V1Quarantined are refusals of the client listener, whose time to return
	// goes before this one.
	V1NoReplica   = Reason{Name: "no_replica", Status: http.StatusServiceUnavailable, RetryAfter: v1RetryAfter}
	V1Quarantined = Reason{Name: "quarantined", Status: http.StatusServiceUnavailable, RetryAfter: v1RetryAfter, AllDaemons: true}
)

// Reasons at /v1/ for which the request may have run.
var (
	// V1LogOutcomeUnknown: whether the journal has the record is not known.
	V1LogOutcomeUnknown = Reason{Name: "log_unavailable", Status: http.StatusServiceUnavailable, MayHaveRun: true, RetryAfter: v1RetryAfter}
	// V1PolicyPending: the journal has the policy, and it is not yet in force here.
	V1PolicyPending       = Reason{Name: "policy_pending", Status: http.StatusServiceUnavailable, MayHaveRun: true, RetryAfter: v1RetryAfter}
	V1BatchOutcomeUnknown = Reason{Name: "batch_unsure", Status: http.StatusServiceUnavailable, MayHaveRun: true, RetryAfter: v1RetryAfter}
	V1EndOutcomeUnknown   = Reason{Name: "end_unsure", Status: http.StatusServiceUnavailable, MayHaveRun: true, RetryAfter: v1RetryAfter}
	// V1StreamStopped: a planned stop ends a stream of samples, as its last line.
	V1StreamStopped = Reason{Name: "stopping", Status: http.StatusServiceUnavailable, MayHaveRun: true, RetryAfter: v1RetryAfter}
	// V1EarlierAttemptUnknown: an earlier try with the key may have run, and its outcome is not known.
	V1EarlierAttemptUnknown = Reason{Name: "earlier_try_lost", Status: http.StatusConflict, MayHaveRun: true, RetryAfter: v1RetryAfter}
	V1TimedOut              = Reason{Name: "timed_out", Status: http.StatusGatewayTimeout, MayHaveRun: true}
	V1BackEndFailed         = Reason{Name: "back_end_failed", Status: http.StatusBadGateway, MayHaveRun: true}
	V1AnswerIncomplete      = Reason{Name: "answer_cut_off", Status: http.StatusBadGateway, MayHaveRun: true}
)
