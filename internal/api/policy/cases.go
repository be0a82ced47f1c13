package policy

import (
	"sort"
	"strings"

	"go.starlark.net/starlark"
)

// casePrefix starts the name of a test function in a document.
const casePrefix = "test_"

// CaseResult is the outcome of one test function of a document.
type CaseResult struct {
	Name string `json:"name"`
	// Fault is empty for a case that passed.
	Fault string `json:"fault,omitempty"`
}

// RunCases runs every function test_* of one document, in order of name.
func RunCases(document, source string) ([]CaseResult, error) {
	loaded, err := loadProgram(document, source)
	if err != nil {
		return nil, err
	}
	var results []CaseResult
	for _, name := range loaded.globals.Keys() {
		if !strings.HasPrefix(name, casePrefix) {
			continue
		}
		result := CaseResult{Name: name}
		if _, _, err := loaded.call(name, starlark.Tuple{}); err != nil {
			result.Fault = err.Error()
		}
		results = append(results, result)
	}
	sort.Slice(results, func(i, j int) bool { return results[i].Name < results[j].Name })
	return results, nil
}

// CallerOf returns the caller that holds a bearer key.
func (set *Set) CallerOf(key string) (Caller, bool) { return set.callers.HolderOf(key) }
