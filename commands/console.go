package commands

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"cherviltide.example/cherviltide"
)

// console has the outputs of a command: results go to Out, progress and warnings to Err.
type console struct {
	Out, Err io.Writer
}

// progress prints a line that is not part of the result.
func (c console) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(c.Err, format+"\n", args...)
}

// printJSON prints a value as indented JSON.
func (c console) printJSON(value any) error {
	e := json.NewEncoder(c.Out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// table collects rows and prints them in aligned columns.
type table struct {
	rows [][]string
}

func newTable(header ...string) *table {
	return &table{rows: [][]string{header}}
}

func (t *table) addRow(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		text := fmt.Sprint(c)
		if text == "" {
			text = "-"
		}
		row = append(row, text)
	}
	t.rows = append(t.rows, row)
}

func (t *table) write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, r := range t.rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}

// formatTime returns a time in UTC as RFC 3339.
func formatTime(m cherviltide.Millis) string {
	return time.UnixMilli(int64(m)).UTC().Format(time.RFC3339)
}
