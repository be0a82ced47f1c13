package quarantine

import (
	"cmp"
	"slices"
)

// ListedContent is one suspected content in the list for operators.
type ListedContent struct {
	Digest string `json:"digest"`
	Entry
	Refused bool `json:"refused"`
	// TurnedAway counts the attempts that this daemon refused.
	TurnedAway uint64 `json:"turned_away"`
	// SinceEndMs is the time since a replica last ended under the content, in milliseconds.
	SinceEndMs int64 `json:"since_end_ms"`
}

// List returns the suspected and refused contents, those with the most ends first.
func (t *Table) List() []ListedContent {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []ListedContent{}
	for _, s := range t.entries {
		if len(s.Ended) > 0 {
			list = append(list, ListedContent{Digest: s.Digest.String(), Entry: s.cloneEntry(), Refused: s.refused(),
				TurnedAway: s.turnedAway, SinceEndMs: t.now().Sub(s.lastEndAt).Milliseconds()})
		}
	}
	slices.SortFunc(list, func(a, b ListedContent) int {
		return cmp.Or(cmp.Compare(b.ends(), a.ends()), cmp.Compare(a.Digest, b.Digest))
	})
	return list
}

// Count returns the number of suspected contents (including refused ones), the number of
// refused ones, and the number of attempts refused since the start of the daemon.
func (t *Table) Count() (suspected, refused int, turnedAway uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.entries {
		if len(s.Ended) > 0 {
			suspected++
		}
		if s.refused() {
			refused++
		}
	}
	return suspected, refused, t.turnedAway.Load()
}
