package measure

import "woodworks/internal/weights"

// thirds swaps a third of the engines at a time, as a careful operator would.
var thirds = weights.Waves{First: 1, LaterPercent: 34}

// strategy is a way of scheduling: which parts are switched on.
type strategy struct {
	name string
	// pick is random, least or score.
	pick pickKind
	// holdBack keeps samples at the daemon until a slot is free; without it
	// they are sent at once and wait at the engine.
	holdBack bool
	// longestFirst starts those expected to be longest first.
	longestFirst bool
	// affinity keeps a prompt's samples on an engine that caches it.
	affinity bool
	// versions starts a sample only where it is not too stale already.
	versions bool
	// correct corrects the late load reports by what the daemon knows.
	correct bool
	// resume goes on with a broken sample from its prefix.
	resume bool
	// migrate moves stragglers to idle engines.
	migrate bool
	// waves says how many engines swap at a time.
	waves weights.Waves
}

type pickKind int

const (
	pickRandom pickKind = iota
	pickLeast
	pickScore
)

func ours() strategy {
	return strategy{
		name: "ours", pick: pickScore, holdBack: true, longestFirst: true, affinity: true,
		versions: true, correct: true, resume: true, migrate: true, waves: weights.DefaultWaves(),
	}
}

// strategies returns the baselines, ours, and ours without each part.
func strategies() []strategy {
	list := []strategy{
		{name: "random", pick: pickRandom, waves: thirds},
		{name: "least outstanding", pick: pickLeast, waves: thirds},
		ours(),
	}
	without := func(name string, change func(*strategy)) {
		one := ours()
		one.name = "without " + name
		change(&one)
		list = append(list, one)
	}
	without("holding back", func(one *strategy) { one.holdBack = false })
	without("longest first", func(one *strategy) { one.longestFirst = false })
	without("prefix affinity", func(one *strategy) { one.affinity = false })
	without("version filter", func(one *strategy) { one.versions = false })
	without("load correction", func(one *strategy) { one.correct = false })
	without("resuming", func(one *strategy) { one.resume = false })
	without("migration", func(one *strategy) { one.migrate = false })
	without("first wave of one, thirds instead", func(one *strategy) { one.waves = thirds })
	return list
}
