package standalone

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"woodworks/internal/replicas/engine"
	"woodworks/internal/replicas/replica"
	"woodworks/internal/requests/upstream"
)

// maxEngineAnswerBytes bounds an engine's answer.
const maxEngineAnswerBytes = 1 << 20

// engines speaks the product's engine protocol over the pool's connections.
type engines struct{ pool *upstream.Pool }

var _ engine.Driver = engines{}

var manners = map[engine.UpdateMode]string{engine.FinishRunning: MannerFinish, engine.ContinueRunning: MannerContinue, engine.AbortRunning: MannerReset}

func (e engines) Report(ctx context.Context, target replica.Replica) (engine.Report, error) {
	status, body, err := e.call(ctx, target, http.MethodGet, StatePath, nil)
	if err != nil || status != http.StatusOK {
		return engine.Report{}, errors.Wrapf(engine.ErrUnknown, "state: status %d: %v", status, err)
	}
	var state EngineState
	if err := json.Unmarshal(body, &state); err != nil {
		return engine.Report{}, errors.Wrap(engine.ErrUnknown, err.Error())
	}
	return engine.Report{Busy: state.Busy, Orders: state.Orders, Versions: state.Versions, Waiting: state.Waiting, Running: state.Running}, nil
}

func (e engines) SubmitOrder(ctx context.Context, target replica.Replica, order engine.Order) error {
	body, err := json.Marshal(EngineOrder{
		Model: order.Model, Version: order.Version, Manner: manners[order.Mode],
		Holder: order.Holder, Fence: order.Fence, AfterOrders: order.AfterOrders,
	})
	if err != nil {
		return errors.Wrap(engine.ErrRefused, err.Error())
	}
	status, text, err := e.call(ctx, target, http.MethodPost, OrderPath, body)
	if err != nil {
		return errors.Wrap(engine.ErrUnknown, err.Error())
	}
	return engine.ErrorForStatus(status, text)
}

func (e engines) call(ctx context.Context, target replica.Replica, method, path string, body []byte) (int, []byte, error) {
	header := http.Header{HeaderNames().ExpectReplica: {target.ID}}
	if body != nil {
		header.Set("Content-Type", "application/json")
	}
	reads := method == http.MethodGet
	sharing := upstream.SharedAfterReads
	if reads {
		sharing = upstream.SharedByReads
	}
	answer, err := e.pool.Exchange(ctx, target.Address,
		&upstream.Request{Method: method, Target: path, Host: target.Address.String(), Header: header, Body: body, Sharing: sharing})
	if err != nil {
		return 0, nil, err
	}
	defer answer.Close()
	content, err := answer.ReadWhole(maxEngineAnswerBytes)
	if err == nil && isEngineState(content) != reads {
		answer.Abort() // It may be the answer to an earlier call, sent once more.
		return 0, nil, errors.Errorf("unexpected answer with status %d", answer.Status)
	}
	return answer.Status, content, err
}

// isEngineState tells an engine's state from its answer to an order. Their requests have no ids and
// use the same connections.
func isEngineState(body []byte) bool {
	var fields struct{ Busy, Orders json.RawMessage }
	return json.Unmarshal(body, &fields) == nil && fields.Busy != nil && fields.Orders != nil
}
