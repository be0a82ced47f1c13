package demo

import "woodworks/internal/demo/checks"

// The promises that are checked.
const (
	namesVersions checks.Rule = "a sample names the versions that made it"
	withinBound   checks.Rule = "no sample is over its bound"
	exactlyOnce   checks.Rule = "each sample is delivered once"
	ownAnswer     checks.Rule = "a caller gets the whole answer to its own request"
	notExecuted   checks.Rule = "not executed is true"
	atMostOnce    checks.Rule = "a non-repeatable request runs at most once"
	leavingIdle   checks.Rule = "a leaving back end gets no new work"
	plannedStop   checks.Rule = "a planned stop cuts nothing off"
)

var rules = []checks.Rule{
	namesVersions, withinBound, exactlyOnce, ownAnswer, notExecuted, atMostOnce, leavingIdle, plannedStop,
}
