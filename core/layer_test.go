// Package core_test checks the rules that hold for the whole of core.
package core_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var forbiddenImports = []string{"daisyyoke/io/", "net/http", "os", "encoding/", "google.golang.org/", "log", "sync"}

func TestCoreImportsNothingThatTouchesTheWorld(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		checkImports(t, path)
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, files > 0)
}

func checkImports(t *testing.T, path string) {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	assert.NilError(t, err)
	for _, s := range f.Imports {
		name, err := strconv.Unquote(s.Path.Value)
		assert.NilError(t, err)
		for _, b := range forbiddenImports {
			match := name == b || strings.HasSuffix(b, "/") && strings.HasPrefix(name, b)
			assert.Check(t, !match, "%s imports %s", path, name)
		}
	}
}
