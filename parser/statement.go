package parser

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"cherviltide.example/cherviltide/speller"
)

// word is a part of a line that whitespace delimits.
type word struct {
	text string
	// column is the position of the first character in the line, from 1.
	column int
}

// setting is a name and its value.
type setting struct {
	name, value word
	// parsed is the typed value, or nil if the value is invalid.
	parsed any
}

// statement is a parsed line with a rule.
type statement struct {
	line    int
	keyword word
	names   []word
	// settings have distinct names, all of which the keyword's syntax allows.
	settings []setting
	// requester is the text of the comment, which names who requested the rule.
	requester string
	// invalid is true if the line has a problem, so settings may be missing.
	invalid bool
}

// syntax lists what follows a keyword.
type syntax struct {
	// names are the placeholders for the names after the keyword, as messages show them.
	names []string
	// settings are the allowed settings in the order of the canonical format.
	settings []string
}

var syntaxes = map[string]syntax{
	"Service":  {names: []string{"NAME"}, settings: []string{"Address", "Buckets", "Connections", "WarmUp", "WarmUpRate"}},
	"Kind":     {names: []string{"SERVICE", "NAME"}, settings: []string{"Method", "Path", "Class", "Priority", "Deadline", "AtMostOnce", "Objective"}},
	"Customer": {names: []string{"NAME"}, settings: []string{"Certificate", "Services"}},
}

var keywords = []string{"Service", "Kind", "Customer"}

// statementReader parses lines into statements and collects their problems.
type statementReader struct {
	line     int
	problems Problems
}

func (r *statementReader) addProblem(code Code, column int, suggestion, format string, args ...any) {
	r.problems = append(r.problems, Problem{Code: code, Line: r.line, Column: column, Text: fmt.Sprintf(format, args...), Suggestion: suggestion})
}

// splitLines returns the lines of a file without their line breaks.
func splitLines(text string) []string {
	lines := strings.Split(text, "\n")
	for i := range lines {
		lines[i] = strings.TrimSuffix(lines[i], "\r")
	}
	return lines
}

// initialWordCapacity is the number of words of a line that fit without a second allocation.
const initialWordCapacity = 16

// splitWords splits a line into its words and its comment.
func splitWords(line string) (words []word, comment string, hasComment bool) {
	rule, comment, hasComment := strings.Cut(line, "#")
	start, startColumn, column := -1, 0, 0
	for i, c := range rule {
		column++
		space := unicode.IsSpace(c)
		switch {
		case space && start >= 0:
			words = append(words, word{text: rule[start:i], column: startColumn})
			start = -1
		case !space && start < 0:
			if words == nil {
				words = make([]word, 0, initialWordCapacity)
			}
			start, startColumn = i, column
		}
	}
	if start >= 0 {
		words = append(words, word{text: rule[start:], column: startColumn})
	}
	return words, strings.TrimSpace(comment), hasComment
}

// readLine parses a line. ok is false if the line has no statement or an invalid one.
func (r *statementReader) readLine(number int, line string) (s statement, ok bool) {
	r.line = number
	problemsBefore := len(r.problems)
	if !utf8.ValidString(line) {
		r.addProblem(CodeInvalidEncoding, 1, "", "the line is not valid UTF-8")
		return statement{}, false
	}
	words, comment, hasComment := splitWords(line)
	if len(words) == 0 {
		return statement{}, false
	}
	if !hasComment || !strings.ContainsFunc(comment, unicode.IsLetter) {
		r.addProblem(CodeMissingRequester, utf8.RuneCountInString(line)+1, "", "found no comment, expected # and who requested the rule")
	}
	s = statement{line: number, keyword: words[0], requester: comment}
	allowed, known := syntaxes[s.keyword.text]
	if !known {
		r.addProblem(CodeUnknownKeyword, s.keyword.column, speller.Suggest(s.keyword.text, keywords), "found %q, expected %s", s.keyword.text, speller.JoinOr(keywords))
		return s, false
	}
	r.readNames(&s, allowed, words[1:])
	for i := problemsBefore; i < len(r.problems); i++ {
		r.problems[i].Entry = s.entry()
	}
	s.invalid = len(r.problems) > problemsBefore
	return s, !s.invalid
}

// readNames reads the names after the keyword, then the settings.
func (r *statementReader) readNames(s *statement, allowed syntax, words []word) {
	for i, expected := range allowed.names {
		if i == len(words) {
			r.addProblem(CodeMissingName, endColumn(s.keyword, words), "", "found the end of the rule, expected %s %s", s.keyword.text, strings.Join(allowed.names, " "))
			return
		}
		if slices.Contains(allowed.settings, words[i].text) {
			r.addProblem(CodeMissingName, words[i].column, "", "found the setting %s, expected %s", words[i].text, expected)
			return
		}
		r.checkName(words[i], expected)
		s.names = append(s.names, words[i])
	}
	r.readSettings(s, allowed, words[len(allowed.names):])
}

// maxNameLength is the length of the longest name, in characters.
const maxNameLength = 63

// checkName adds a problem if a name is too long or has characters that names must not have.
func (r *statementReader) checkName(w word, expected string) {
	invalid := strings.ContainsFunc(w.text, func(c rune) bool {
		return !unicode.IsLetter(c) && !unicode.IsDigit(c) && !strings.ContainsRune("-_.", c)
	})
	if invalid || utf8.RuneCountInString(w.text) > maxNameLength {
		r.addProblem(CodeInvalidName, w.column, "", "found %q, expected a %s of at most %d letters, digits, hyphens, underscores and dots", w.text, expected, maxNameLength)
	}
}

// readSettings reads the pairs of name and value.
func (r *statementReader) readSettings(s *statement, allowed syntax, words []word) {
	s.settings = make([]setting, 0, len(words)/2)
	for i := 0; i < len(words); i += 2 {
		name := words[i]
		known := slices.Contains(allowed.settings, name.text)
		if !known {
			r.addProblem(CodeUnknownSetting, name.column, speller.Suggest(name.text, allowed.settings), "found %q, expected %s", name.text, speller.JoinOr(allowed.settings))
		}
		if i+1 == len(words) {
			if known {
				r.addProblem(CodeMissingValue, endColumn(name, nil), "", "found the end of the rule, expected a value for %s", name.text)
			}
			return
		}
		if slices.Contains(allowed.settings, words[i+1].text) {
			r.addProblem(CodeMissingValue, words[i+1].column, "", "found the setting %s, expected a value for %s", words[i+1].text, name.text)
			i--
			continue
		}
		_, duplicate := s.findSetting(name.text)
		if known && duplicate {
			r.addProblem(CodeRepeatedSetting, name.column, "", "found a second %s, expected it once", name.text)
		}
		if known && !duplicate {
			s.settings = append(s.settings, r.parseValue(name, words[i+1]))
		}
	}
}

// parseValue parses the value of a setting. It adds a problem and leaves parsed nil if the value is invalid.
func (r *statementReader) parseValue(name, value word) setting {
	parsed, invalid := valueParsers[name.text](value.text)
	if invalid != nil {
		column := value.column + utf8.RuneCountInString(value.text[:invalid.offset])
		r.addProblem(CodeInvalidValue, column, invalid.suggestion, "found %q, expected %s", invalid.found, invalid.expected)
		return setting{name: name, value: value}
	}
	return setting{name: name, value: value, parsed: parsed}
}

// entry returns the keyword and the names of the rule.
func (s statement) entry() string {
	parts := []string{s.keyword.text}
	for _, n := range s.names {
		parts = append(parts, n.text)
	}
	return strings.Join(parts, " ")
}

// ColumnOf returns the column of a setting's value in the line of a rule, or of the rule's keyword when the rule does not have
// the setting. It is 1 for a blank line.
func ColumnOf(line, setting string) int {
	words, _, _ := splitWords(line)
	for i := 1; i+1 < len(words); i++ {
		if words[i].text == setting {
			return words[i+1].column
		}
	}
	if len(words) == 0 {
		return 1
	}
	return words[0].column
}

// endColumn returns the column after the last word.
func endColumn(first word, rest []word) int {
	last := first
	if len(rest) > 0 {
		last = rest[len(rest)-1]
	}
	return last.column + utf8.RuneCountInString(last.text)
}

// findSetting returns the setting with a name.
func (s statement) findSetting(name string) (setting, bool) {
	for _, candidate := range s.settings {
		if candidate.name.text == name {
			return candidate, true
		}
	}
	return setting{}, false
}

// valueColumn returns the column of a setting's value, or of the keyword if the rule does not have the setting.
func (s statement) valueColumn(name string) int {
	if x, ok := s.findSetting(name); ok {
		return x.value.column
	}
	return s.keyword.column
}

// settingValue returns the value of a setting, or the fallback if the rule does not have it or its value is invalid.
func settingValue[T any](s statement, name string, fallback T) T {
	x, _ := s.findSetting(name)
	if v, ok := x.parsed.(T); ok {
		return v
	}
	return fallback
}
