package policy

import (
	"strings"

	"github.com/pkg/errors"
	"go.starlark.net/starlark"
)

// testPrefix is the prefix of the names of test functions in a document.
const testPrefix = "test_"

// TestResult is the result of one test function of a document.
type TestResult struct {
	Name string `json:"name"`
	// Failure is the error message, empty if the test passed.
	Failure string `json:"fault,omitempty"`
}

// RunTests loads one document and calls each of its functions named test_*, sorted by name.
// It returns a *DocumentError if the document does not load; a failed test is no error.
func RunTests(document, source string) ([]TestResult, error) {
	p, err := loadProgram(document, source)
	if err != nil {
		return nil, err
	}
	var results []TestResult
	for _, name := range p.globals.Keys() { // Keys sorts
		if !strings.HasPrefix(name, testPrefix) {
			continue
		}
		result := TestResult{Name: name}
		if _, _, err := p.call(name, nil); err != nil {
			result.Failure = err.Error()
		}
		results = append(results, result)
	}
	return results, nil
}

// expect implements the built-in expect(got, want), which fails the running test function
// unless both values are equal.
func expect(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var got, want starlark.Value
	if err := starlark.UnpackArgs("expect", args, kwargs, "got", &got, "want", &want); err != nil {
		return nil, err
	}
	same, err := starlark.Equal(got, want)
	if err != nil {
		return nil, err
	}
	if !same {
		return nil, errors.Errorf("got %s, want %s", got, want)
	}
	return starlark.None, nil
}
