package occupancy

import (
	"context"
	"slices"
	"time"

	"woodworks/internal/membership/identity"
)

// recipient is the state of a machine to which reports are sent.
type recipient struct {
	// sending is set while a call runs. There is at most one at a time.
	sending bool
	// isOwner is set if the machine had batches according to its last reply.
	isOwner bool
	sentAt  time.Time
	// acknowledged is the last report known to be accepted; its Number is 0 if there is none.
	// Deltas are based on it.
	acknowledged Report
}

// refreshMachines requests, in a goroutine, the list of machines that may be given batches. It
// does nothing if a request is running or the last one began within introduceInterval. The mutex
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
			return // keep the former list if the request failed
		}
		// Clearing the last report makes the next one due, so that new machines get it.
		p.machines, p.lastReport = machines, Report{}
	}()
}

// candidateMachines returns the machines that may be given batches, sorted.
func (p *Publisher) candidateMachines(ctx context.Context) (machines []string) {
	for _, daemon := range p.candidates(ctx) {
		machines = append(machines, identity.Machine(daemon))
	}
	slices.Sort(machines)
	return slices.Compact(machines)
}

// dueMachines returns the machines to send a report to now, and whether each is an owner. Owners
// always get reports. Other machines that may be given batches get an introduction every
// introduceInterval, but not with the last report of a period. Machines with a running call are
// left out. The mutex is held.
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
