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

// An empty argument, such as of a shell variable that is not set, is named: the library that
// parses arguments panics at it. The value of a flag may be empty.
func TestAnEmptyArgumentIsNamed(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"explain", ""}, `argument 2, after "explain", is empty`},
		{[]string{"explain", "--log", "a.log", ""}, `argument 4, after "a.log", is empty`},
		{[]string{"rollout", "follow", "assessor", ""}, `argument 4, after "assessor", is empty`},
		{[]string{"status", "--key", "", ""}, `argument 4, after "", is empty`},
		{[]string{"explain", "--zone", ""}, `argument 3, after "--zone", is empty`},
		{[]string{"--key", "", "status"}, `argument 2, after "--key", is empty`},
		{[]string{"drain", "--undo", ""}, `argument 3, after "--undo", is empty`},
		{[]string{""}, `argument 1 is empty`},
		{[]string{"policy", "check", "--", "-", ""}, `argument 5, after "-", is empty`},
		{[]string{"policy", "test", "--output", "", "missing.star"}, `--output: "" is not text or json`},
	} {
		var stdout, stderr bytes.Buffer
		is.Equal(Main(c.args, nil, &stdout, &stderr), ExitUsage)
		is.Equal(stderr.String(), "woodworks: "+c.want+"\n")
	}
}
