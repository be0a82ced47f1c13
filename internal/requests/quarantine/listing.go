package quarantine

import (
	"cmp"
	"slices"
)

// ListedContent is what an operator is told of a content.
type ListedContent struct {
	Digest string `json:"digest"`
	Entry
	Refused bool `json:"refused"`
	// TurnedAway counts the tries that this daemon refused.
	TurnedAway uint64 `json:"turned_away"`
	// SinceEndMs is how long ago a replica last ended under it, in milliseconds.
	SinceEndMs int64 `json:"since_end_ms"`
}

// List returns the suspected contents, those with the most ends first.
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

// Count returns how many contents are suspected, how many of them are refused, and how
// many tries were turned away.
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
