package golden

import (
	"go/scanner"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
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

func moduleRoot(t *testing.T) string {
	t.Helper()
	root, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(root, "go.mod")); err == nil {
			return root
		}
		if root == filepath.Dir(root) {
			t.Fatal("no module around the test")
		}
		root = filepath.Dir(root)
	}
}

func literalsOf(path string, found map[string]bool) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var s scanner.Scanner
	files := token.NewFileSet()
	s.Init(files.AddFile(path, files.Base(), len(content)), content, nil, 0)
	for {
		_, kind, literal := s.Scan()
		if kind == token.EOF {
			return nil
		}
		if kind == token.STRING {
			if text, err := strconv.Unquote(literal); err == nil {
				found[text] = true
			}
		}
	}
}
