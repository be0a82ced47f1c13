package runner

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/route"
)

const (
	// rewardTimeout bounds one try of a reward call, where its route allows no less.
	rewardTimeout = 2 * time.Second
	// rewardPause is the time before the second try of a reward call; it doubles with each
	// further one, up to maxRewardPause.
	rewardPause    = 50 * time.Millisecond
	maxRewardPause = time.Second
	// rewardSlots is the part of a service's slots that reward calls may fill: they come in
	// bursts, and clients' requests must find room beside them. rewardRoomPause is the time
	// between two looks for room.
	rewardSlots     = 0.6
	rewardRoomPause = 8 * time.Millisecond
)

// errRewardFails: the reward call's replica said at every attempt that it failed.
var errRewardFails = errors.New("runner: reward call fails at every attempt")

// score has a whole text scored and hands it to be listed.
func (j *job) score(it *item) {
	result, ok := j.beginScoring(it)
	if !ok {
		return
	}
	j.r.Kick()
	reason := ""
	if it.Reward != nil {
		score, err := j.reward(it)
		if j.ctx.Err() != nil {
			return
		}
		if err != nil {
			result, reason = batch.Result{Item: it.index, Outcome: batch.Dead}, err.Error()
		}
		result.Score = score
	}
	slices.Sort(result.Versions)
	j.mu.Lock()
	defer j.mu.Unlock()
	if it.state == itemEnding {
		j.finish(it, result, reason)
	}
}

// beginScoring ends the text of a running item and returns its result without a score, and false
// if the item does not run any more.
func (j *job) beginScoring(it *item) (result batch.Result, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if it.state != itemRunning {
		return result, false
	}
	it.state = itemEnding
	it.timing.enter(phaseScoring, time.Now())
	j.placement.lengths.Observe(it.expectedTokens, len(it.events))
	return batch.Result{
		Item:     it.index,
		Outcome:  batch.Done,
		Text:     bytes.Join(it.events, []byte("\n")),
		Versions: slices.Clone(it.versions),
	}, true
}

// reward sends an item's reward call until it has a signature, or its service
// has failed as often as its route allows.
func (j *job) reward(it *item) (string, error) {
	pause := rewardPause
	for j.ctx.Err() == nil {
		configuration := j.r.operator.Configuration()
		rewardRoute, ok := configuration.Find(it.Reward.Host, it.Reward.Path)
		switch {
		case !ok:
			j.logger.Info("reward call has no route", zap.String("item", it.ID),
				zap.Int64("configuration", configuration.Version))
		case !j.r.rewardRoom(rewardRoute):
			periodic.Pause(j.ctx, rewardRoomPause)
			continue
		default:
			if score, done, err := j.rewardOnce(it, rewardRoute); done {
				return score, err
			}
		}
		periodic.Pause(j.ctx, pause)
		pause = min(2*pause, maxRewardPause)
	}
	return "", j.ctx.Err()
}

// rewardRoom reports whether a reward call may go to a service now.
func (r *Runner) rewardRoom(rt *route.Route) bool {
	slots, inFlight := 0, 0
	for _, rep := range r.table.Replicas(rt.Shares[0].Service) {
		slots += max(rep.Slots, 1)
		inFlight += rep.InFlight
	}
	return float64(inFlight) < max(rewardSlots*float64(slots), 1)
}

// rewardOnce makes one attempt at the reward call.
func (j *job) rewardOnce(it *item, rt *route.Route) (score string, done bool, err error) {
	timeout := rewardTimeout
	if rt.Timeout > 0 {
		timeout = min(timeout, rt.Timeout)
	}
	ctx, cancel := context.WithTimeout(j.ctx, timeout)
	defer cancel()
	answer, err := j.r.forwarder.Do(ctx, j.rewardCall(it, rt))
	if err != nil {
		j.logger.Info("reward call failed", zap.String("item", it.ID), zap.String("reward", it.Reward.ID),
			zap.Error(err))
		return "", false, nil
	}
	defer answer.Close()
	if answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices {
		return answer.Header.Get(j.r.forwarder.Names.Stamp), true, nil
	}
	if answer.Status == http.StatusInternalServerError {
		it.rewardFailures++
		if exhausted(it.rewardFailures, rt.MaxAttempts) {
			return "", true, errRewardFails
		}
	}
	return "", false, nil
}

// rewardCall is the reward call of an item, to be attempted once.
func (j *job) rewardCall(it *item, rt *route.Route) *forward.Call {
	return &forward.Call{
		Request: forward.Request{
			RequestID: it.Reward.ID,
			Method:    http.MethodPost,
			Target:    it.Reward.Path,
			Host:      it.Reward.Host,
			Header:    http.Header{http.CanonicalHeaderKey(j.r.forwarder.Names.RequestID): {it.Reward.ID}},
			Body:      it.Reward.Body,
		},
		Services:    rt.ServiceOrder(it.Reward.ID),
		Repeatable:  true,
		MaxAttempts: 1,
	}
}
