package cli

import "strings"

// diffLines returns the lines that differ between two texts, removed ones with
// "-" and added ones with "+", by their longest common subsequence.
func diffLines(before, after string) []string {
	if before == after {
		return nil
	}
	old := strings.Split(before, "\n")
	fresh := strings.Split(after, "\n")
	common := commonLengths(old, fresh)
	var lines []string
	i, j := 0, 0
	for i < len(old) || j < len(fresh) {
		switch {
		case i < len(old) && j < len(fresh) && old[i] == fresh[j]:
			i++
			j++
		case j == len(fresh) || (i < len(old) && common[i+1][j] >= common[i][j+1]):
			lines = append(lines, "-"+old[i])
			i++
		default:
			lines = append(lines, "+"+fresh[j])
			j++
		}
	}
	return lines
}

// commonLengths returns, for each pair of suffixes, the length of their
// longest common subsequence.
func commonLengths(old, fresh []string) [][]int {
	lengths := make([][]int, len(old)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(fresh)+1)
	}
	for i := len(old) - 1; i >= 0; i-- {
		for j := len(fresh) - 1; j >= 0; j-- {
			if old[i] == fresh[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	return lengths
}
