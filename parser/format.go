package parser

import (
	"slices"
	"strings"
)

// Format returns a file in the canonical format: one blank between words, settings in a fixed order, values in their
// shortest form. Comments, blank lines and the order of the rules stay. Formatting a formatted file changes nothing.
// The error lists the rules whose form or values are wrong; contradictions between rules do not matter.
func Format(text string) (string, error) {
	r := &reader{}
	var lines []string
	for i, line := range splitLines(text) {
		s, ok := r.read(i+1, line)
		if ok {
			lines = append(lines, s.format())
			continue
		}
		lines = append(lines, formatComment(line))
	}
	if len(r.problems) > 0 {
		return "", newError("parser.Format", r.problems)
	}
	for len(lines) > 0 && lines[len(lines)-1] == "" {
		lines = lines[:len(lines)-1]
	}
	if len(lines) == 0 {
		return "", nil
	}
	return strings.Join(lines, "\n") + "\n", nil
}

// formatComment prints a line that holds no rule.
func formatComment(line string) string {
	_, comment, found := splitComment(line)
	if !found {
		return ""
	}
	return strings.TrimSpace("# " + comment)
}

// format prints the statement on one line.
func (s statement) format() string {
	parts := []string{s.keyword.text}
	for _, n := range s.names {
		parts = append(parts, n.text)
	}
	order := forms[s.keyword.text].settings
	for _, x := range slices.SortedFunc(slices.Values(s.settings), func(a, b setting) int {
		return slices.Index(order, a.name.text) - slices.Index(order, b.name.text)
	}) {
		parts = append(parts, x.name.text, render(x.parsed))
	}
	return strings.Join(parts, " ") + " # " + s.requester
}
