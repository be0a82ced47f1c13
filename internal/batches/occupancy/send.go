package occupancy

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/membership/identity"
)

// sendReports sends a report to all machines that are due, without waiting for replies, and
// returns the number of bytes of the calls. The mutex is held.
func (p *Publisher) sendReports(ctx context.Context, own Report, now time.Time) (bytes int) {
	due := p.dueMachines(now, own.isEmpty())
	if len(due) == 0 {
		return 0
	}
	p.number++
	p.stamp(&own)
	introduction := own
	introduction.Counts, introduction.Demands, introduction.IsIntroduction = nil, nil, true
	introduction.truncate()
	own.Measurements = p.dueMeasurements(own.Measurements, now)
	own.truncate()
	for machine, owner := range due {
		to := p.recipients[machine]
		report, state := deltaFrom(to.acknowledged, own), own
		if !owner {
			report, state = introduction, Report{}
		}
		msg, err := encode(report)
		if err != nil {
			p.logger.Error("failed to encode report", zap.Error(err))
			return bytes
		}
		to.sending, to.sentAt = true, now
		bytes += len(msg.Body) + callOverheadBytes
		go p.sendTo(ctx, machine, to, state, msg)
	}
	p.stats.Sent += uint64(len(due))
	p.stats.Bytes += uint64(bytes)
	return bytes
}

// deltaFrom returns own as a delta to the acknowledged report before if the delta has fewer
// entries or own has none, else own as it is.
func deltaFrom(before, own Report) Report {
	if before.Number == 0 {
		return own
	}
	if delta := diffCounts(before.Counts, own.Counts); len(delta) < len(own.Counts) || len(own.Counts) == 0 {
		own.Counts, own.BaseNumber = delta, before.Number
	}
	return own
}

// dueMeasurements returns the event times that have changed or are due for repetition, and
// records them as sent. The mutex is held.
func (p *Publisher) dueMeasurements(measured []Measurement, now time.Time) (due []Measurement) {
	for _, m := range measured {
		before, ok := p.sentEventTimes[m.Replica]
		difference := max(m.EventTime, before.eventTime) - min(m.EventTime, before.eventTime)
		unchanged := float64(difference) < minEventTimeChangeFraction*float64(before.eventTime)
		if ok && unchanged && now.Sub(before.at) < eventTimeRepeatInterval {
			continue
		}
		p.sentEventTimes[m.Replica] = sentEventTime{eventTime: m.EventTime, at: now}
		due = append(due, m)
	}
	return due
}

// sendTo sends a message to a machine and updates the state of the recipient. state is the base
// for the next delta if the machine accepts the message.
func (p *Publisher) sendTo(ctx context.Context, machine string, to *recipient, state Report, msg Message) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply Heard
	err := p.peers.Ask(bounded, machine, tellMethod, msg, &reply)
	p.mu.Lock()
	defer p.mu.Unlock()
	to.sending, to.isOwner, to.acknowledged = false, false, Report{}
	if err != nil {
		// net/rpc may still write to reply, so it is not read.
		p.stats.Failed++
		p.logger.Debug("failed to send report", zap.String("to", machine), zap.Error(err)) // frequent
		return
	}
	to.isOwner = reply.Owner
	if !reply.Whole {
		to.acknowledged = state
	}
}

// fetchSnapshot requests a snapshot from known owners first, then from other candidates, until
// one returns reports or maxSnapshotCalls were made.
func (p *Publisher) fetchSnapshot(ctx context.Context) {
	asked := map[string]bool{identity.Machine(p.table.self): true}
	for _, machine := range append(p.table.Owners(), p.candidateMachines(ctx)...) {
		if asked[machine] {
			continue
		}
		if len(asked) > maxSnapshotCalls {
			return
		}
		asked[machine] = true
		o, err := p.requestSnapshot(ctx, machine)
		reports := p.table.Adopt(o)
		p.logger.Info("occupancy snapshot requested", zap.String("from", machine), zap.Int("reports", len(o.Reports)),
			zap.Int("adopted", reports), zap.Int("event_times", len(o.Measurements)), zap.Error(err))
		if len(o.Reports) > 0 {
			return
		}
	}
}

// requestSnapshot requests a snapshot from one machine.
func (p *Publisher) requestSnapshot(ctx context.Context, machine string) (o Snapshot, err error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply Message
	if err := p.peers.Ask(bounded, machine, askMethod, struct{}{}, &reply); err != nil {
		return o, errors.Wrap(err, "occupancy: ask")
	}
	return o, decode(reply, &o)
}
