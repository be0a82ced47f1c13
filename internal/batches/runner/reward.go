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
	// rewardTimeout bounds one attempt at a reward call; a shorter timeout of its route applies
	// instead.
	rewardTimeout = 2 * time.Second
	// rewardBackoff is the delay before the second attempt at a reward call. It doubles with each
	// attempt up to maxRewardBackoff.
	rewardBackoff    = 50 * time.Millisecond
	maxRewardBackoff = time.Second
	// rewardSlotFraction is the fraction of a service's slots that reward calls may fill: they come
	// in bursts and must leave room for requests of clients. rewardRoomDelay is the delay before
	// room is checked again, and maxRewardRoomWait how long a call waits for room: clients may fill a
	// service for good.
	rewardSlotFraction = 0.6
	rewardRoomDelay    = 8 * time.Millisecond
	maxRewardRoomWait  = 2 * time.Second
)

// errRewardFailed says that replicas reported a failure of the reward call at every attempt that
// its route allows.
var errRewardFailed = errors.New("runner: reward call failed at every attempt")

// score sends the reward call of a completed text, if the item has one, and queues the result.
func (j *job) score(it *item) {
	result, ok := j.beginScoring(it)
	if !ok {
		return
	}
	j.r.WakeDispatcher()
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
	if it.state == itemResultPending {
		j.finishItem(it, result, reason)
	}
}

// beginScoring marks a running item as complete and returns its result without a score. It returns
// false if the item does not run any more.
func (j *job) beginScoring(it *item) (result batch.Result, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if it.state != itemRunning {
		return result, false
	}
	it.state = itemResultPending
	it.timing.enter(phaseScoring, time.Now())
	j.placement.lengths.Observe(it.expectedTokens, len(it.events))
	return batch.Result{
		Item:     it.index,
		Outcome:  batch.Done,
		Text:     bytes.Join(it.events, []byte("\n")),
		Versions: slices.Clone(it.versions),
	}, true
}

// reward sends an item's reward call until it succeeds and returns the score. The error is
// errRewardFailed if replicas reported as many failures as the call's route allows, or the error
// of the job's context.
func (j *job) reward(it *item) (string, error) {
	backoff, waitUntil := rewardBackoff, time.Now().Add(maxRewardRoomWait)
	for j.ctx.Err() == nil {
		configuration := j.r.operator.Configuration()
		rewardRoute, ok := configuration.Find(it.Reward.Host, it.Reward.Path)
		switch {
		case !ok:
			j.logger.Info("reward call has no route", zap.String("item", it.ID),
				zap.Int64("configuration", configuration.Version))
		case time.Now().Before(waitUntil) && !j.r.hasRewardRoom(rewardRoute):
			periodic.Pause(j.ctx, rewardRoomDelay)
			continue
		default:
			if score, done, err := j.attemptReward(it, rewardRoute); done {
				return score, err
			}
		}
		periodic.Pause(j.ctx, backoff)
		backoff, waitUntil = min(2*backoff, maxRewardBackoff), time.Now().Add(maxRewardRoomWait)
	}
	return "", j.ctx.Err()
}

// hasRewardRoom reports whether a reward call may be sent to the route's service now.
func (r *Runner) hasRewardRoom(rt *route.Route) bool {
	slots, inFlight := 0, 0
	for _, rep := range r.table.Replicas(rt.Shares[0].Service) {
		slots += max(rep.Slots, 1)
		inFlight += rep.InFlight
	}
	return float64(inFlight) < max(rewardSlotFraction*float64(slots), 1)
}

// attemptReward makes one attempt at the reward call. If done is true, no further attempt follows,
// and score and err are the outcome of the call.
func (j *job) attemptReward(it *item, rt *route.Route) (score string, done bool, err error) {
	timeout := rewardTimeout
	if rt.Timeout > 0 {
		timeout = min(timeout, rt.Timeout)
	}
	ctx, cancel := context.WithTimeout(j.ctx, timeout)
	defer cancel()
	call := j.newRewardCall(it, rt)
	answer, err := j.r.forwarder.Do(ctx, call)
	if err != nil {
		j.recordSuspicion(it, call.Content())
		j.logger.Info("reward call failed", zap.String("item", it.ID), zap.String("reward", it.Reward.ID),
			zap.Error(err))
		return "", false, nil
	}
	defer answer.Close()
	if answer.Remainder != nil {
		// A score counts only with its whole answer, and none is that long.
		j.logger.Info("reward call failed", zap.String("item", it.ID), zap.String("reward", it.Reward.ID),
			zap.Int("status", answer.Status), zap.String("reason", "answer too long"))
		return "", false, nil
	}
	if answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices {
		return answer.Header.Get(j.r.forwarder.Names.Signature), true, nil
	}
	if answer.Status == http.StatusInternalServerError {
		if exhausted(j.countRewardFailure(it), rt.MaxAttempts) {
			return "", true, errRewardFailed
		}
		j.recordFailures(it)
	}
	return "", false, nil
}

// countRewardFailure counts a failure of an item's reward call and returns the number so far.
func (j *job) countRewardFailure(it *item) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	it.failures.Reward++
	return it.failures.Reward
}

// newRewardCall returns an item's reward call, for one attempt.
func (j *job) newRewardCall(it *item, rt *route.Route) *forward.Call {
	return &forward.Call{
		Request: forward.Request{
			RequestID: it.Reward.ID,
			Method:    http.MethodPost,
			Target:    it.Reward.Path,
			Host:      it.Reward.Host,
			Header:    http.Header{http.CanonicalHeaderKey(j.r.forwarder.Names.RequestID): {it.Reward.ID}},
			Body:      it.Reward.Body,
			Owed:      true,
		},
		Services:    rt.ServiceOrder(it.Reward.ID),
		Repeatable:  true,
		MaxAttempts: 1,
	}
}
