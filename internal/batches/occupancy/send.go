package occupancy

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/membership/identity"
)

// sendReports sends a report to all that are due, and returns how many bytes that takes. The mutex
// is held.
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
			p.logger.Error("report not encoded", zap.Error(err))
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

// deltaFrom returns a report as it is sent to one who has an earlier one.
func deltaFrom(before, own Report) Report {
	if before.Number == 0 {
		return own
	}
	if diff := diffCounts(before.Counts, own.Counts); len(diff) < len(own.Counts) || len(own.Counts) == 0 {
		own.Counts, own.BaseNumber = diff, before.Number
	}
	return own
}

// dueMeasurements returns the event times that have changed or were not sent for a while. The mutex is
// held.
func (p *Publisher) dueMeasurements(measured []Measurement, now time.Time) (due []Measurement) {
	for _, m := range measured {
		before, ok := p.sentEventTimes[m.Replica]
		difference := max(m.EventTime, before.eventTime) - min(m.EventTime, before.eventTime)
		small := float64(difference) < minEventTimeChangeFraction*float64(before.eventTime)
		if ok && small && now.Sub(before.at) < eventTimeRepeatInterval {
			continue
		}
		p.sentEventTimes[m.Replica] = sentEventTime{eventTime: m.EventTime, at: now}
		due = append(due, m)
	}
	return due
}

// sendTo makes one call. State is what the machine knows after it.
func (p *Publisher) sendTo(ctx context.Context, machine string, to *recipient, state Report, msg Message) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply Heard
	err := p.peers.Ask(bounded, machine, tellMethod, msg, &reply)
	p.mu.Lock()
	defer p.mu.Unlock()
	to.sending, to.isOwner, to.acknowledged = false, false, Report{}
	if err != nil {
		// An answer may still be written to reply.
		p.stats.Failed++
		p.logger.Debug("report not sent", zap.String("to", machine), zap.Error(err)) // up to 40 calls a second
		return
	}
	to.isOwner = reply.Owner
	if !reply.Whole {
		to.acknowledged = state
	}
}

// fetchSnapshot asks an owner for all that it knows: one that reported, or else any that may be
// one.
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
		p.logger.Info("occupancy asked for", zap.String("from", machine), zap.Int("reports", len(o.Reports)),
			zap.Int("adopted", reports), zap.Int("event_times", len(o.Measurements)), zap.Error(err))
		if len(o.Reports) > 0 {
			return
		}
	}
}

func (p *Publisher) requestSnapshot(ctx context.Context, machine string) (o Snapshot, err error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer Message
	if err := p.peers.Ask(bounded, machine, askMethod, struct{}{}, &answer); err != nil {
		return o, errors.Wrap(err, "occupancy: ask")
	}
	return o, decode(answer, &o)
}
