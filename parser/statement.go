package parser

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"cherviltide.example/cherviltide/speller"
)

// word is a part of a line between blanks.
type word struct {
	text string
	// column is the position of the first character, from 1.
	column int
}

// setting is a name with its value.
type setting struct {
	name, value word
	// parsed is the typed value; it is nil when the value is wrong.
	parsed any
}

// statement is a line that holds a rule.
type statement struct {
	line    int
	keyword word
	names   []word
	// settings have different names, which all belong to the statement's form.
	settings  []setting
	requester string
	// wrong is true when the rule itself has a problem, so settings may be missing.
	wrong bool
}

// form is the shape of the statements with one keyword.
type form struct {
	// names are the words that follow the keyword, as messages show them.
	names []string
	// settings are in the order of the canonical format.
	settings []string
}

var forms = map[string]form{
	"Service":  {names: []string{"NAME"}, settings: []string{"Address", "Buckets", "Connections"}},
	"Kind":     {names: []string{"SERVICE", "NAME"}, settings: []string{"Method", "Path", "Class", "Priority", "Deadline", "AtMostOnce", "Objective"}},
	"Customer": {names: []string{"NAME"}, settings: []string{"Certificate", "Services"}},
}

var keywords = []string{"Service", "Kind", "Customer"}

// reader splits lines into statements and collects what is wrong with them.
type reader struct {
	line     int
	problems Problems
}

func (r *reader) fail(column int, suggestion, format string, args ...any) {
	r.problems = append(r.problems, Problem{Line: r.line, Column: column, Text: fmt.Sprintf(format, args...), Suggestion: suggestion})
}

// splitLines returns the lines of a file without their ends.
func splitLines(text string) []string {
	lines := strings.Split(text, "\n")
	for i := range lines {
		lines[i] = strings.TrimSuffix(lines[i], "\r")
	}
	return lines
}

// usualWords is the room for the words of a line; longer lines need a second allocation.
const usualWords = 16

// splitComment separates a line into its words and its comment. found is false when there is no comment.
func splitComment(line string) (words []word, comment string, found bool) {
	rule, comment, found := strings.Cut(line, "#")
	start, first, column := -1, 0, 0
	for i, c := range rule {
		column++
		blank := unicode.IsSpace(c)
		switch {
		case blank && start >= 0:
			words = append(words, word{text: rule[start:i], column: first})
			start = -1
		case !blank && start < 0:
			if words == nil {
				words = make([]word, 0, usualWords)
			}
			start, first = i, column
		}
	}
	if start >= 0 {
		words = append(words, word{text: rule[start:], column: first})
	}
	return words, strings.TrimSpace(comment), found
}

// read returns the statement of a line. ok is false when the line has none or its form is wrong.
func (r *reader) read(number int, line string) (s statement, ok bool) {
	r.line = number
	before := len(r.problems)
	if !utf8.ValidString(line) {
		r.fail(1, "", "the line is not valid UTF-8")
		return statement{}, false
	}
	words, comment, found := splitComment(line)
	if len(words) == 0 {
		return statement{}, false
	}
	if !found || !strings.ContainsFunc(comment, unicode.IsLetter) {
		r.fail(utf8.RuneCountInString(line)+1, "", "found no comment, expected # and who asked for the rule")
	}
	s = statement{line: number, keyword: words[0], requester: comment}
	f, known := forms[s.keyword.text]
	if !known {
		r.fail(s.keyword.column, speller.Suggest(s.keyword.text, keywords), "found %q, expected %s", s.keyword.text, speller.List(keywords))
		return s, false
	}
	r.names(&s, f, words[1:])
	s.wrong = len(r.problems) > before
	return s, !s.wrong
}

// names takes the names that follow the keyword, then the settings.
func (r *reader) names(s *statement, f form, words []word) {
	for i, expected := range f.names {
		if i == len(words) {
			r.fail(end(s.keyword, words), "", "found the end of the rule, expected %s %s", s.keyword.text, strings.Join(f.names, " "))
			return
		}
		if slices.Contains(f.settings, words[i].text) {
			r.fail(words[i].column, "", "found the setting %s, expected %s", words[i].text, expected)
			return
		}
		r.name(words[i], expected)
		s.names = append(s.names, words[i])
	}
	r.settings(s, f, words[len(f.names):])
}

// maxName is the length of the longest name, in characters.
const maxName = 63

// name checks the characters of a name.
func (r *reader) name(w word, expected string) {
	wrong := strings.ContainsFunc(w.text, func(c rune) bool {
		return !unicode.IsLetter(c) && !unicode.IsDigit(c) && !strings.ContainsRune("-_.", c)
	})
	if wrong || utf8.RuneCountInString(w.text) > maxName {
		r.fail(w.column, "", "found %q, expected a %s of at most %d letters, digits, hyphens, underscores and dots", w.text, expected, maxName)
	}
}

// settings takes the pairs of name and value.
func (r *reader) settings(s *statement, f form, words []word) {
	s.settings = make([]setting, 0, len(words)/2)
	for i := 0; i < len(words); i += 2 {
		name := words[i]
		known := slices.Contains(f.settings, name.text)
		if !known {
			r.fail(name.column, speller.Suggest(name.text, f.settings), "found %q, expected %s", name.text, speller.List(f.settings))
		}
		if i+1 == len(words) {
			if known {
				r.fail(end(name, nil), "", "found the end of the rule, expected a value for %s", name.text)
			}
			return
		}
		if slices.Contains(f.settings, words[i+1].text) {
			r.fail(words[i+1].column, "", "found the setting %s, expected a value for %s", words[i+1].text, name.text)
			i--
			continue
		}
		_, seen := s.find(name.text)
		if known && seen {
			r.fail(name.column, "", "found a second %s, expected it once", name.text)
		}
		if known && !seen {
			s.settings = append(s.settings, r.value(name, words[i+1]))
		}
	}
}

// value parses the value of a setting.
func (r *reader) value(name, value word) setting {
	parsed, wrong := values[name.text](value.text)
	if wrong != nil {
		column := value.column + utf8.RuneCountInString(value.text[:wrong.offset])
		r.fail(column, wrong.suggestion, "found %q, expected %s", wrong.found, wrong.expected)
		return setting{name: name, value: value}
	}
	return setting{name: name, value: value, parsed: parsed}
}

// end returns the column after the last word.
func end(first word, rest []word) int {
	last := first
	if len(rest) > 0 {
		last = rest[len(rest)-1]
	}
	return last.column + utf8.RuneCountInString(last.text)
}

// find returns the setting with a name.
func (s statement) find(name string) (setting, bool) {
	for _, x := range s.settings {
		if x.name.text == name {
			return x, true
		}
	}
	return setting{}, false
}

// column returns the column of a setting's value, or of the keyword when the rule does not have the setting.
func (s statement) column(name string) int {
	if x, ok := s.find(name); ok {
		return x.value.column
	}
	return s.keyword.column
}

// get returns the value of a setting, or the fallback when the rule does not have it.
func get[T any](s statement, name string, fallback T) T {
	x, _ := s.find(name)
	if v, ok := x.parsed.(T); ok {
		return v
	}
	return fallback
}
