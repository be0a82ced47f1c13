package membership

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"

	"woodworks/internal/rendezvous"
)

// Config holds the machine's constants.
type Config struct {
	// SuspectTimeout is how long a suspect has to refute before it is dead.
	SuspectTimeout time.Duration
	// ReapAfter is how long dead and gone members are remembered.
	ReapAfter time.Duration
	// LocalPause is the gap between two ticks above which this process itself
	// was paused and must not blame others for it.
	LocalPause time.Duration
	// RemotePartners is how many members of other zones are probed and told
	// news, always the same ones while they are there. A zone with few members
	// has more of them, so that everyone has SmallestCircle partners.
	RemotePartners int
	SmallestCircle int
	// DeadProbeEvery is how many ticks pass between two tries to reach a
	// member believed dead, which heals a partition.
	DeadProbeEvery int
}

// DefaultConfig returns the constants used in production.
func DefaultConfig() Config {
	return Config{
		SuspectTimeout: 3 * time.Second,
		ReapAfter:      30 * time.Minute,
		LocalPause:     3 * time.Second,
		RemotePartners: 4,
		SmallestCircle: 16,
		DeadProbeEvery: 5,
	}
}

// transmitFactor times log2 of the table's size is how often an update is
// passed on before only digests repair gaps.
const transmitFactor = 3

type record struct {
	member    Member
	changedAt time.Time
	transmits int
}

// Machine is the membership table of one daemon. It is not safe for
// concurrent use.
//
// Invariant: the machine's own record is always alive, with a refutation
// higher than any that was told with another health.
type Machine struct {
	config  Config
	self    NodeID
	records map[NodeID]*record
	// byAddress holds the runs known at each address.
	byAddress map[string]map[NodeID]bool
	// ordered caches the members by ID, nil after a change. It is never
	// changed in place, as callers hold it.
	ordered    []Member
	digest     Digest
	random     *rand.Rand
	probeOrder []NodeID
	ticks      int
	lastTick   time.Time
	pausedTill time.Time
}

// NewMachine returns a machine that knows only the daemon itself.
func NewMachine(config Config, self Member, now time.Time, seed uint64) *Machine {
	self.Health = Alive
	machine := &Machine{
		config:    config,
		self:      self.ID,
		records:   map[NodeID]*record{},
		byAddress: map[string]map[NodeID]bool{},
		random:    rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
	}
	machine.put(self, now)
	return machine
}

// Self returns the daemon's own description.
func (machine *Machine) Self() Member { return machine.records[machine.self].member }

// put stores a member and keeps the digest in step.
func (machine *Machine) put(member Member, now time.Time) {
	bucket := bucketOf(member.ID)
	if held, known := machine.records[member.ID]; known {
		machine.digest[bucket] ^= held.member.hash()
	}
	machine.digest[bucket] ^= member.hash()
	machine.records[member.ID] = &record{member: member, changedAt: now}
	if machine.byAddress[member.Address] == nil {
		machine.byAddress[member.Address] = map[NodeID]bool{}
	}
	machine.byAddress[member.Address][member.ID] = true
	machine.ordered = nil
}

func (machine *Machine) remove(id NodeID) {
	held := machine.records[id]
	machine.digest[bucketOf(id)] ^= held.member.hash()
	delete(machine.records, id)
	delete(machine.byAddress[held.member.Address], id)
	if len(machine.byAddress[held.member.Address]) == 0 {
		delete(machine.byAddress, held.member.Address)
	}
	machine.ordered = nil
}

// Leave marks the daemon itself as leaving.
func (machine *Machine) Leave(now time.Time) {
	self := machine.Self()
	self.Leaving = true
	machine.put(self, now)
}

// Finish marks the daemon itself as gone: its last act before it exits.
func (machine *Machine) Finish(now time.Time) {
	self := machine.Self()
	self.Leaving = true
	self.Gone = true
	machine.put(self, now)
}

// Tick advances time: suspects that did not refute become dead, old records
// are dropped, and the members to probe now are returned (at most two).
func (machine *Machine) Tick(now time.Time) []Member {
	if !machine.lastTick.IsZero() && now.Sub(machine.lastTick) > machine.config.LocalPause {
		machine.pausedTill = now.Add(machine.config.SuspectTimeout)
	}
	machine.lastTick = now
	machine.ticks++
	machine.expire(now)
	var targets []Member
	if target, found := machine.nextProbe(); found {
		targets = append(targets, target)
	}
	if machine.ticks%machine.config.DeadProbeEvery == 0 {
		if target, found := machine.randomDead(); found {
			targets = append(targets, target)
		}
	}
	return targets
}

func (machine *Machine) expire(now time.Time) {
	for id, held := range machine.records {
		age := now.Sub(held.changedAt)
		member := held.member
		switch {
		case id == machine.self:
		case member.Health == Suspect && age >= machine.config.SuspectTimeout && !now.Before(machine.pausedTill):
			member.Health = Dead
			machine.put(member, now)
		case !member.Reachable() && age >= machine.config.ReapAfter:
			machine.remove(id)
		}
	}
}

// nextProbe walks the partners in a shuffled order, so that each is probed
// within a bounded time.
func (machine *Machine) nextProbe() (Member, bool) {
	for attempt := 0; attempt < 2; attempt++ {
		for len(machine.probeOrder) > 0 {
			id := machine.probeOrder[0]
			machine.probeOrder = machine.probeOrder[1:]
			held, known := machine.records[id]
			if known && held.member.Reachable() {
				return held.member, true
			}
		}
		machine.refillProbeOrder()
	}
	return Member{}, false
}

func (machine *Machine) refillProbeOrder() {
	near, far := machine.Partners()
	machine.probeOrder = nil
	for _, member := range append(near, far...) {
		machine.probeOrder = append(machine.probeOrder, member.ID)
	}
	machine.shuffle(machine.probeOrder)
}

// Partners returns the members that this daemon probes and tells news: all
// reachable ones of its zone, and a few of others. So the connections of a
// daemon grow with its zone and not with the floor.
func (machine *Machine) Partners() (near, far []Member) {
	self := machine.Self()
	byID := map[string]Member{}
	var remote []string
	for _, member := range machine.sorted() {
		switch {
		case member.ID == machine.self || !member.Reachable():
		case member.Zone == self.Zone:
			near = append(near, member)
		default:
			byID[string(member.ID)] = member
			remote = append(remote, string(member.ID))
		}
	}
	count := min(len(remote), max(machine.config.RemotePartners, machine.config.SmallestCircle-len(near)))
	for _, id := range rendezvous.Rank("partners/"+string(self.ID), remote)[:count] {
		far = append(far, byID[id])
	}
	return near, far
}

func (machine *Machine) shuffle(ids []NodeID) {
	machine.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
}

func (machine *Machine) randomDead() (Member, bool) {
	var dead []Member
	for _, member := range machine.sorted() {
		if member.Health == Dead && !member.Gone {
			dead = append(dead, member)
		}
	}
	if len(dead) == 0 {
		return Member{}, false
	}
	return dead[machine.random.IntN(len(dead))], true
}

// Relays returns up to count reachable members of the own zone for an indirect
// probe, chosen at random and without the target. Where the zone has too few,
// other zones fill up.
func (machine *Machine) Relays(target NodeID, count int) []Member {
	var near, far []Member
	for _, member := range machine.sorted() {
		if member.ID == machine.self || member.ID == target || member.Health != Alive || member.Gone {
			continue
		}
		if member.Zone == machine.Self().Zone {
			near = append(near, member)
		} else {
			far = append(far, member)
		}
	}
	machine.random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	machine.random.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	chosen := append(near, far...)
	if len(chosen) > count {
		chosen = chosen[:count]
	}
	return chosen
}

// ProbeFailed records that neither the member nor anyone on its behalf
// answered a probe that was sent at sentAt. A failure during a pause of this
// process is no evidence and changes nothing.
func (machine *Machine) ProbeFailed(now, sentAt time.Time, target NodeID) {
	held, known := machine.records[target]
	pausedMeanwhile := now.Sub(sentAt) > machine.config.LocalPause || now.Before(machine.pausedTill)
	if !known || pausedMeanwhile || held.member.Health != Alive {
		return
	}
	member := held.member
	member.Health = Suspect
	machine.put(member, now)
}

// Merge takes in what gossip told and returns the members that changed.
func (machine *Machine) Merge(now time.Time, told []Member) []Member {
	var changed []Member
	for _, member := range told {
		if member.ID == machine.self {
			machine.refute(now, member)
			continue
		}
		if machine.mergeOne(now, member) {
			changed = append(changed, machine.records[member.ID].member)
		}
	}
	changed = append(changed, machine.supersede(now, told)...)
	return changed
}

func (machine *Machine) mergeOne(now time.Time, told Member) bool {
	held, known := machine.records[told.ID]
	if !known {
		machine.put(told, now)
		return true
	}
	joined := merge(held.member, told)
	if joined == held.member {
		return false
	}
	machine.put(joined, now)
	return true
}

// refute contradicts any claim that this daemon is not alive.
func (machine *Machine) refute(now time.Time, told Member) {
	self := machine.Self()
	contradicted := told.Health != Alive && told.Refutation >= self.Refutation
	behind := told.Refutation > self.Refutation
	if !contradicted && !behind {
		return
	}
	self.Refutation = told.Refutation + 1
	machine.put(self, now)
}

// supersede marks older generations at an address as gone once a newer one is
// known: only one process can listen there.
func (machine *Machine) supersede(now time.Time, told []Member) []Member {
	var changed []Member
	for _, mentioned := range told {
		runs := machine.byAddress[mentioned.Address]
		newest := uint64(0)
		for id := range runs {
			newest = max(newest, machine.records[id].member.Generation)
		}
		for id := range runs {
			member := machine.records[id].member
			if member.Generation < newest && !member.Gone && id != machine.self {
				member.Gone = true
				machine.put(member, now)
				changed = append(changed, member)
			}
		}
	}
	return changed
}

// Updates returns up to limit members whose news was passed on least, and
// counts this passing on.
func (machine *Machine) Updates(limit int) []Member {
	bound := transmitFactor * (1 + bits.Len(uint(len(machine.records))))
	var pending []*record
	for _, held := range machine.records {
		if held.transmits < bound {
			pending = append(pending, held)
		}
	}
	sort.Slice(pending, func(i, j int) bool {
		if pending[i].transmits != pending[j].transmits {
			return pending[i].transmits < pending[j].transmits
		}
		return pending[i].member.ID < pending[j].member.ID
	})
	if len(pending) > limit {
		pending = pending[:limit]
	}
	updates := make([]Member, len(pending))
	for i, held := range pending {
		held.transmits++
		updates[i] = held.member
	}
	return updates
}

// Digest returns the table's digest.
func (machine *Machine) Digest() Digest { return machine.digest }

// Differing returns the members in the buckets where the two digests differ, of
// at most limit buckets, which are chosen anew at each call.
func (machine *Machine) Differing(other Digest, limit int) []Member {
	chosen := map[int]bool{}
	for _, bucket := range machine.random.Perm(BucketCount) {
		if machine.digest[bucket] != other[bucket] && len(chosen) < limit {
			chosen[bucket] = true
		}
	}
	if len(chosen) == 0 {
		return nil
	}
	var members []Member
	for _, member := range machine.sorted() {
		if chosen[bucketOf(member.ID)] {
			members = append(members, member)
		}
	}
	return members
}

// Members returns every known member, ordered by ID. The slice must not be
// changed.
func (machine *Machine) Members() []Member { return machine.sorted() }

func (machine *Machine) sorted() []Member {
	if machine.ordered != nil {
		return machine.ordered
	}
	members := make([]Member, 0, len(machine.records))
	for _, held := range machine.records {
		members = append(members, held.member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	machine.ordered = members
	return members
}
