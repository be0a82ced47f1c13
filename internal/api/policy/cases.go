package policy

import (
	"strings"

	"github.com/pkg/errors"
	"go.starlark.net/starlark"
)

// testPrefix starts the name of a test function in a document.
const testPrefix = "test_"

// TestResult is the outcome of one test function of a document.
type TestResult struct {
	Name string `json:"name"`
	// Failure is empty for a case that passed.
	Failure string `json:"fault,omitempty"`
}

// RunTests runs every function test_* of one document, in order of name.
func RunTests(document, source string) ([]TestResult, error) {
	p, err := loadProgram(document, source)
	if err != nil {
		return nil, err
	}
	var results []TestResult
	for _, name := range p.globals.Keys() { // they come in order
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

// expect is for test functions in a document: expect(got, want).
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
