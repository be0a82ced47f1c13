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
	old.Versions = map[string]int64{testModel: 1}
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
				Items:  []Item{{Model: testModel, MinVersion: 2, RemainingEvents: 10, Waited: time.Second}},
				OnWait: func(_ int, reason WaitReason) { reasons = append(reasons, reason) },
			})
			is.Equal(len(decisions), 0)
			is.Equal(reasons, []WaitReason{reason})
		})
	}
}
