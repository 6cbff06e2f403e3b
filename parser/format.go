package parser

import (
	"slices"
	"strings"
)

// Format returns a file in the canonical format: one space between words, settings in a fixed order, values in their
// shortest notation. Comments, blank lines and the order of the rules are preserved, except that blank lines at the end of
// the file are removed. Format is idempotent. The error lists the rules with wrong syntax or values; conflicts between rules
// are not checked.
func Format(text string) (string, error) {
	r := &statementReader{}
	var lines []string
	for i, line := range splitLines(text) {
		s, ok := r.readLine(i+1, line)
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

// formatComment returns the canonical format of a line without a rule.
func formatComment(line string) string {
	_, comment, hasComment := splitWords(line)
	if !hasComment {
		return ""
	}
	return strings.TrimSpace("# " + comment)
}

// format returns the canonical format of the statement, without the line break.
func (s statement) format() string {
	parts := []string{s.keyword.text}
	for _, n := range s.names {
		parts = append(parts, n.text)
	}
	order := syntaxes[s.keyword.text].settings
	for _, st := range slices.SortedFunc(slices.Values(s.settings), func(a, b setting) int {
		return slices.Index(order, a.name.text) - slices.Index(order, b.name.text)
	}) {
		parts = append(parts, st.name.text, formatValue(st.parsed))
	}
	return strings.Join(parts, " ") + " # " + s.requester
}
