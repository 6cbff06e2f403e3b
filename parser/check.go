package parser

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/speller"
)

// checker finds rules that contradict each other or that can have no effect.
type checker struct {
	problems  Problems
	services  map[string]int
	ids       map[cherviltide.ServiceID]string
	addresses map[netip.AddrPort]string
	// kinds and matches have the line of each name and of each path and method, by service.
	kinds, matches map[string]int
	customers      map[string]int
	certificates   map[string]string
}

// check returns the problems between the statements of a file.
func check(statements []statement) Problems {
	c := &checker{
		services:     map[string]int{},
		ids:          map[cherviltide.ServiceID]string{},
		addresses:    map[netip.AddrPort]string{},
		kinds:        map[string]int{},
		matches:      map[string]int{},
		customers:    map[string]int{},
		certificates: map[string]string{},
	}
	for _, s := range statements {
		if s.keyword.text == "Service" {
			c.service(s)
		}
	}
	for _, s := range statements {
		switch s.keyword.text {
		case "Kind":
			c.kind(s)
		case "Customer":
			c.customer(s)
		}
	}
	return c.problems
}

func (c *checker) fail(s statement, column int, format string, args ...any) {
	c.problems = append(c.problems, Problem{Line: s.line, Column: column, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) service(s statement) {
	name := s.names[0]
	if line, ok := c.services[name.text]; ok {
		c.fail(s, name.column, "service %s is defined on line %d already", name.text, line)
		return
	}
	c.services[name.text] = s.line
	id := cherviltide.ServiceIDOf(name.text)
	if other, ok := c.ids[id]; ok {
		c.fail(s, name.column, "service %s has the same ID on the wire as service %s; expected another name", name.text, other)
	}
	c.ids[id] = name.text
	if _, ok := s.find("Address"); !ok && !s.wrong {
		c.fail(s, end(name, nil), "service %s has no Address", name.text)
	}
	for _, a := range get[[]netip.AddrPort](s, "Address", nil) {
		if other, ok := c.addresses[a]; ok {
			c.fail(s, s.column("Address"), "address %s belongs to service %s already", a, other)
			continue
		}
		c.addresses[a] = name.text
	}
}

// known reports a service that the file does not define.
func (c *checker) known(s statement, column int, name string) {
	if _, ok := c.services[name]; ok {
		return
	}
	c.problems = append(c.problems, Problem{
		Line: s.line, Column: column,
		Text:       fmt.Sprintf("found %q, expected a service of this file", name),
		Suggestion: speller.Suggest(name, slices.Sorted(maps.Keys(c.services))),
	})
}

func (c *checker) kind(s statement) {
	service, name := s.names[0], s.names[1]
	c.known(s, service.column, service.text)
	key := service.text + " " + name.text
	if line, ok := c.kinds[key]; ok {
		c.fail(s, name.column, "kind %s of service %s is defined on line %d already", name.text, service.text, line)
		return
	}
	c.kinds[key] = s.line
	c.match(s)
	method := get(s, "Method", "")
	if get(s, "AtMostOnce", false) && slices.Contains([]string{"GET", "HEAD", "OPTIONS"}, method) {
		c.fail(s, s.column("AtMostOnce"), "method %s is safe to repeat; expected AtMostOnce false or another method", method)
	}
}

// match finds kinds that no request can reach. The longest path prefix wins, and of two kinds with the same path the
// first that takes the method, so only a kind with the same path can take all requests of another.
func (c *checker) match(s statement) {
	service, path, method := s.names[0].text, get(s, "Path", DefaultPath), get(s, "Method", "")
	for _, m := range slices.Compact([]string{"", method}) {
		if line, ok := c.matches[service+" "+m+" "+path]; ok {
			c.fail(s, s.column("Path"), "the kind can never match: line %d takes the same path and method", line)
			return
		}
	}
	c.matches[service+" "+method+" "+path] = s.line
}

func (c *checker) customer(s statement) {
	name := s.names[0]
	if line, ok := c.customers[name.text]; ok {
		c.fail(s, name.column, "customer %s is defined on line %d already", name.text, line)
		return
	}
	c.customers[name.text] = s.line
	certificate := get(s, "Certificate", name.text)
	if other, ok := c.certificates[certificate]; ok {
		c.fail(s, s.column("Certificate"), "certificate %s belongs to customer %s already", certificate, other)
	}
	c.certificates[certificate] = name.text
	services, ok := s.find("Services")
	if !ok && !s.wrong {
		c.fail(s, end(name, nil), "customer %s has no Services", name.text)
	}
	if !ok {
		return
	}
	seen := map[string]bool{}
	column := services.value.column
	for _, x := range get[[]string](s, "Services", nil) {
		c.known(s, column, x)
		if seen[x] {
			c.fail(s, column, "found %s a second time, expected it once", x)
		}
		seen[x] = true
		column += len([]rune(x)) + 1
	}
}
