package checker

import (
	"fmt"
	"slices"
	"strings"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/parser"
)

// documentChecker collects the warnings about a valid configuration.
type documentChecker struct {
	Document
	limits   Limits
	findings []Finding
}

// CheckDocument returns the warnings about a configuration that control would accept: entries that never take effect and limits
// that contradict each other.
func CheckDocument(d Document, limits Limits) []Finding {
	c := &documentChecker{Document: d, limits: limits}
	c.checkServices()
	for i, k := range d.Rules.Kinds {
		c.checkKind(i, k)
	}
	for i, r := range d.Rules.Routes {
		c.checkRoute(i, r)
	}
	if len(d.Rules.Services)+len(d.Rules.Routes)+len(d.Rules.Customers) == 0 {
		c.findings = append(c.findings, Finding{
			Severity: SeverityWarning, Code: CodeNoRules, Message: "the file has no entries; in force, it would remove every service",
		})
	}
	return c.findings
}

func (c *documentChecker) warn(code Code, entry EntryType, index int, setting, name, format string, args ...any) {
	at := c.Locate(entry, index, setting)
	c.findings = append(c.findings, Finding{
		Severity: SeverityWarning, Code: code, Line: at.Line, Column: at.Column,
		Entry: string(entry) + " " + name, Message: fmt.Sprintf(format, args...),
	})
}

// reach tells what leads requests to a service.
type reach struct {
	kinds, customers, routes int
	// hasWeight is true when a route sends it new flows.
	hasWeight bool
}

func (c *documentChecker) reachByService() map[string]*reach {
	byService := make(map[string]*reach, len(c.Rules.Services))
	for _, s := range c.Rules.Services {
		byService[s.Name] = &reach{}
	}
	update := func(service string, change func(*reach)) {
		if r := byService[service]; r != nil {
			change(r)
		}
	}
	for _, k := range c.Rules.Kinds {
		update(k.Service, func(r *reach) { r.kinds++ })
	}
	for _, customer := range c.Rules.Customers {
		for _, service := range customer.Services {
			update(service, func(r *reach) { r.customers++ })
		}
	}
	for _, route := range c.Rules.Routes {
		for _, share := range route.Shares {
			update(share.Service, func(r *reach) { r.routes, r.hasWeight = r.routes+1, r.hasWeight || share.Weight > 0 })
		}
	}
	return byService
}

func (c *documentChecker) checkServices() {
	byService := c.reachByService()
	byID := make(map[cherviltide.ServiceID]string, len(c.Rules.Services))
	for i, s := range c.Rules.Services {
		r := byService[s.Name]
		switch {
		case r.kinds+r.routes == 0:
			c.warn(CodeServiceNotReached, EntryService, i, "", s.Name, "no kind and no route names the service, so all its requests are refused")
		case r.kinds > 0 && r.customers == 0:
			c.warn(CodeServiceWithoutCustomer, EntryService, i, "", s.Name, "no customer may reach the service, so its %d kinds never match", r.kinds)
		case r.kinds == 0 && !r.hasWeight:
			c.warn(CodeServiceTakesNoNewFlows, EntryService, i, "", s.Name, "every route that names the service has a share of 0 for it (%d routes)", r.routes)
		}
		if other, exists := byID[s.ID]; !exists {
			byID[s.ID] = s.Name
		} else if other == s.Name {
			c.warn(CodeDuplicateEntry, EntryService, i, "", s.Name, "the service is defined more than once; only the first definition counts")
		} else {
			c.warn(CodeDuplicateID, EntryService, i, "", s.Name, "the service has the same ID on the wire as service %s; one of them needs another name", other)
		}
		c.checkWarmUp(i, s, r)
		for _, a := range s.Addresses {
			if !a.Addr().Is4() {
				c.warn(CodeAddressNotServed, EntryService, i, "Address", s.Name, "address %s is never served: entries take IPv4 only", a)
			}
		}
	}
}

// checkWarmUp checks the warm-up of a service, which only agents of relayed flows follow.
func (c *documentChecker) checkWarmUp(i int, s cherviltide.Service, r *reach) {
	w := s.WarmUp
	switch {
	case w.Duration == 0 && w.HasRate:
		c.warn(CodeWarmUpWithoutEffect, EntryService, i, "WarmUpRate", s.Name, "the rate of %v requests per second while cold has no effect without the time of the warm-up", w.Rate)
	case w.Duration > 0 && r.routes == 0:
		c.warn(CodeWarmUpWithoutEffect, EntryService, i, "WarmUp", s.Name, "the warm-up of %s has no effect: it paces the flows of routes, and no route names the service", parser.FormatMillis(w.Duration))
	}
}

func (c *documentChecker) checkKind(i int, k cherviltide.Kind) {
	name := k.Service + " " + k.Name
	if part := refusedPathPart(k.PathPrefix); part != "" {
		c.warn(CodePathNeverMatches, EntryKind, i, "Path", name, "path %s never matches: agents refuse requests whose path has %s", k.PathPrefix, part)
	}
	// Long transfers have packets all the time.
	if k.Class != cherviltide.ClassBulky {
		c.checkIdleTime(EntryKind, i, name, k.Deadline)
	}
}

// refusedPathPart returns what makes agents refuse all paths with a prefix, or "". The last segment may continue.
func refusedPathPart(prefix string) string {
	segments := strings.Split(prefix, "/")
	for i, s := range segments {
		switch {
		case strings.Contains(s, `\`):
			return "a backslash"
		case i == 0 || i == len(segments)-1:
		case s == "":
			return "an empty segment"
		case s == "." || s == "..":
			return "the segment " + s
		}
	}
	return ""
}

// checkIdleTime compares a deadline with the time for which a flow without packets is kept.
func (c *documentChecker) checkIdleTime(entry EntryType, i int, name string, deadline cherviltide.Millis) {
	idle := c.limits.FlowIdle
	if c.Rules.FlowIdle > 0 {
		idle = c.Rules.FlowIdle
	}
	if idle > 0 && deadline > idle {
		c.warn(CodeDeadlineAboveIdleTime, entry, i, "Deadline", name, "the deadline of %s is above the %s after which a flow without packets ends, so that a caller that waits longer needs keep-alive packets",
			parser.FormatMillis(deadline), parser.FormatMillis(idle))
	}
}

func (c *documentChecker) checkRoute(i int, r cherviltide.Route) {
	if r.Goal > r.Deadline {
		c.warn(CodeGoalAboveDeadline, EntryRoute, i, "Goal", r.Name, "the goal of %s is above the deadline of %s and has no effect",
			parser.FormatMillis(r.Goal), parser.FormatMillis(r.Deadline))
	}
	if r.Class != cherviltide.ClassBulky && r.Class != cherviltide.ClassUpload {
		c.checkIdleTime(EntryRoute, i, r.Name, r.Deadline)
	}
	var seen []string
	for _, s := range r.Shares {
		if s.Weight == 0 {
			c.warn(CodeShareOfZero, EntryRoute, i, "Shares", r.Name, "service %s has a share of 0 and gets no new flows", s.Service)
		}
		if slices.Contains(seen, s.Service) {
			c.warn(CodeRepeatedShare, EntryRoute, i, "Shares", r.Name, "service %s has more than one share", s.Service)
		}
		seen = append(seen, s.Service)
	}
}

// CheckSlots returns the warnings about the settings of an agent.
func CheckSlots(slots int) []Finding {
	if slots != 1 {
		return nil
	}
	return []Finding{{
		Severity: SeverityWarning, Code: CodeSlotsWithoutReserve, Entry: "Slots",
		Message: "with 1 slot there is no reserve for urgent requests, and bulky requests run only while no urgent ones arrive",
	}}
}

// CheckVoters returns the warnings about the settings of a control instance.
func CheckVoters(voters int) []Finding {
	if voters == 0 || voters%2 == 1 {
		return nil
	}
	return []Finding{{
		Severity: SeverityWarning, Code: CodeEvenVoters, Entry: "Voters",
		Message: fmt.Sprintf("%d voters tolerate the loss of %d, no more than %d voters do", voters, (voters-1)/2, voters-1),
	}}
}
