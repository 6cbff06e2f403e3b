package parser

import (
	"fmt"
	"strings"

	"cherviltide.example/cherviltide"
)

// Error lists all problems of a rules file.
type Error struct {
	cherviltide.Fault
	Problems Problems
}

// Code identifies a class of problems. Codes are stable, so that tools can act on them.
type Code string

// The codes of problems.
const (
	CodeInvalidEncoding      Code = "InvalidEncoding"
	CodeMissingRequester     Code = "MissingRequester"
	CodeUnknownKeyword       Code = "UnknownKeyword"
	CodeMissingName          Code = "MissingName"
	CodeInvalidName          Code = "InvalidName"
	CodeUnknownSetting       Code = "UnknownSetting"
	CodeMissingValue         Code = "MissingValue"
	CodeRepeatedSetting      Code = "RepeatedSetting"
	CodeInvalidValue         Code = "InvalidValue"
	CodeMissingSetting       Code = "MissingSetting"
	CodeDuplicateEntry       Code = "DuplicateEntry"
	CodeDuplicateID          Code = "DuplicateId"
	CodeDuplicateAddress     Code = "DuplicateAddress"
	CodeDuplicateCertificate Code = "DuplicateCertificate"
	CodeRepeatedService      Code = "RepeatedService"
	CodeUnknownService       Code = "UnknownService"
	CodeKindNeverMatches     Code = "KindNeverMatches"
	CodeSafeMethodAtMostOnce Code = "SafeMethodAtMostOnce"
	CodeRateWithoutWarmUp    Code = "RateWithoutWarmUp"
)

// Problem is one error in a rules file.
type Problem struct {
	Code Code
	// Entry is the keyword and the names of the rule, or empty when they are not known.
	Entry string
	// Line and Column start at 1; columns count characters.
	Line, Column int
	// Text describes the problem, including what was found and what was expected.
	Text string
	// Suggestion is the known word closest to a misspelt one, or empty.
	Suggestion string
}

// Problems is a list of problems in the order of their lines and columns.
type Problems []Problem

// String returns the problem as LINE:COLUMN: TEXT.
func (p Problem) String() string {
	text := fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Text)
	if p.Suggestion != "" {
		text += fmt.Sprintf("; did you mean %s?", p.Suggestion)
	}
	return text
}

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

func (p Problems) compare(a, b Problem) int {
	if a.Line != b.Line {
		return a.Line - b.Line
	}
	return a.Column - b.Column
}
