// Package parser reads the rules file: plain text, one rule a line, each with a comment that says who asked for it.
package parser

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"cherviltide.example/cherviltide"
)

// Defaults of a service.
const (
	DefaultBuckets     = 1024
	DefaultConnections = 2000
)

// parsing collects the rules and the problems of one file.
type parsing struct {
	rules    cherviltide.Rules
	problems Problems
}

// Parse reads a rules file and returns its rules with revision 0. The error lists all problems.
func Parse(text string) (cherviltide.Rules, error) {
	p := &parsing{}
	for i, line := range strings.Split(text, "\n") {
		p.line(i+1, line)
	}
	if len(p.problems) > 0 {
		return cherviltide.Rules{}, &Error{
			Fault:    cherviltide.Fault{Op: "parser.Parse", Kind: cherviltide.KindInvalid, Err: p.problems},
			Problems: p.problems,
		}
	}
	return p.rules, nil
}

func (p *parsing) line(number int, line string) {
	rule, comment, found := strings.Cut(line, "#")
	words := strings.Fields(rule)
	if len(words) == 0 {
		return
	}
	if !found || strings.TrimSpace(comment) == "" {
		p.fail(number, len(line)+1, "the rule has no comment that says who asked for it")
		return
	}
	switch words[0] {
	case "Service":
		p.service(number, words[1:])
	case "Kind":
		p.kind(number, words[1:])
	case "Customer":
		p.customer(number, words[1:])
	default:
		p.fail(number, strings.Index(line, words[0])+1, fmt.Sprintf("found %q, expected Service, Kind or Customer", words[0]))
	}
}

func (p *parsing) fail(line, column int, text string) {
	p.problems = append(p.problems, Problem{Line: line, Column: column, Text: text})
}

func (p *parsing) service(line int, words []string) {
	if len(words) == 0 {
		p.fail(line, 1, "the service has no name")
		return
	}
	s := cherviltide.Service{
		Name:        words[0],
		ID:          cherviltide.ServiceIDOf(words[0]),
		Buckets:     DefaultBuckets,
		Connections: DefaultConnections,
	}
	p.pairs(line, words[1:], func(name, value string) error {
		var err error
		switch name {
		case "Address":
			s.Addresses, err = addresses(value)
		case "Buckets":
			s.Buckets, err = positive(value)
		case "Connections":
			s.Connections, err = positive(value)
		default:
			err = fmt.Errorf("found %q, expected Address, Buckets or Connections", name)
		}
		return err
	})
	if len(s.Addresses) == 0 {
		p.fail(line, 1, "the service has no Address")
	}
	p.rules.Services = append(p.rules.Services, s)
}

func (p *parsing) kind(line int, words []string) {
	if len(words) < 2 {
		p.fail(line, 1, "expected Kind SERVICE NAME")
		return
	}
	k := cherviltide.Kind{Service: words[0], Name: words[1], PathPrefix: "/", Class: cherviltide.ClassNormal, Priority: 5, Deadline: 10_000, Objective: 99}
	p.pairs(line, words[2:], func(name, value string) error {
		var err error
		switch name {
		case "Method":
			k.Method = value
		case "Path":
			k.PathPrefix = value
		case "Class":
			k.Class = cherviltide.Class(value)
		case "Priority":
			k.Priority, err = positive(value)
		case "Deadline":
			var d time.Duration
			d, err = time.ParseDuration(value)
			k.Deadline = cherviltide.MillisOf(d)
		case "AtMostOnce":
			k.AtMostOnce, err = strconv.ParseBool(value)
		case "Objective":
			k.Objective, err = strconv.ParseFloat(value, 64)
		default:
			err = fmt.Errorf("found %q, expected Method, Path, Class, Priority, Deadline, AtMostOnce or Objective", name)
		}
		return err
	})
	if _, ok := p.rules.Service(k.Service); !ok {
		p.fail(line, 1, fmt.Sprintf("service %q is not defined above", k.Service))
	}
	p.rules.Kinds = append(p.rules.Kinds, k)
}

func (p *parsing) customer(line int, words []string) {
	if len(words) == 0 {
		p.fail(line, 1, "the customer has no name")
		return
	}
	c := cherviltide.Customer{Name: words[0], Certificate: words[0]}
	p.pairs(line, words[1:], func(name, value string) error {
		switch name {
		case "Certificate":
			c.Certificate = value
		case "Services":
			c.Services = strings.Split(value, ",")
		default:
			return fmt.Errorf("found %q, expected Certificate or Services", name)
		}
		return nil
	})
	p.rules.Customers = append(p.rules.Customers, c)
}

// pairs passes each name with its value to set.
func (p *parsing) pairs(line int, words []string, set func(name, value string) error) {
	for i := 0; i < len(words); i += 2 {
		if i+1 == len(words) {
			p.fail(line, 1, fmt.Sprintf("%s has no value", words[i]))
			return
		}
		if err := set(words[i], words[i+1]); err != nil {
			p.fail(line, 1, err.Error())
		}
	}
}

func addresses(value string) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for _, part := range strings.Split(value, ",") {
		a, err := netip.ParseAddrPort(part)
		if err != nil {
			return nil, err
		}
		list = append(list, a)
	}
	return list, nil
}

func positive(value string) (int, error) {
	n, err := strconv.Atoi(value)
	if err != nil || n <= 0 {
		return 0, fmt.Errorf("found %q, expected a whole number above 0", value)
	}
	return n, nil
}
