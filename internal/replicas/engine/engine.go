// Package engine defines the operations of a model engine that woodworks uses besides requests:
// reading its state and changing the weights it serves.
//
// It has no state. A platform implements Driver; package modelsync calls it under a lease, whose
// fence the engines check.
//
// # Usage
//
//	report, err := driver.Report(ctx, rep)
//	err = driver.SubmitOrder(ctx, rep, engine.Order{Model: "m", Version: 7, Mode: engine.ContinueRunning,
//		Holder: name, Fence: fence, AfterOrders: report.Orders})
package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/replicas/replica"
)

// Errors of a Driver, to be tested with errors.Is.
var (
	// ErrConflict means that another order is being carried out, or that the engine has accepted
	// orders since the report that the order is based on.
	ErrConflict = errors.New("engine: order conflicts")
	// ErrFenced means that the engine has seen a higher fence.
	ErrFenced = errors.New("engine: order fenced off")
	// ErrRefused means that the engine does not support the order, or that the address now
	// belongs to another engine.
	ErrRefused = errors.New("engine: order refused")
	// ErrUnknown means that no answer shows the outcome. The order may still be carried out
	// later.
	ErrUnknown = errors.New("engine: outcome of order unknown")
)

// ErrorForStatus returns the error for the HTTP status and body of the answer to an order, nil
// if the order was accepted. All engine protocols use the same statuses.
func ErrorForStatus(status int, text []byte) error {
	switch status {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusConflict:
		return errors.Wrap(ErrConflict, string(text))
	case http.StatusPreconditionFailed:
		return errors.Wrap(ErrFenced, string(text))
	case http.StatusBadRequest, http.StatusMisdirectedRequest:
		return errors.Wrapf(ErrRefused, "status %d: %s", status, text)
	default:
		return errors.Wrapf(ErrUnknown, "status %d", status)
	}
}

// UpdateMode is what happens to running requests when the weights change.
type UpdateMode int

// The update modes.
const (
	// FinishRunning waits for running requests to end before the weights change.
	FinishRunning UpdateMode = iota + 1
	// ContinueRunning continues running requests with the new weights.
	ContinueRunning
	// AbortRunning aborts running requests.
	AbortRunning
)

// Report is the recent state of an engine.
type Report struct {
	// StartedAt is when the engine's process started, zero if unknown. Orders and Versions are
	// those of this incarnation.
	StartedAt time.Time
	// Busy reports whether an order is being carried out.
	Busy bool
	// Orders is the number of orders accepted since the process started.
	Orders int64
	// Versions are the versions of the weights that the engine holds, by model.
	Versions map[string]int64
	// Waiting and Running are numbers of requests.
	Waiting int
	Running int
}

// Order asks an engine to serve another version of a model.
type Order struct {
	Model   string
	Version int64
	Mode    UpdateMode
	// Holder and Fence are those of the lease under which the order is made.
	Holder string
	Fence  int64
	// AfterOrders is the Report.Orders that the order is based on. The engine rejects the order
	// if it has accepted others since.
	AfterOrders int64
}

// Driver talks to engines in the protocol of a platform. An implementation only translates: it
// neither retries nor keeps state.
type Driver interface {
	// Report returns the state of the engine, or an error that wraps ErrUnknown.
	Report(ctx context.Context, target replica.Replica) (Report, error)
	// SubmitOrder sends an order to the engine. It returns nil if the order has been accepted or
	// is already in effect, and otherwise an error that wraps ErrConflict, ErrFenced, ErrRefused
	// or ErrUnknown.
	SubmitOrder(ctx context.Context, target replica.Replica, order Order) error
}
