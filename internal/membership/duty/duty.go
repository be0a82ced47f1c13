// Package duty defines the calls that a platform expects from the system as a whole: usage
// reports and fleet orders. One daemon at a time makes them, under its lease.
//
// # Usage
//
//	fence, left, ok := held.Fence()
//	err := driver.ReportUsage(ctx, duty.Authority{Holder: name, Fence: fence}, report)
//
// A driver only translates calls to the platform's protocol. Its caller must hold the lease, keep
// the order of calls and repeat those that failed.
package duty

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Errors of a call. After any other error the call may have had its effect or not.
var (
	// ErrUnknown means that the call got no usable answer. It may have had its effect.
	ErrUnknown = errors.New("duty: outcome unknown")
	// ErrThrottled means that the platform limits the rate of calls. The call had no effect.
	ErrThrottled = errors.New("duty: throttled")
	// ErrNoCapacity means that the platform has no such replicas at present.
	ErrNoCapacity = errors.New("duty: no such replicas available")
	// ErrFenced means that the platform has seen a higher fence.
	ErrFenced = errors.New("duty: fenced off")
	// ErrRefused means that the platform doesn't accept the call.
	ErrRefused = errors.New("duty: refused")
)

// Authority names the lease under which a call is made. The platform refuses calls with a lower
// fence than the highest that it has seen.
type Authority struct {
	Holder string
	Fence  int64
}

// Usage holds, for one usage window, how many requests of each tenant started to run in it.
type Usage struct {
	// Window is the number of the window, counted in window lengths since the Unix epoch.
	Window int64
	// Requests maps each tenant to the number of its requests that started to run in the window.
	Requests map[string]int64
}

// FleetOrder sets the number of replicas of one service in one zone.
type FleetOrder struct {
	Service string
	Zone    string
	// Desired is the total number of replicas, not a change of it.
	Desired int
	// Spot asks for cheaper replicas. The platform may take away all those of a zone at once.
	Spot bool
}

// Driver makes the calls to a platform. Where an error of this package applies, the result wraps it.
type Driver interface {
	// Duties returns which calls the platform expects.
	Duties() Duties
	// ReportUsage reports the usage of one window.
	ReportUsage(ctx context.Context, authority Authority, usage Usage) error
	// OrderFleet orders the number of replicas of one service in one zone.
	OrderFleet(ctx context.Context, authority Authority, order FleetOrder) error
}

// Duties states for each kind of call whether the platform expects it.
type Duties struct{ Usage, Fleet bool }

// UsageSchedule states when usage must be reported.
type UsageSchedule struct {
	// WindowLength is the length of a usage window. The report of a window must arrive within
	// DueAfter from its end.
	WindowLength, DueAfter time.Duration
}

// ErrorForStatus returns the error for the HTTP status of the answer to a call, nil if the call
// succeeded.
func ErrorForStatus(status int) error {
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
