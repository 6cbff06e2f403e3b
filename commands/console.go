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

// console is where a command prints: results to Out, progress to Err.
type console struct {
	Out, Err io.Writer
}

// progress prints a line that is no part of the result.
func (c console) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(c.Err, format+"\n", args...)
}

// json prints a value as indented JSON.
func (c console) json(value any) error {
	e := json.NewEncoder(c.Out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// table collects rows and prints them in columns.
type table struct {
	rows [][]string
}

func newTable(head ...string) *table {
	return &table{rows: [][]string{head}}
}

func (t *table) add(cells ...any) {
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

// stamp prints a time in UTC.
func stamp(m cherviltide.Millis) string {
	return time.UnixMilli(int64(m)).UTC().Format(time.RFC3339)
}
