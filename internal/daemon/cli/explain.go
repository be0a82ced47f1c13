package cli

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"woodworks/internal/daemon/explain"
)

// runExplain tells the story of an id from log files, or from standard input
// if none is named.
func runExplain(o *options) error {
	if o.logFiles == nil {
		return withCode(ExitFailed, explain.Explain(o.stdout, o.explainID, os.Stdin))
	}
	var sources []io.Reader
	for _, name := range o.logFiles {
		file, err := os.Open(name)
		if err != nil {
			return withCode(ExitUsage, errors.Wrap(err, "explain"))
		}
		defer func() { _ = file.Close() }() // it was only read
		sources = append(sources, file)
	}
	return withCode(ExitFailed, explain.Explain(o.stdout, o.explainID, sources...))
}
