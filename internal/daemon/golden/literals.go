package golden

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"testing"
)

// Literals checks that each line of a file of the test data still is a string literal of the
// program: texts that leave the process, such as codes of problems and reasons of refusals.
// The file is written by hand.
func Literals(t *testing.T, name string) {
	t.Helper()
	found := map[string]bool{}
	root := moduleRoot(t)
	for _, tree := range []string{"internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, tree), func(path string, entry fs.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
				err = literalsOf(path, found)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, line := range strings.Split(strings.TrimSpace(string(read(t, name))), "\n") {
		text, err := strconv.Unquote(line)
		if err != nil {
			t.Fatal(line, err)
		}
		if !found[text] {
			t.Errorf("%s: %q is a text of the program no more", name, text)
		}
	}
}

// moduleRoot is three folders above this file's.
func moduleRoot(t *testing.T) string {
	t.Helper()
	_, file, _, ok := runtime.Caller(0)
	if !ok {
		t.Fatal("where this file is can't be told")
	}
	return filepath.Join(filepath.Dir(file), "..", "..", "..")
}

// literalsOf adds the string literals of a file.
func literalsOf(path string, found map[string]bool) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	ast.Inspect(parsed, func(n ast.Node) bool {
		if literal, ok := n.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			if text, err := strconv.Unquote(literal.Value); err == nil {
				found[text] = true
			}
		}
		return true
	})
	return nil
}
