package scheduling

import "sort"

const (
	// rerunRoom is the part of an engine's slots that must be free for a second run:
	// it must not stand in the way of items that begin.
	rerunRoom = 0.25
	// leastRerun is how many events an item must still lack for a second run to pay.
	leastRerun = 15
)

// Rerun starts a second run of a running item, from its beginning, under weights that
// the batch in which it should come again allows. The first run goes on.
type Rerun struct{ Item, Engine int }

func (Rerun) decision() {}

// reruns starts second runs where there is room to spare: of the items that are likely
// to be left when their batch ends, and whose text would be too old for the next one,
// the longest first. There are none while an item waits.
func (p *planner) reruns(waiting bool) []Decision {
	if waiting {
		return nil
	}
	var due []int
	for i := range p.Items {
		item := &p.Items[i]
		if item.RerunVersion > 0 && item.Engine != "" && item.Remaining >= leastRerun {
			due = append(due, i)
		}
	}
	sort.SliceStable(due, func(a, b int) bool { return p.Items[due[a]].Remaining > p.Items[due[b]].Remaining })
	var decisions []Decision
	for _, i := range due {
		newer := p.Items[i]
		newer.MinVersion = newer.RerunVersion
		engine := p.pool(&newer).top()
		if engine < 0 || !p.hasRoomToSpare(engine) {
			continue
		}
		p.inFlight[engine]++
		decisions = append(decisions, Rerun{Item: i, Engine: engine})
	}
	return decisions
}

func (p *planner) hasRoomToSpare(engine int) bool {
	slots := slotsOf(&p.Engines[engine])
	return float64(slots-p.inFlight[engine]) >= rerunRoom*float64(slots)
}
