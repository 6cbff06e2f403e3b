package parser

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/speller"
)

// checker finds rules that conflict with each other or that never take effect.
type checker struct {
	problems Problems
	// suggestions counts the unknown services for which a suggestion was sought.
	suggestions      int
	serviceLines     map[string]int
	serviceByID      map[cherviltide.ServiceID]string
	serviceByAddress map[netip.AddrPort]string
	// kindLines maps a service and kind name to the line of the rule, matchLines a service, method and path.
	kindLines, matchLines map[string]int
	customerLines         map[string]int
	customerByCertificate map[string]string
}

// check returns the conflicts between the statements of a file. Services are collected first, because other rules may
// refer to a service that is defined later in the file.
func check(statements []statement) Problems {
	c := &checker{
		serviceLines:          map[string]int{},
		serviceByID:           map[cherviltide.ServiceID]string{},
		serviceByAddress:      map[netip.AddrPort]string{},
		kindLines:             map[string]int{},
		matchLines:            map[string]int{},
		customerLines:         map[string]int{},
		customerByCertificate: map[string]string{},
	}
	for _, s := range statements {
		if s.keyword.text == "Service" {
			c.checkService(s)
		}
	}
	for _, s := range statements {
		switch s.keyword.text {
		case "Kind":
			c.checkKind(s)
		case "Customer":
			c.checkCustomer(s)
		}
	}
	return c.problems
}

func (c *checker) addProblem(code Code, s statement, column int, format string, args ...any) {
	c.problems = append(c.problems, Problem{Code: code, Entry: s.entry(), Line: s.line, Column: column, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) checkService(s statement) {
	name := s.names[0]
	if line, ok := c.serviceLines[name.text]; ok {
		c.addProblem(CodeDuplicateEntry, s, name.column, "service %s is defined on line %d already", name.text, line)
		return
	}
	c.serviceLines[name.text] = s.line
	id := cherviltide.ServiceIDOf(name.text)
	if other, ok := c.serviceByID[id]; ok {
		c.addProblem(CodeDuplicateID, s, name.column, "service %s has the same ID on the wire as service %s; expected another name", name.text, other)
	}
	c.serviceByID[id] = name.text
	if _, ok := s.findSetting("Address"); !ok && !s.invalid {
		c.addProblem(CodeMissingSetting, s, endColumn(name, nil), "service %s has no Address", name.text)
	}
	if _, ok := s.findSetting("WarmUpRate"); ok && !s.invalid {
		if _, ok := s.findSetting("WarmUp"); !ok {
			c.addProblem(CodeRateWithoutWarmUp, s, s.valueColumn("WarmUpRate"), "service %s has a WarmUpRate that never takes effect; expected WarmUp too", name.text)
		}
	}
	for _, a := range settingValue[[]netip.AddrPort](s, "Address", nil) {
		if other, ok := c.serviceByAddress[a]; ok {
			c.addProblem(CodeDuplicateAddress, s, s.valueColumn("Address"), "address %s belongs to service %s already", a, other)
			continue
		}
		c.serviceByAddress[a] = name.text
	}
}

// maxServiceSuggestions bounds the unknown services of a file that get a suggestion, each of which compares all names. Without
// it a file of 1.1 MiB with 10,000 services and 60,000 unknown ones was not checked within 10 minutes, in control as well.
const maxServiceSuggestions = 100

// requireService adds a problem if the file does not define the service.
func (c *checker) requireService(s statement, column int, name string) {
	if _, ok := c.serviceLines[name]; ok {
		return
	}
	suggestion := ""
	if c.suggestions < maxServiceSuggestions {
		c.suggestions++
		suggestion = speller.Suggest(name, slices.Sorted(maps.Keys(c.serviceLines)))
	}
	c.problems = append(c.problems, Problem{
		Code: CodeUnknownService, Entry: s.entry(), Line: s.line, Column: column,
		Text:       fmt.Sprintf("found %q, expected a service of this file", name),
		Suggestion: suggestion,
	})
}

func (c *checker) checkKind(s statement) {
	service, name := s.names[0], s.names[1]
	c.requireService(s, service.column, service.text)
	key := service.text + " " + name.text
	if line, ok := c.kindLines[key]; ok {
		c.addProblem(CodeDuplicateEntry, s, name.column, "kind %s of service %s is defined on line %d already", name.text, service.text, line)
		return
	}
	c.kindLines[key] = s.line
	c.checkReachable(s)
	method := settingValue(s, "Method", "")
	if settingValue(s, "AtMostOnce", false) && slices.Contains([]string{"GET", "HEAD", "OPTIONS"}, method) {
		c.addProblem(CodeSafeMethodAtMostOnce, s, s.valueColumn("AtMostOnce"), "method %s is safe to repeat; expected AtMostOnce false or another method", method)
	}
}

// checkReachable adds a problem if no request can match the kind. A request matches the longest path prefix and, among kinds
// with the same path, the first one that accepts its method. So only an earlier kind with the same path can hide another.
func (c *checker) checkReachable(s statement) {
	service, path, method := s.names[0].text, settingValue(s, "Path", DefaultPath), settingValue(s, "Method", "")
	for _, earlier := range slices.Compact([]string{"", method}) {
		if line, ok := c.matchLines[service+" "+earlier+" "+path]; ok {
			c.addProblem(CodeKindNeverMatches, s, s.valueColumn("Path"), "the kind can never match: line %d takes the same path and method", line)
			return
		}
	}
	c.matchLines[service+" "+method+" "+path] = s.line
}

func (c *checker) checkCustomer(s statement) {
	name := s.names[0]
	if line, ok := c.customerLines[name.text]; ok {
		c.addProblem(CodeDuplicateEntry, s, name.column, "customer %s is defined on line %d already", name.text, line)
		return
	}
	c.customerLines[name.text] = s.line
	certificate := settingValue(s, "Certificate", name.text)
	if other, ok := c.customerByCertificate[certificate]; ok {
		c.addProblem(CodeDuplicateCertificate, s, s.valueColumn("Certificate"), "certificate %s belongs to customer %s already", certificate, other)
	}
	c.customerByCertificate[certificate] = name.text
	services, ok := s.findSetting("Services")
	if !ok && !s.invalid {
		c.addProblem(CodeMissingSetting, s, endColumn(name, nil), "customer %s has no Services", name.text)
	}
	if !ok {
		return
	}
	seen := map[string]bool{}
	column := services.value.column
	for _, service := range settingValue[[]string](s, "Services", nil) {
		c.requireService(s, column, service)
		if seen[service] {
			c.addProblem(CodeRepeatedService, s, column, "found %s a second time, expected it once", service)
		}
		seen[service] = true
		column += len([]rune(service)) + 1
	}
}
