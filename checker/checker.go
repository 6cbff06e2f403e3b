// Package checker judges a configuration before it is sent to control: errors as control would refuse them, entries that never
// take effect, limits that contradict each other, and the differences from the version in force. It guards operators against
// an accepted edit that refuses requests, which is the fault of a configuration that load shows first.
package checker

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/parser"
)

// EntryType is a type of entries of a configuration.
type EntryType string

// The types of entries.
const (
	EntryService  EntryType = "Service"
	EntryKind     EntryType = "Kind"
	EntryCustomer EntryType = "Customer"
	EntryRoute    EntryType = "Route"
	EntryLimits   EntryType = "Limits"
)

// Position is a place in a file; both numbers start at 1 and are 0 when they are not known.
type Position struct{ Line, Column int }

// Document is a configuration that control would accept, with the places of its entries.
type Document struct {
	Rules cherviltide.Rules
	// Locate returns the place of a setting of the entry with an index in its list of Rules, or of the entry itself for an
	// empty setting.
	Locate func(entry EntryType, index int, setting string) Position
}

// Limits are the limits of the processes that a configuration must fit.
type Limits struct {
	// TextBytes is the size of the largest file that control accepts.
	TextBytes int
	// FlowIdle is how long a flow without packets is kept when the configuration does not tell.
	FlowIdle cherviltide.Millis
}

// CheckText checks the text of a rules file. The document is nil when control would refuse the file.
func CheckText(text string, limits Limits) (*Document, []Finding) {
	text, findings, readable := checkEncoding(text, limits)
	if !readable {
		return nil, findings
	}
	rules, err := parser.Parse(text)
	lines := strings.Split(text, "\n")
	findings = append(findings, problemFindings(err, lines)...)
	if len(findings) > 0 {
		return nil, append(findings, OnlyErrorsChecked)
	}
	document := &Document{Rules: rules, Locate: func(entry EntryType, index int, setting string) Position {
		return locate(rules, lines, entry, index, setting)
	}}
	return document, CheckDocument(*document, limits)
}

// OnlyErrorsChecked accompanies errors: an entry with an error may be what makes another entry reachable, so warnings would be
// unreliable.
var OnlyErrorsChecked = Finding{
	Severity: SeverityWarning, Code: CodeOnlyErrorsChecked,
	Message: "the file has errors; entries that never take effect and contradicting limits are checked when it has none",
}

// locate returns the place of a setting in the lines of a rules file.
func locate(rules cherviltide.Rules, lines []string, entry EntryType, index int, setting string) Position {
	line := 0
	switch entry {
	case EntryService:
		line = rules.Services[index].Source.Line
	case EntryKind:
		line = rules.Kinds[index].Source.Line
	case EntryCustomer:
		line = rules.Customers[index].Source.Line
	}
	if line < 1 || line > len(lines) {
		return Position{}
	}
	return Position{Line: line, Column: parser.ColumnOf(lines[line-1], setting)}
}

// problemFindings converts the problems of a rules file.
func problemFindings(err error, lines []string) []Finding {
	if err == nil {
		return nil
	}
	var e *parser.Error
	if !errors.As(err, &e) {
		return []Finding{{Severity: SeverityError, Code: CodeInvalidEntry, Message: err.Error()}}
	}
	findings := make([]Finding, 0, len(e.Problems))
	for _, p := range e.Problems {
		f := Finding{Severity: SeverityError, Code: Code(p.Code), Line: p.Line, Column: p.Column, Entry: p.Entry, Message: p.Text}
		if p.Suggestion != "" {
			f.Message += fmt.Sprintf("; did you mean %s?", p.Suggestion)
		}
		if p.Code == parser.CodeInvalidEncoding {
			f.Column, f.Message = describeInvalidByte(lines[p.Line-1])
		}
		findings = append(findings, f)
	}
	return findings
}

// describeInvalidByte returns the column of the first byte of a line that is not UTF-8, and a message about it.
func describeInvalidByte(line string) (column int, message string) {
	for i, size := 0, 0; i < len(line); i += size {
		var c rune
		c, size = utf8.DecodeRuneInString(line[i:])
		column++
		if c != utf8.RuneError || size != 1 {
			continue
		}
		message = fmt.Sprintf("found byte 0x%X, expected UTF-8", line[i])
		if line[i] >= firstLatin1Letter {
			message += fmt.Sprintf("; in Latin-1 it is %c: save the file as UTF-8", rune(line[i]))
		}
		return column, message
	}
	return 1, "the line is not valid UTF-8"
}

// firstLatin1Letter is the first byte above ASCII that is a printable character in Latin-1.
const firstLatin1Letter = 0xA1

// byteOrderMark is the character U+FEFF in UTF-8, which some editors write at the start of a file.
const byteOrderMark = "\uFEFF"

// checkEncoding checks the size and the encoding of a text and returns it without a byte order mark. readable is false when
// further problems would only follow from the encoding or the size.
func checkEncoding(text string, limits Limits) (rest string, findings []Finding, readable bool) {
	fail := func(code Code, format string, args ...any) []Finding {
		return []Finding{{Severity: SeverityError, Code: code, Message: fmt.Sprintf(format, args...)}}
	}
	switch {
	case limits.TextBytes > 0 && len(text) > limits.TextBytes:
		return "", fail(CodeFileTooLarge, "the file has more than %d bytes, which is the most that control accepts", limits.TextBytes), false
	case strings.HasPrefix(text, "\xFF\xFE") || strings.HasPrefix(text, "\xFE\xFF"):
		return "", fail(CodeWrongEncoding, "found the byte order mark of UTF-16 (%X), expected UTF-8", text[:2]), false
	case strings.Count(text, "\x00") > len(text)/4:
		return "", fail(CodeWrongEncoding, "found %d zero bytes in %d bytes, as in UTF-16 or a binary file; expected UTF-8", strings.Count(text, "\x00"), len(text)), false
	}
	rest, found := strings.CutPrefix(text, byteOrderMark)
	if found {
		findings = fail(CodeByteOrderMark, "found a byte order mark (EF BB BF) before the first rule; save the file as UTF-8 without it")
		findings[0].Line, findings[0].Column = 1, 1
	}
	return rest, findings, true
}

// CheckJSONText checks the size and the encoding of a text that is not a rules file. Errors mean that reading it is useless.
func CheckJSONText(text string, limits Limits) []Finding {
	_, findings, _ := checkEncoding(text, limits)
	if len(findings) == 0 && strings.TrimSpace(text) == "" {
		findings = append(findings, Finding{Severity: SeverityError, Code: CodeInvalidJSON, Message: "the file is empty, expected a JSON object"})
	}
	return findings
}
