package standalone

import (
	"woodworks/internal/api/gateway"
	"woodworks/internal/requests/headers"
)

// HeaderNames are the product's own names for what a message tells of a request.
func HeaderNames() headers.Names {
	return headers.Names{
		RequestID:      "Woodworks-Request-Id",
		DeadlineMs:     "Woodworks-Deadline-Ms",
		ExpectReplica:  "Woodworks-Expect-Replica",
		NotExecuted:    "Woodworks-Not-Executed",
		Signature:      "Woodworks-Signature",
		LastEventID:    "Last-Event-Id",
		WeightsVersion: "Woodworks-Weight-Version",
		TokenUsage:     "Woodworks-Token-Usage",
		LengthHint:     "Woodworks-Length-Hint",
		WaitMs:         "Woodworks-Wait-Ms",
		Quarantined:    gateway.QuarantinedHeader,
	}
}

// Paths of the engine protocol.
const (
	StatePath = "/state"
	OrderPath = "/order"
)

// EngineState is an engine's answer about itself, as of a moment ago.
type EngineState struct {
	Busy     bool             `json:"busy"`
	Orders   int64            `json:"orders"`
	Versions map[string]int64 `json:"versions"`
	Waiting  int              `json:"waiting"`
	Running  int              `json:"running"`
}

// EngineOrder asks an engine to serve another version of a model.
type EngineOrder struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	// Manner is finish, continue or reset.
	Manner string `json:"manner"`
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
	// AfterOrders is how many orders the engine must have taken before.
	AfterOrders int64 `json:"after_orders"`
}

// Manners of an order.
const (
	MannerFinish   = "finish"
	MannerContinue = "continue"
	MannerReset    = "reset"
)
