package fleet

import (
	"woodworks/internal/membership"
	"woodworks/internal/platform/machinelist"
	"woodworks/internal/rendezvous"
)

// Owners finds the owner of each machine among the serving daemons.
type Owners struct {
	all    []string
	byZone map[string][]string
}

// NewOwners returns the owners among the serving daemons.
func NewOwners(serving []membership.Member) Owners {
	owners := Owners{byZone: map[string][]string{}}
	for _, member := range serving {
		owners.all = append(owners.all, string(member.ID))
		owners.byZone[member.Zone] = append(owners.byZone[member.Zone], string(member.ID))
	}
	return owners
}

// Of returns the owner of a machine: a daemon of the machine's zone, or, if the
// zone has none, one of any zone.
func (owners Owners) Of(machine machinelist.Machine) membership.NodeID {
	candidates := owners.byZone[machine.Zone]
	if len(candidates) == 0 {
		candidates = owners.all
	}
	return membership.NodeID(rendezvous.Top("replica/"+machine.Name, candidates))
}
