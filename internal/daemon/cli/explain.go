package cli

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"woodworks/internal/daemon/explain"
)

// addLogFiles takes arguments as log files.
func addLogFiles(chosen *options, arguments []string) {
	chosen.logFiles = append(chosen.logFiles, arguments...)
}

// runExplain tells the story of an id from log files, or from standard input
// if none is named.
func runExplain(chosen *options) error {
	if chosen.logFiles == nil {
		return withCode(ExitFailed, explain.Explain(chosen.stdout, chosen.explainID, os.Stdin))
	}
	var sources []io.Reader
	for _, name := range chosen.logFiles {
		file, err := os.Open(name)
		if err != nil {
			return withCode(ExitUsage, errors.Wrap(err, "explain"))
		}
		defer func() { _ = file.Close() }()
		sources = append(sources, file)
	}
	return withCode(ExitFailed, explain.Explain(chosen.stdout, chosen.explainID, sources...))
}
