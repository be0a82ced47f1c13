// Package demo runs a small floor once through its paces.
package demo

import (
	"woodworks/examples"
	"woodworks/internal/lab/floor"
)

// SiteUnderTest is a site with the names that a workload needs.
type SiteUnderTest struct {
	floor.Site
	Trainer      string
	Bound        uint64
	PublicCaller string
	// InternalCaller's key is valid on the internal listener only.
	InternalCaller string
	Lookup         string
	Move           string
}

// OperatorSite is the Operator's floor at its size of today.
func OperatorSite() SiteUnderTest {
	return SiteUnderTest{
		Site: floor.Site{
			Name: "operator", Region: "ch-mittelland", Zones: []string{"bern-a", "bern-b", "solothurn"},
			EngineService: "assessor-lm", Engines: 8, PlainService: "permit-desk", Plains: 3,
			Policy: examples.OperatorPolicy,
		},
		Trainer: "assessor", Bound: 1, PublicCaller: "clerks", InternalCaller: "registry",
		Lookup: "status", Move: "register",
	}
}

// QarmoudSite is Qarmoud Arena's floor at its size of today.
func QarmoudSite() SiteUnderTest {
	return SiteUnderTest{
		Site: floor.Site{
			Name: "qarmoud", Region: "tunis", Zones: []string{"hall-a", "hall-b", "hall-c"},
			EngineService: "oracle-pool", Engines: 9, PlainService: "game-front", Plains: 4,
			Policy: examples.QarmoudPolicy,
		},
		Trainer: "bots", Bound: 3, PublicCaller: "players", InternalCaller: "arena",
		Lookup: "board", Move: "move",
	}
}

// ByName returns a site by its name; the Operator's for any other.
func ByName(name string) SiteUnderTest {
	if name == "qarmoud" {
		return QarmoudSite()
	}
	return OperatorSite()
}
