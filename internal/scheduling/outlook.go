package scheduling

import "sort"

// Group is how far a group of a batch is.
type Group struct {
	// Remaining is the longest of the remainders of its items, in events; 0 if all
	// are listed.
	Remaining float64
	// Required groups are waited for, whichever others are whole.
	Required bool
}

// Needed returns the longest remainder among the groups that a trainer waits for when
// it goes on with desired groups, all required ones among them: what remains longer
// than that is likely to be left when the batch ends.
func Needed(groups []Group, desired int) float64 {
	longest := 0.0
	var others []float64
	for _, group := range groups {
		if !group.Required {
			others = append(others, group.Remaining)
			continue
		}
		desired--
		longest = max(longest, group.Remaining)
	}
	sort.Float64s(others)
	if last := min(desired, len(others)); last > 0 {
		longest = max(longest, others[last-1])
	}
	return longest
}
