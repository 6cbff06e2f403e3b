package auditor_test

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write docs/FAULTS.md from the table")

const (
	page = "../docs/FAULTS.md"
	head = `# Fault matrix

This page is written by ` + "`go test ./auditor -update`" + ` from the table in auditor/matrix_test.go; CI fails when the two differ.
The invariants I1 to I8 are those of [design.md](design.md). "Switch" names the test or option that disables the mechanism and
shows the failure; "–" means that no such run is kept. "Result" is "passes" for a test that CI runs, or says what is open.

| fault | step | invariant | test | seed | switch | result |
|---|---|---|---|---|---|---|
`
)

// Guards against a fault matrix that names tests which do not exist.
func TestMatrixNamesExistingTests(t *testing.T) {
	for _, r := range matrix {
		if r.test == "" {
			require.NotEqual(t, passes, r.result, "%s/%s has no test", r.fault, r.step)
			continue
		}
		require.True(t, declared(t, r.folder, r.test), "%s does not declare %s", r.folder, r.test)
	}
}

// Guards against a page that differs from the table.
func TestPageShowsMatrix(t *testing.T) {
	want := render()
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(want), 0o600))
	}
	got, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, want, string(got))
}

func render() string {
	var b strings.Builder
	b.WriteString(head)
	for _, r := range matrix {
		test := "–"
		if r.test != "" {
			test = "`" + r.folder + "." + r.test + "`"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", r.fault, r.step, r.invariant, test, dash(r.seed), dash(r.toggle), r.result)
	}
	return b.String()
}

func dash(s string) string {
	if s == "" {
		return "–"
	}
	return s
}

// declared reports whether a test file of a folder declares a function.
func declared(t *testing.T, folder, name string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", folder, "*_test.go"))
	require.NoError(t, err)
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		for _, d := range parsed.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Name.Name == name {
				return true
			}
		}
	}
	return false
}
