// Package parser reads the rules file: plain text with one rule per line, each with a comment that names who requested it.
// It also formats rules files canonically and computes line diffs between two files.
package parser

import (
	"net/netip"
	"slices"

	"cherviltide.example/cherviltide"
)

// Defaults of the settings that a rule omits.
const (
	DefaultBuckets                        = 1024
	DefaultConnections                    = 2000
	DefaultPath                           = "/"
	DefaultClass                          = cherviltide.ClassNormal
	DefaultPriority                       = 5
	DefaultDeadline    cherviltide.Millis = 10_000
	DefaultObjective                      = 99.0
)

// Parse reads a rules file and returns its rules with revision 0. The error lists all problems of the file.
func Parse(text string) (cherviltide.Rules, error) {
	statements, problems := readStatements(text)
	var rules cherviltide.Rules
	for _, s := range statements {
		switch s.keyword.text {
		case "Service":
			rules.Services = append(rules.Services, newService(s))
		case "Kind":
			rules.Kinds = append(rules.Kinds, newKind(s))
		case "Customer":
			rules.Customers = append(rules.Customers, newCustomer(s))
		}
	}
	problems = append(problems, check(statements)...)
	if len(problems) > 0 {
		return cherviltide.Rules{}, newError("parser.Parse", problems)
	}
	return rules, nil
}

// readStatements returns the statements of a file. Statements with problems are included if they have all their names, so
// that an error in one rule causes no further problems in rules that refer to it.
func readStatements(text string) ([]statement, Problems) {
	r := &statementReader{}
	lines := splitLines(text)
	statements := make([]statement, 0, len(lines))
	for i, line := range lines {
		s, ok := r.readLine(i+1, line)
		if ok || len(s.names) > 0 && len(s.names) == len(syntaxes[s.keyword.text].names) {
			statements = append(statements, s)
		}
	}
	return statements, r.problems
}

func newError(op string, problems Problems) error {
	slices.SortStableFunc(problems, problems.compare)
	return &Error{
		Fault:    cherviltide.Fault{Op: op, Kind: cherviltide.KindInvalid, Err: problems},
		Problems: problems,
	}
}

func newSource(s statement) cherviltide.Source {
	return cherviltide.Source{Line: s.line, Requester: s.requester}
}

func newService(s statement) cherviltide.Service {
	name := s.names[0].text
	return cherviltide.Service{
		Name:        name,
		ID:          cherviltide.ServiceIDOf(name),
		Addresses:   settingValue[[]netip.AddrPort](s, "Address", nil),
		Buckets:     settingValue(s, "Buckets", DefaultBuckets),
		Connections: settingValue(s, "Connections", DefaultConnections),
		WarmUp:      newWarmUp(s),
		Source:      newSource(s),
	}
}

func newWarmUp(s statement) cherviltide.WarmUp {
	_, hasRate := s.findSetting("WarmUpRate")
	return cherviltide.WarmUp{
		Duration: settingValue[cherviltide.Millis](s, "WarmUp", 0),
		Rate:     settingValue(s, "WarmUpRate", 0.0),
		HasRate:  hasRate,
	}
}

func newKind(s statement) cherviltide.Kind {
	return cherviltide.Kind{
		Service:    s.names[0].text,
		Name:       s.names[1].text,
		Method:     settingValue(s, "Method", ""),
		PathPrefix: settingValue(s, "Path", DefaultPath),
		Class:      cherviltide.Class(settingValue(s, "Class", string(DefaultClass))),
		Priority:   settingValue(s, "Priority", DefaultPriority),
		Deadline:   settingValue(s, "Deadline", DefaultDeadline),
		AtMostOnce: settingValue(s, "AtMostOnce", false),
		Objective:  settingValue(s, "Objective", DefaultObjective),
		Source:     newSource(s),
	}
}

func newCustomer(s statement) cherviltide.Customer {
	return cherviltide.Customer{
		Name:        s.names[0].text,
		Certificate: settingValue(s, "Certificate", s.names[0].text),
		Services:    settingValue[[]string](s, "Services", nil),
		Source:      newSource(s),
	}
}
