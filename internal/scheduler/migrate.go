package scheduler

import "time"

// MoveDecision weighs whether a sample under way should go on elsewhere.
type MoveDecision struct {
	// Generated and Expected are tokens produced so far and expected in all.
	Generated int
	Expected  int
	// HereStep and ThereStep are the times a token takes at the present replica
	// and at the other, with this sample among its streams.
	HereStep  time.Duration
	ThereStep time.Duration
	// Prefill is the time to compute the prompt and what was generated anew.
	Prefill time.Duration
}

// moveMargin is by how much a move must pay beyond its own cost, so that errors
// in the estimates do not move samples to and fro.
const moveMargin = 4

// Gain is the time that the move saves over the tokens that are left. A sample
// that has outgrown its expectation counts as half done, as lengths are
// heavy-tailed.
func (decision MoveDecision) Gain() time.Duration {
	rest := max(decision.Expected, 2*decision.Generated) - decision.Generated
	return time.Duration(rest) * (decision.HereStep - decision.ThereStep)
}

// ShouldMove reports whether a straggler should move: what it gains pays
// several times for computing its prefix anew.
func ShouldMove(decision MoveDecision) bool {
	return decision.Gain() > moveMargin*decision.Prefill
}
