// Package engine names what woodworks asks of a model engine besides running
// requests: its state, and orders to change the weights it serves.
//
// It owns no state. A platform implements Driver; package modelsync calls it in the name of
// the lease, whose fence the engines check.
//
// # Usage
//
//	report, err := driver.Report(ctx, rep)
//	err = driver.Give(ctx, rep, engine.Order{Model: "m", Version: 7, Manner: engine.Continue,
//		Holder: name, Fence: fence, AfterOrders: report.Orders})
package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/replicas/replica"
)

// Errors of an order.
var (
	// ErrConflict: another order is under way, or the engine has taken orders
	// since the state that the order was based on.
	ErrConflict = errors.New("engine: order conflicts")
	// ErrFenced: the engine has seen a higher fence.
	ErrFenced = errors.New("engine: order fenced off")
	// ErrRefused: the engine does not take such an order, or is another one.
	ErrRefused = errors.New("engine: order refused")
	// ErrUnknown: the order got no answer; it may be carried out later.
	ErrUnknown = errors.New("engine: outcome of order unknown")
)

// ErrorForStatus is what the HTTP status of the answer to an order means, with the
// answer's text. Both engine protocols that are spoken use the same statuses.
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

// UpdateMode says what becomes of the requests that run when weights change.
type UpdateMode int

// Manners of a change of weights.
const (
	// FinishRunning lets running requests end first.
	FinishRunning UpdateMode = iota + 1
	// ContinueRunning lets them go on under the new weights.
	ContinueRunning
	// AbortRunning cuts them off.
	AbortRunning
)

// Report is an engine's state, as of a moment ago.
type Report struct {
	// StartedAt is when the engine's process started, zero if it does not tell. Orders and
	// Versions are those of that start.
	StartedAt time.Time
	// Busy says that an order is being carried out.
	Busy bool
	// Orders counts the orders taken since the engine's start.
	Orders   int64
	Versions map[string]int64
	Waiting  int
	Running  int
}

// Order asks an engine to serve another version of a model.
type Order struct {
	Model   string
	Version int64
	Mode    UpdateMode
	// Holder and Fence name the lease under which the order is given.
	Holder string
	Fence  int64
	// AfterOrders is how many orders the engine must have taken before.
	AfterOrders int64
}

// Driver speaks to engines. Implementations translate and do no more.
type Driver interface {
	Report(ctx context.Context, target replica.Replica) (Report, error)
	// SubmitOrder hands an order over. Nil means that it is under way or already in
	// effect.
	SubmitOrder(ctx context.Context, target replica.Replica, order Order) error
}
