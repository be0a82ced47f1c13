package policy

import (
	"fmt"

	"github.com/pkg/errors"
	"go.starlark.net/resolve"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

const (
	// loadStepLimit bounds the Starlark execution steps of loading one document.
	loadStepLimit = 1_000_000
	// hookStepLimit bounds the Starlark execution steps of one hook or test function.
	hookStepLimit = 20_000
	// maxSourceBytes bounds the source text of one document.
	maxSourceBytes = 256 << 10
)

// DocumentError is an error in the text or the declarations of a policy document.
type DocumentError struct {
	Document string
	// Line is 1-based, 0 if the error has no single line.
	Line   int32
	Reason string
}

// Error returns "document:line: reason", without the line if there is none.
func (f *DocumentError) Error() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.Document, f.Reason)
	}
	return fmt.Sprintf("%s:%d: %s", f.Document, f.Line, f.Reason)
}

func documentErrorf(document string, line int32, format string, args ...any) error {
	return &DocumentError{Document: document, Line: line, Reason: fmt.Sprintf(format, args...)}
}

// program is a loaded document: its globals, which are frozen, and its declarations.
type program struct {
	document string
	globals  starlark.StringDict
	declared declarations
}

var fileOptions = &syntax.FileOptions{Set: true, GlobalReassign: false}

func loadProgram(document, source string) (*program, error) {
	if len(source) > maxSourceBytes {
		return nil, documentErrorf(document, 0, "source has %d bytes, over the limit of %d", len(source), maxSourceBytes)
	}
	p := &program{document: document}
	thread := newThread(document, loadStepLimit)
	globals, err := starlark.ExecFileOptions(fileOptions, thread, document, source, p.declared.builtins(document))
	if err != nil {
		return nil, asDocumentError(document, err)
	}
	globals.Freeze()
	p.globals = globals
	return p, nil
}

func newThread(name string, steps uint64) *starlark.Thread {
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(steps)
	return thread
}

// asDocumentError converts an error of the Starlark library into a *DocumentError.
func asDocumentError(document string, err error) error {
	var (
		documentError *DocumentError
		syntaxError   syntax.Error
		resolveErrors resolve.ErrorList
		evalError     *starlark.EvalError
	)
	switch {
	case errors.As(err, &documentError):
		return documentError
	case errors.As(err, &syntaxError):
		return documentErrorf(document, syntaxError.Pos.Line, "%s", syntaxError.Msg)
	case errors.As(err, &resolveErrors) && len(resolveErrors) > 0:
		return documentErrorf(document, resolveErrors[0].Pos.Line, "%s", resolveErrors[0].Msg)
	case errors.As(err, &evalError):
		return documentErrorf(document, innermostLine(evalError.CallStack), "%s", evalError.Msg)
	default:
		return documentErrorf(document, 0, "%s", err.Error())
	}
}

// innermostLine returns the line of the innermost stack frame that has one (built-ins have
// none), or 0.
func innermostLine(stack starlark.CallStack) int32 {
	for i := len(stack) - 1; i >= 0; i-- {
		if stack[i].Pos.Line > 0 {
			return stack[i].Pos.Line
		}
	}
	return 0
}

// call calls a global function by name, with a step limit. The result is false if there is no
// such function or it failed.
func (p *program) call(hook string, args starlark.Tuple) (starlark.Value, bool, error) {
	function, ok := p.globals[hook].(starlark.Callable)
	if !ok {
		return nil, false, nil
	}
	answer, err := starlark.Call(newThread(hook, hookStepLimit), function, args, nil)
	if err != nil {
		return nil, false, asDocumentError(p.document, err)
	}
	return answer, true, nil
}
