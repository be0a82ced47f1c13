package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Log files are arguments of explain, beside those of --log: a file that was named
// without the flag was passed over, and standard input read.
func TestExplainReadsTheFilesThatItIsGiven(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	first := write("a.log", "time=2026-01-01T00:00:00.000Z level=info event=\"batch owned\" node=a batch=b1 items=3\n")
	second := write("b.log", "time=2026-01-01T00:00:01.000Z level=info event=\"batch account\" node=a batch=b1 making=6.6\n")
	var stdout, stderr bytes.Buffer
	is.Equal(Main([]string{"explain", "b1", first, second}, nil, &stdout, &stderr), ExitDone)
	is.True(strings.Contains(stdout.String(), "batch owned"))
	is.True(strings.Contains(stdout.String(), "making=6.6"))
	stdout.Reset()
	is.Equal(Main([]string{"explain", "b1", "--log", first, second}, nil, &stdout, &stderr), ExitDone)
	is.True(strings.Contains(stdout.String(), "making=6.6"))
	is.Equal(Main([]string{"explain", "b1", filepath.Join(folder, "missing.log")}, nil, &stdout, &stderr), ExitUsage)
}

func TestSurplusArgumentsAreNamed(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{{"serve", "surplus"}, {"policy", "check", "a.star", "surplus"}, {"status", "surplus"}} {
		var stdout, stderr bytes.Buffer
		is.Equal(Main(args, nil, &stdout, &stderr), ExitUsage)
		is.True(strings.Contains(stderr.String(), `"surplus"`))
	}
}
