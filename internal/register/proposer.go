package register

import "woodworks/internal/placement"

// Phase is where a Proposer stands.
type Phase uint8

// The phases.
const (
	// Preparing waits for promises, Accepting for acceptances.
	Preparing Phase = iota
	Accepting
	// Decided is final: Outcome holds the one value.
	Decided
	// Preempted means that another ballot stands in the way: start anew with
	// Retry.
	Preempted
)

// Proposer drives one key to a decision. It is pure: the caller carries its
// messages to every member of the group and hands the answers back. A message
// without an answer is simply never handed back.
type Proposer struct {
	key       Key
	own       Value
	groupSize int
	ballot    Ballot
	phase     Phase
	granted   map[string]bool
	highest   Ballot
	proposal  Value
	blocking  Ballot
}

// NewProposer returns a proposer in its first round. The proposer's name must
// be the node's identity plus something unique to this proposal, as two
// proposals must never share a ballot.
func NewProposer(key Key, value Value, groupSize int, epoch uint64, proposer string) *Proposer {
	return &Proposer{
		key:       key,
		own:       value,
		groupSize: groupSize,
		ballot:    Ballot{Epoch: epoch, Round: 1, Proposer: proposer},
		granted:   map[string]bool{},
		proposal:  value,
	}
}

// Phase returns where the proposer stands.
func (proposer *Proposer) Phase() Phase { return proposer.phase }

// Outcome returns the decided value; it is meaningful only in phase Decided.
func (proposer *Proposer) Outcome() Value { return proposer.proposal }

// Prepare returns the message of phase Preparing.
func (proposer *Proposer) Prepare() Prepare {
	return Prepare{Key: proposer.key, Ballot: proposer.ballot}
}

// Accept returns the message of phase Accepting.
func (proposer *Proposer) Accept() Accept {
	return Accept{Key: proposer.key, Ballot: proposer.ballot, Value: proposer.proposal}
}

// OnPromise takes in a member's answer to Prepare.
func (proposer *Proposer) OnPromise(member string, promise Promise) {
	if proposer.phase != Preparing {
		return
	}
	if !promise.Granted {
		proposer.preempt(promise.Promised)
		return
	}
	if promise.Promised != proposer.ballot {
		return
	}
	proposer.granted[member] = true
	if proposer.highest.Less(promise.Accepted) {
		proposer.highest = promise.Accepted
		proposer.proposal = promise.Value
	}
	if len(proposer.granted) >= placement.Majority(proposer.groupSize) {
		proposer.phase = Accepting
		proposer.granted = map[string]bool{}
	}
}

// OnAccepted takes in a member's answer to Accept.
func (proposer *Proposer) OnAccepted(member string, accepted Accepted) {
	if proposer.phase != Accepting {
		return
	}
	if !accepted.Granted {
		proposer.preempt(accepted.Promised)
		return
	}
	if accepted.Promised != proposer.ballot {
		return
	}
	proposer.granted[member] = true
	if len(proposer.granted) >= placement.Majority(proposer.groupSize) {
		proposer.phase = Decided
	}
}

func (proposer *Proposer) preempt(by Ballot) {
	proposer.phase = Preempted
	if proposer.blocking.Less(by) {
		proposer.blocking = by
	}
}

// Retry starts a new round above every ballot seen.
func (proposer *Proposer) Retry() {
	proposer.ballot.Round = max(proposer.ballot.Round, proposer.blocking.Round) + 1
	proposer.phase = Preparing
	proposer.granted = map[string]bool{}
	proposer.highest = Ballot{}
	proposer.proposal = proposer.own
}
