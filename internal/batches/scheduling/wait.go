package scheduling

// WaitReason says why a waiting item was not started in a planning round.
type WaitReason string

// Reasons of a round.
const (
	// WaitDeferred: the item need not start yet.
	WaitDeferred WaitReason = "deferred"
	// WaitReserved: the room that is left is kept for items that need a fast engine.
	WaitReserved WaitReason = "room is reserved for longer items"
	// WaitNoEngine: no engine is known.
	WaitNoEngine WaitReason = "no replica is known"
	// WaitWeights: no engine has recent enough weights.
	WaitWeights WaitReason = "no replica has recent enough weights"
	// WaitAvoided: all engines with recent enough weights have failed or declined just now.
	WaitAvoided WaitReason = "replicas have failed or declined"
	// WaitIsolated: the engines that have room have an isolated run, and the item needs one too.
	WaitIsolated WaitReason = "another suspect runs at each replica with room"
	// WaitNoRoom: all engines that may run the item are full.
	WaitNoRoom WaitReason = "no replica has room"
)

// waitKey identifies the items that wait for the same reason in a round.
type waitKey struct {
	class
	isolated bool
}

// noteWait tells the snapshot's OnWait why an item is not started.
func (p *planner) noteWait(item int, reason WaitReason) {
	if p.OnWait != nil {
		p.OnWait(item, reason)
	}
}

// whyNoEngine returns why no engine could be selected for an item. It is found out once for the items of
// a class, as room only shrinks within a round.
func (p *planner) whyNoEngine(it *Item) WaitReason {
	return *p.waits.get(waitKey{classOf(it), it.Isolated}, func() *WaitReason {
		reason := p.lackOfEngines(it)
		return &reason
	})
}

func (p *planner) lackOfEngines(it *Item) WaitReason {
	reason := WaitNoEngine
	for i := range p.engines {
		e := &p.engines[i]
		switch {
		case !e.HasWeightsFor(it):
			if reason == WaitNoEngine {
				reason = WaitWeights
			}
		case e.hasRoomFor(it.Isolated):
			return WaitReserved
		case e.hasRoom():
			reason = WaitIsolated
		case e.Avoided:
			if reason != WaitNoRoom && reason != WaitIsolated {
				reason = WaitAvoided
			}
		case reason != WaitIsolated:
			reason = WaitNoRoom
		}
	}
	return reason
}
