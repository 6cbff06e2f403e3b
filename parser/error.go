package parser

import (
	"fmt"
	"strings"

	"cherviltide.example/cherviltide"
)

// Error lists everything that is wrong with a rules file.
type Error struct {
	cherviltide.Fault
	Problems Problems
}

// Problem is one mistake in a rules file. Lines and columns start at 1.
type Problem struct {
	Line, Column int
	Text         string
}

// Problems is a list of mistakes in the order of their lines.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, x := range p {
		lines = append(lines, fmt.Sprintf("%d:%d: %s", x.Line, x.Column, x.Text))
	}
	return strings.Join(lines, "\n")
}
