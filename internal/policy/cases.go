package policy

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sort"
	"strings"

	"go.starlark.net/starlark"
)

// digestBytes is the length of a key's digest.
const digestBytes = sha256.Size

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

// KeyDigest returns the digest under which a bearer key stands in a policy.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// CallerOf returns the caller that holds a bearer key. Digests are compared in
// constant time, so that timing tells nothing about another key.
func (set *Set) CallerOf(key string) (Caller, bool) {
	digest := []byte(KeyDigest(key))
	var found Caller
	matched := 0
	for held, caller := range set.callers {
		if subtle.ConstantTimeCompare(digest, []byte(held)) == 1 {
			found = caller
			matched = 1
		}
	}
	return found, matched == 1
}
