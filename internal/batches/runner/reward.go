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
func (job *job) reward(each *item) (string, error) {
	pause := rewardPause
	for {
		if err := job.context.Err(); err != nil {
			return "", err
		}
		configuration := job.runner.operator.Configuration()
		rewardRoute, ok := configuration.Find(each.Reward.Host, each.Reward.Path)
		if ok && !job.runner.rewardRoom(rewardRoute) {
			periodic.Pause(job.context, roomPause)
			continue
		}
		if ok {
			score, done, err := job.rewardOnce(each, rewardRoute)
			if done {
				return score, err
			}
		} else {
			job.logger.Info("reward call has no route", zap.String("item", each.ID), zap.Int64("configuration", configuration.Version))
		}
		select {
		case <-job.context.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, longRewardWait)
	}
}

// rewardRoom reports whether a reward call may go to a service now.
func (runner *Runner) rewardRoom(found *route.Route) bool {
	slots, inFlight := 0, 0
	for _, each := range runner.table.Replicas(found.Shares[0].Service) {
		slots += max(each.Slots, 1)
		inFlight += each.InFlight
	}
	return float64(inFlight) < max(rewardShare*float64(slots), 1)
}

// rewardOnce makes one attempt at the reward call.
func (job *job) rewardOnce(each *item, found *route.Route) (score string, done bool, err error) {
	timeout := rewardDeadline
	if found.Timeout > 0 {
		timeout = min(timeout, found.Timeout)
	}
	ctx, cancel := context.WithTimeout(job.context, timeout)
	defer cancel()
	forwarder := job.runner.forwarder
	header := http.Header{http.CanonicalHeaderKey(forwarder.Names.RequestID): {each.Reward.ID}}
	answer, err := forwarder.Do(ctx, &forward.Call{
		RequestID: each.Reward.ID, Method: http.MethodPost, Target: each.Reward.Path, Host: each.Reward.Host,
		Header: header, Body: each.Reward.Body, Services: found.Order(each.Reward.ID), Repeatable: true, MaxAttempts: 1,
	})
	if err != nil {
		job.logger.Info("reward call failed", zap.String("item", each.ID), zap.String("reward", each.Reward.ID), zap.Error(err))
		return "", false, nil
	}
	defer answer.Close()
	if answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices {
		return answer.Header.Get(forwarder.Names.Stamp), true, nil
	}
	if answer.Status == http.StatusInternalServerError {
		each.rewardFailures++
		if each.rewardFailures >= max(found.MaxAttempts, 1) {
			return "", true, errRewardFails
		}
	}
	return "", false, nil
}
