package cli

import (
	"fmt"
	"io"

	"github.com/pkg/errors"

	"woodworks/internal/api/client"
	"woodworks/internal/daemon/logging"
)

// Exit codes of every command.
const (
	ExitDone = 0
	// ExitFailed: the command did not do what was asked.
	ExitFailed = 1
	// ExitUsage: the arguments, a settings file or a policy are wrong.
	ExitUsage = 2
	// ExitConflict: another change or request came first.
	ExitConflict = 3
	// ExitUnknown: it is not known whether it was done.
	ExitUnknown = 4
)

// exitError carries an exit code with its cause.
type exitError struct {
	code  int
	cause error
}

// Error implements error.
func (e *exitError) Error() string { return e.cause.Error() }

func usagef(format string, args ...any) error {
	return &exitError{code: ExitUsage, cause: errors.Errorf(format, args...)}
}

func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, cause: err}
}

// reportBounded is report for a daemon: a reader of stderr that never reads must not
// hold up its end.
func reportBounded(stderr io.Writer, err error) int {
	w := logging.NewAsyncWriter(stderr)
	code := report(w, err)
	_ = w.Sync() // it returns no error
	return code
}

// report prints an error as one line and returns its exit code.
func report(stderr io.Writer, err error) int {
	if err == nil {
		return ExitDone
	}
	fmt.Fprintf(stderr, "woodworks: %v\n", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	if problem, found := client.AsProblem(err); found {
		return codeOf(problem)
	}
	if errors.Is(err, client.ErrNoResponse) {
		return ExitUnknown
	}
	return ExitFailed
}

func codeOf(problem *client.ProblemError) int {
	switch {
	case problem.Status == 409:
		return ExitConflict
	case problem.Status == 400 || problem.Status == 422:
		return ExitUsage
	case problem.Problem.Outcome == "unknown":
		return ExitUnknown
	default:
		return ExitFailed
	}
}
