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

// Guards against items that are kept from the only engines with room for as long as others might need
// these.
func TestAnItemIsNotKeptFromFastEnginesForLong(t *testing.T) {
	is := is.New(t)
	snapshot := unevenStep(1, Item{
		Model: testModel, RemainingEvents: 140, MaxRemainingEvents: 140, Engine: "slow0", RunTime: minRunTime / 2,
	})
	snapshot.Engines[0].InFlight = snapshot.Engines[0].Capacity() - 1
	for i := range snapshot.Engines[1:] {
		snapshot.Engines[i+1].InFlight = snapshot.Engines[i+1].Capacity()
	}
	waiting := &snapshot.Items[1]
	waiting.BatchAge = MaxDeferralAge
	var reasons []WaitReason
	snapshot.OnWait = func(_ int, reason WaitReason) { reasons = append(reasons, reason) }
	is.Equal(len(Plan(snapshot)), 0)
	is.Equal(reasons, []WaitReason{WaitReserved})
	waiting.Waited = maxReservedWait
	is.Equal(Plan(snapshot), []Decision{Start{Item: 1, Engine: 0}})
}
