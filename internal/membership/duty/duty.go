// Package duty names the calls that a platform expects of the system as a whole: one
// daemon at a time makes them, in the name of the lease that it holds.
//
// # Usage
//
//	fence, left, may := held.Fence()
//	err := driver.ReportUsage(ctx, duty.Authority{Holder: name, Fence: fence}, report)
//
// A driver translates and does no more; who calls it sees to the lease, to the order of
// calls and to their repetition.
package duty

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Errors of a call. One that is none of these promises nothing.
var (
	// ErrUnknown: the call got no usable answer; it may have had its effect.
	ErrUnknown = errors.New("duty: outcome unknown")
	// ErrThrottled: more calls came than the platform takes; this one had no effect.
	ErrThrottled = errors.New("duty: throttled")
	// ErrNoCapacity: the platform has no such replicas at present.
	ErrNoCapacity = errors.New("duty: none to be had")
	// ErrFenced: the platform has seen a higher fence.
	ErrFenced = errors.New("duty: fenced off")
	// ErrRefused: the platform does not take such a call.
	ErrRefused = errors.New("duty: refused")
)

// Authority is the lease in whose name a call is made.
type Authority struct {
	Holder string
	Fence  int64
}

// Usage is what the tenants used in one window of the time of day.
type Usage struct {
	// Window counts the windows since the epoch of Unix time.
	Window int64
	// Requests are the requests of each tenant that began to run in the window.
	Requests map[string]int64
}

// FleetOrder orders replicas of one service in one zone.
type FleetOrder struct {
	Service string
	Zone    string
	Desired int
	// Spot replicas are cheaper, and the platform may take all of a zone away at once.
	Spot bool
}

// Driver makes the calls.
type Driver interface {
	// Duties tells which calls the platform expects.
	Duties() Duties
	ReportUsage(ctx context.Context, authority Authority, usage Usage) error
	OrderFleet(ctx context.Context, authority Authority, fleet FleetOrder) error
}

// Duties says which calls a platform expects.
type Duties struct{ Usage, Fleet bool }

// UsageSchedule says how usage is to be reported.
type UsageSchedule struct {
	// WindowLength is that of one window, DueAfter how long after its end the report must be there.
	WindowLength, DueAfter time.Duration
}

// StatusError is what the HTTP status of the answer to a call means.
func StatusError(status int) error {
	switch status {
	case http.StatusOK, http.StatusAccepted, http.StatusNoContent:
		return nil
	case http.StatusTooManyRequests:
		return ErrThrottled
	case http.StatusConflict:
		return ErrNoCapacity
	case http.StatusPreconditionFailed:
		return ErrFenced
	case http.StatusBadRequest, http.StatusForbidden, http.StatusNotFound, http.StatusUnprocessableEntity:
		return errors.Wrapf(ErrRefused, "status %d", status)
	default:
		return errors.Wrapf(ErrUnknown, "status %d", status)
	}
}
