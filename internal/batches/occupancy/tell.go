package occupancy

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/membership/identity"
)

// tell sends a report to all that are due, and returns how many bytes that takes. The mutex
// is held.
func (p *Publisher) tell(ctx context.Context, own Report, now time.Time) (bytes int) {
	due := p.due(now, own.over())
	if len(due) == 0 {
		return 0
	}
	p.number++
	own.Run, own.Number, own.Sent = p.table.run, p.number, p.table.now().UnixMilli()
	introduction := Report{Run: own.Run, Number: own.Number, Sent: own.Sent, Paces: own.Paces, Introduces: true}
	introduction.bounded()
	own.Paces = p.pacesDue(own.Paces, now)
	own.bounded()
	for machine, owner := range due {
		to := p.recipients[machine]
		report, heard := basedOn(to.heard, own), own
		if !owner {
			report, heard = introduction, Report{}
		}
		message, err := encode(report)
		if err != nil {
			p.logger.Error("requests not told", zap.Error(err))
			return bytes
		}
		to.telling, to.toldAt = true, now
		bytes += len(message.Body) + callBytes
		go p.tellOne(ctx, machine, to, heard, message)
	}
	p.totals.Sent += uint64(len(due))
	p.totals.Bytes += uint64(bytes)
	return bytes
}

// basedOn returns a report as it is told to one who has an earlier one.
func basedOn(heard, own Report) Report {
	if heard.Number == 0 {
		return own
	}
	if differing := changes(heard.Counts, own.Counts); len(differing) < len(own.Counts) || len(own.Counts) == 0 {
		own.Counts, own.Base = differing, heard.Number
	}
	return own
}

// due returns the machines to tell now, and whether they are owners: these always, others that
// may become ones now and then. One that has not answered yet is passed over. The mutex is held.
func (p *Publisher) due(now time.Time, last bool) map[string]bool {
	own := identity.Machine(p.table.run)
	owners := map[string]bool{}
	for _, machine := range p.machines {
		owners[machine] = false
	}
	for machine, to := range p.recipients {
		if to.owner {
			owners[machine] = true
		}
	}
	for _, machine := range p.table.Reporters() {
		owners[machine] = true
	}
	due := map[string]bool{}
	for machine, owner := range owners {
		if machine == own {
			continue
		}
		to := p.recipients[machine]
		if to == nil {
			to = &recipient{}
			p.recipients[machine] = to
		}
		introduce := !last && now.Sub(to.toldAt) >= introduceInterval
		if !to.telling && (owner || introduce) {
			due[machine] = owner
		}
	}
	return due
}

// pacesDue returns the paces that have changed or were not told for a while. The mutex is held.
func (p *Publisher) pacesDue(measured []Pacing, now time.Time) (due []Pacing) {
	for _, each := range measured {
		before, known := p.paces[each.Replica]
		difference := max(each.Pace, before.pace) - min(each.Pace, before.pace)
		if known && now.Sub(before.at) < paceRepeat && float64(difference) < paceChange*float64(before.pace) {
			continue
		}
		p.paces[each.Replica] = told{pace: each.Pace, at: now}
		due = append(due, each)
	}
	return due
}

func (p *Publisher) tellOne(ctx context.Context, machine string, to *recipient, told Report, message Message) {
	bounded, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var heard Heard
	err := p.peers.Ask(bounded, machine, tellMethod, message, &heard)
	p.mu.Lock()
	defer p.mu.Unlock()
	to.telling, to.owner, to.heard = false, false, Report{}
	if err != nil {
		// An answer may still be written to heard.
		p.totals.Failed++
		p.logger.Debug("report not told", zap.String("to", machine), zap.Error(err)) // up to 40 calls a second
		return
	}
	to.owner = heard.Owner
	if !heard.Whole {
		to.heard = told
	}
}

// adopt asks an owner for all that it believes: those heard of, or else any that may be one.
func (p *Publisher) adopt(ctx context.Context) {
	asked := map[string]bool{identity.Machine(p.table.run): true}
	for _, machine := range append(p.table.Owners(), p.dealtMachines(ctx)...) {
		if asked[machine] {
			continue
		}
		if len(asked) > askedAtMost {
			return
		}
		asked[machine] = true
		beliefs, err := p.ask(ctx, machine)
		reports := p.table.Adopt(beliefs)
		p.logger.Info("beliefs asked for", zap.String("from", machine), zap.Int("reports", len(beliefs.Reports)), zap.Int("adopted", reports), zap.Int("paces", len(beliefs.Paces)), zap.Error(err))
		if len(beliefs.Reports) > 0 {
			return
		}
	}
}

func (p *Publisher) ask(ctx context.Context, machine string) (beliefs Beliefs, err error) {
	bounded, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var answer Message
	if err := p.peers.Ask(bounded, machine, askMethod, struct{}{}, &answer); err != nil {
		return beliefs, errors.Wrap(err, "occupancy: ask")
	}
	return beliefs, decode(answer, &beliefs)
}
