package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against items that are left waiting without a reason that can be logged.
func TestAWaitingItemHasAReason(t *testing.T) {
	full := engineWithEventTime("full", loadSlow)
	full.InFlight = full.Capacity()
	avoided := engineWithEventTime("avoided", loadSlow)
	avoided.Avoided = true
	old := engineWithEventTime("old", loadSlow)
	old.Versions = map[string]int64{testModel: 0}
	for reason, engines := range map[WaitReason][]Engine{
		WaitNoEngine: nil,
		WaitWeights:  {old},
		WaitAvoided:  {old, avoided},
		WaitNoRoom:   {old, avoided, full},
	} {
		t.Run(string(reason), func(t *testing.T) {
			is := is.New(t)
			var reasons []WaitReason
			decisions := Plan(Snapshot{
				Zone: "z", Engines: engines,
				Items:  []Item{{Model: testModel, MinVersion: 1, RemainingEvents: 10, Waited: time.Second}},
				OnWait: func(_ int, reason WaitReason) { reasons = append(reasons, reason) },
			})
			is.Equal(len(decisions), 0)
			is.Equal(reasons, []WaitReason{reason})
		})
	}
}

// Guards against a suspect item that goes back to the engine that turns it away, or waits, while another
// engine has room.
func TestASuspectItemGoesWhereNoOtherSuspectRuns(t *testing.T) {
	is := is.New(t)
	best, other := engineWithEventTime("best", loadFast), engineWithEventTime("other", loadSlow)
	best.RunsIsolated = true
	suspect := Item{Model: testModel, RemainingEvents: 10, Isolated: true}
	var reasons []WaitReason
	snapshot := Snapshot{
		Zone: "z", Engines: []Engine{best, other}, Items: []Item{suspect, suspect},
		OnWait: func(_ int, reason WaitReason) { reasons = append(reasons, reason) },
	}
	is.Equal(Plan(snapshot), []Decision{Start{Item: 0, Engine: 1}})
	is.Equal(reasons, []WaitReason{WaitIsolated}) // one suspect an engine
	snapshot.Items[1].Isolated = false
	is.Equal(len(Plan(snapshot)), 2) // other items don't wait
}
