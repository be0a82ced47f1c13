package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/periodic"
	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/route"
)

const (
	// rewardDeadline bounds one try of a reward call.
	rewardDeadline = 2 * time.Second
	rewardPause    = 50 * time.Millisecond
	longRewardWait = time.Second
	// rewardShare is the part of a service's slots that reward calls may fill:
	// they come in bursts, and clients' requests must find room beside them.
	rewardShare = 0.6
	roomPause   = 8 * time.Millisecond
)

// errRewardFails: the reward call's replica said at every attempt that it failed.
var errRewardFails = errors.New("runner: reward call fails at every attempt")

// reward sends an item's reward call until it has a signature, or its service
// has failed as often as its route allows.
func (j *job) reward(it *item) (string, error) {
	pause := rewardPause
	for {
		if err := j.ctx.Err(); err != nil {
			return "", err
		}
		configuration := j.r.operator.Configuration()
		rewardRoute, ok := configuration.Find(it.Reward.Host, it.Reward.Path)
		if ok && !j.r.rewardRoom(rewardRoute) {
			periodic.Pause(j.ctx, roomPause)
			continue
		}
		if ok {
			score, done, err := j.rewardOnce(it, rewardRoute)
			if done {
				return score, err
			}
		} else {
			j.logger.Info("reward call has no route", zap.String("item", it.ID), zap.Int64("configuration", configuration.Version))
		}
		select {
		case <-j.ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, longRewardWait)
	}
}

// rewardRoom reports whether a reward call may go to a service now.
func (r *Runner) rewardRoom(rt *route.Route) bool {
	slots, inFlight := 0, 0
	for _, rep := range r.table.Replicas(rt.Shares[0].Service) {
		slots += max(rep.Slots, 1)
		inFlight += rep.InFlight
	}
	return float64(inFlight) < max(rewardShare*float64(slots), 1)
}

// rewardOnce makes one attempt at the reward call.
func (j *job) rewardOnce(it *item, rt *route.Route) (score string, done bool, err error) {
	timeout := rewardDeadline
	if rt.Timeout > 0 {
		timeout = min(timeout, rt.Timeout)
	}
	ctx, cancel := context.WithTimeout(j.ctx, timeout)
	defer cancel()
	forwarder := j.r.forwarder
	header := http.Header{http.CanonicalHeaderKey(forwarder.Names.RequestID): {it.Reward.ID}}
	answer, err := forwarder.Do(ctx, &forward.Call{
		RequestID: it.Reward.ID, Method: http.MethodPost, Target: it.Reward.Path, Host: it.Reward.Host,
		Header: header, Body: it.Reward.Body, Services: rt.Order(it.Reward.ID), Repeatable: true, MaxAttempts: 1,
	})
	if err != nil {
		j.logger.Info("reward call failed", zap.String("item", it.ID), zap.String("reward", it.Reward.ID), zap.Error(err))
		return "", false, nil
	}
	defer answer.Close()
	if answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices {
		return answer.Header.Get(forwarder.Names.Stamp), true, nil
	}
	if answer.Status == http.StatusInternalServerError {
		it.rewardFailures++
		if it.rewardFailures >= max(rt.MaxAttempts, 1) {
			return "", true, errRewardFails
		}
	}
	return "", false, nil
}
