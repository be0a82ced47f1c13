package occupancy

import (
	"context"
	"slices"
	"time"

	"woodworks/internal/membership/identity"
)

// recipient is a machine that is sent reports.
type recipient struct {
	// sending says that a call is under way.
	sending bool
	// isOwner says that it has batches itself, as it answered last.
	isOwner bool
	sentAt  time.Time
	// acknowledged is the report that it has taken in last, Number 0 if none is known to be.
	acknowledged Report
}

// refreshMachines learns anew which machines may be given batches, without waiting for it. The mutex
// is held.
func (p *Publisher) refreshMachines(ctx context.Context, now time.Time) {
	if p.refreshing || !p.machinesAt.IsZero() && now.Sub(p.machinesAt) < introduceInterval {
		return
	}
	p.refreshing, p.machinesAt = true, now
	go func() {
		machines := p.candidateMachines(ctx)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.refreshing = false
		if len(machines) == 0 || slices.Equal(p.machines, machines) {
			return // where it can't be learned, those of before may still be right
		}
		// Some are to get a report though nothing else has changed.
		p.machines, p.lastReport = machines, Report{}
	}()
}

func (p *Publisher) candidateMachines(ctx context.Context) (machines []string) {
	for _, daemon := range p.candidates(ctx) {
		machines = append(machines, identity.Machine(daemon))
	}
	slices.Sort(machines)
	return slices.Compact(machines)
}

// dueMachines returns the machines to send to now, and whether they are owners: these always, others that
// may become ones each introduceInterval. One that has not answered yet is left out. The mutex is
// held.
func (p *Publisher) dueMachines(now time.Time, last bool) map[string]bool {
	due := map[string]bool{}
	for _, machine := range p.machines {
		due[machine] = false
	}
	for machine, to := range p.recipients {
		if to.isOwner {
			due[machine] = true
		}
	}
	for _, machine := range p.table.Reporters() {
		due[machine] = true
	}
	delete(due, identity.Machine(p.table.self))
	for machine, owner := range due {
		to := p.recipients[machine]
		if to == nil {
			to = &recipient{}
			p.recipients[machine] = to
		}
		introduce := !last && now.Sub(to.sentAt) >= introduceInterval
		if to.sending || !owner && !introduce {
			delete(due, machine)
		}
	}
	return due
}
