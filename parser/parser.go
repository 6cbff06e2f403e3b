// Package parser reads the rules file: plain text, one rule a line, each with a comment that says who asked for it.
// It also prints files in the canonical format and lists the lines in which two files differ.
package parser

import (
	"net/netip"
	"slices"

	"cherviltide.example/cherviltide"
)

// Defaults of the settings that a rule leaves out.
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
	statements, problems := readAll(text)
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

// readAll returns the statements of a file. Statements with problems are included as far as their names are known, so
// that a mistake in one rule does not make others look wrong.
func readAll(text string) ([]statement, Problems) {
	r := &reader{}
	lines := splitLines(text)
	statements := make([]statement, 0, len(lines))
	for i, line := range lines {
		s, ok := r.read(i+1, line)
		if ok || len(s.names) > 0 && len(s.names) == len(forms[s.keyword.text].names) {
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
		Addresses:   get[[]netip.AddrPort](s, "Address", nil),
		Buckets:     get(s, "Buckets", DefaultBuckets),
		Connections: get(s, "Connections", DefaultConnections),
		Source:      newSource(s),
	}
}

func newKind(s statement) cherviltide.Kind {
	return cherviltide.Kind{
		Service:    s.names[0].text,
		Name:       s.names[1].text,
		Method:     get(s, "Method", ""),
		PathPrefix: get(s, "Path", DefaultPath),
		Class:      cherviltide.Class(get(s, "Class", string(DefaultClass))),
		Priority:   get(s, "Priority", DefaultPriority),
		Deadline:   get(s, "Deadline", DefaultDeadline),
		AtMostOnce: get(s, "AtMostOnce", false),
		Objective:  get(s, "Objective", DefaultObjective),
		Source:     newSource(s),
	}
}

func newCustomer(s statement) cherviltide.Customer {
	return cherviltide.Customer{
		Name:        s.names[0].text,
		Certificate: get(s, "Certificate", s.names[0].text),
		Services:    get[[]string](s, "Services", nil),
		Source:      newSource(s),
	}
}
