package refusal

import (
	"net/http"
	"time"
)

// v1RetryAfter is a whole number of seconds, which all HTTP clients understand.
const v1RetryAfter = time.Second

// Reasons at /v1/ that guarantee that this attempt has not run.
var (
	V1NoConfiguration = Reason{Name: "no_configuration", Status: http.StatusServiceUnavailable, RetryAfter: v1RetryAfter}
	// V1ConfigurationNotConfirmed: this daemon can't confirm that its policies are the newest.
	V1ConfigurationNotConfirmed = Reason{Name: "configuration_not_confirmed", Status: http.StatusServiceUnavailable, RetryAfter: v1RetryAfter}
	V1Stopping                  = Reason{Name: "stopping", Status: http.StatusServiceUnavailable, RetryAfter: v1RetryAfter}
	// V1QueueFull: the traffic class has reached its limit of requests at this daemon.
	V1QueueFull = Reason{Name: "queue_full", Status: http.StatusTooManyRequests, RetryAfter: v1RetryAfter}
	// V1TooManyInFlight: the caller has reached its limit of requests at this daemon.
	V1TooManyInFlight = Reason{Name: "too_many_in_flight", Status: http.StatusTooManyRequests, RetryAfter: v1RetryAfter}
	// V1LogUnavailable: the journal did not accept the record.
	V1LogUnavailable = Reason{Name: "log_unavailable", Status: http.StatusServiceUnavailable, RetryAfter: v1RetryAfter}
	// V1PermitUnknown: it is not known whether the journal has the claim of the request's key.
	V1PermitUnknown  = Reason{Name: "permit_unsure", Status: http.StatusServiceUnavailable, RetryAfter: v1RetryAfter}
	V1DeliveryFailed = Reason{Name: "delivery_failed", Status: http.StatusServiceUnavailable, RetryAfter: v1RetryAfter}
	// V1NoReplica and V1Quarantined are refusals of the client listener. Its delay takes precedence
	// over this one.
	V1NoReplica   = Reason{Name: "no_replica", Status: http.StatusServiceUnavailable, RetryAfter: v1RetryAfter}
	V1Quarantined = Reason{Name: "quarantined", Status: http.StatusServiceUnavailable, RetryAfter: v1RetryAfter, AllDaemons: true}
)

// Reasons at /v1/ that leave open whether the request has run.
var (
	// V1LogOutcomeUnknown: it is not known whether the journal has the record.
	V1LogOutcomeUnknown = Reason{Name: "log_unavailable", Status: http.StatusServiceUnavailable, MayHaveRun: true, RetryAfter: v1RetryAfter}
	// V1PolicyPending: the journal has the policy, but it is not in force at this daemon yet.
	V1PolicyPending       = Reason{Name: "policy_pending", Status: http.StatusServiceUnavailable, MayHaveRun: true, RetryAfter: v1RetryAfter}
	V1BatchOutcomeUnknown = Reason{Name: "batch_unsure", Status: http.StatusServiceUnavailable, MayHaveRun: true, RetryAfter: v1RetryAfter}
	V1EndOutcomeUnknown   = Reason{Name: "end_unsure", Status: http.StatusServiceUnavailable, MayHaveRun: true, RetryAfter: v1RetryAfter}
	// V1StreamStopped: a planned stop ends a stream of samples; sent as its last line.
	V1StreamStopped = Reason{Name: "stopping", Status: http.StatusServiceUnavailable, MayHaveRun: true, RetryAfter: v1RetryAfter}
	// V1EarlierAttemptUnknown: an earlier attempt with the same key may have run, and its outcome
	// is not known.
	V1EarlierAttemptUnknown = Reason{Name: "earlier_try_lost", Status: http.StatusConflict, MayHaveRun: true, RetryAfter: v1RetryAfter}
	V1TimedOut              = Reason{Name: "timed_out", Status: http.StatusGatewayTimeout, MayHaveRun: true}
	V1BackEndFailed         = Reason{Name: "back_end_failed", Status: http.StatusBadGateway, MayHaveRun: true}
	V1AnswerIncomplete      = Reason{Name: "answer_cut_off", Status: http.StatusBadGateway, MayHaveRun: true}
)
