package checker

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/parser"
)

// ChangeType tells how an entry differs from the version in force.
type ChangeType string

// The types of changes.
const (
	ChangeAdded   ChangeType = "Added"
	ChangeRemoved ChangeType = "Removed"
	ChangeChanged ChangeType = "Changed"
)

// Comparison has the differences between a file and the version in force.
type Comparison struct {
	// Revision is the version in force. Operator sent it at Time; both are zero when they are not known.
	Revision uint64
	Operator string
	Time     cherviltide.Millis
	// Confirmed is false when control could not reach a majority, so that the version may be outdated.
	Confirmed bool
	// Changes has the removed entries, then the added and changed ones by type and in the order of the file.
	Changes []Change
}

// Change is an entry that differs from the version in force.
type Change struct {
	Type  ChangeType
	Entry string
	// Line is the line in the file, 0 for a removed entry; LineInForce is that in the version in force, 0 for an added one.
	Line, LineInForce int
	Settings          []SettingChange `json:",omitempty"`
	// Origin is the last change of the line in force; nil when it is not known.
	Origin *Origin `json:",omitempty"`
	// OpenFlows is nil when the change ends no flow, or their number is not known.
	OpenFlows *OpenFlows `json:",omitempty"`
	// lostServices has the services that take no new flows because of the change.
	lostServices []string
}

// SettingChange is a setting with different values.
type SettingChange struct{ Name, Before, After string }

// Origin is the edit that introduced a line of the version in force.
type Origin struct {
	Revision  uint64
	Operator  string
	Requester string
	Time      cherviltide.Millis
}

// OpenFlows counts flows that the change may end, by the last announcements of the agents.
type OpenFlows struct {
	Flows, Agents int
	// AtMost is true when some of the flows may belong to other entries.
	AtMost bool
}

// entry is one entry of a configuration with the values that are compared.
type entry struct {
	key      string
	line     int
	settings []SettingChange // Before is the value.
	services []string
}

// Compare returns the differences of a file from the version in force. Entries are compared by their names, so a renamed entry
// is removed and added.
func Compare(inForce, file Document) []Change {
	before, after := inForce.entries(), file.entries()
	inFile := make(map[string]bool, len(after))
	for _, e := range after {
		inFile[e.key] = true
	}
	known := make(map[string]entry, len(before))
	changes := []Change{}
	for _, e := range before {
		known[e.key] = e
		if !inFile[e.key] {
			changes = append(changes, Change{Type: ChangeRemoved, Entry: e.key, LineInForce: e.line, lostServices: e.services})
		}
	}
	for _, e := range after {
		old, exists := known[e.key]
		if !exists {
			changes = append(changes, Change{Type: ChangeAdded, Entry: e.key, Line: e.line})
			continue
		}
		if c := compareEntries(old, e); len(c.Settings) > 0 {
			changes = append(changes, c)
		}
	}
	return changes
}

func compareEntries(before, after entry) Change {
	c := Change{Type: ChangeChanged, Entry: after.key, Line: after.line, LineInForce: before.line}
	for i, s := range before.settings {
		if other := after.settings[i].Before; other != s.Before {
			c.Settings = append(c.Settings, SettingChange{Name: s.Name, Before: s.Before, After: other})
		}
	}
	for _, s := range before.services {
		if !slices.Contains(after.services, s) {
			c.lostServices = append(c.lostServices, s)
		}
	}
	return c
}

// AddOrigins adds the last changes of the lines in force. It returns the number of removed and changed entries without one.
func (c *Comparison) AddOrigins(byLine map[int]Origin) (unknown int) {
	for i, change := range c.Changes {
		if change.Type == ChangeAdded {
			continue
		}
		if o, ok := byLine[change.LineInForce]; ok {
			c.Changes[i].Origin = &o
		} else {
			unknown++
		}
	}
	return unknown
}

// AddOpenFlows adds the open flows of services that lose an entry which sends them flows.
func (c *Comparison) AddOpenFlows(byService map[string]OpenFlows) {
	for i, change := range c.Changes {
		if len(change.lostServices) == 0 {
			continue
		}
		var sum OpenFlows
		for _, s := range change.lostServices {
			sum.Flows, sum.Agents = sum.Flows+byService[s].Flows, sum.Agents+byService[s].Agents
		}
		sum.AtMost = !strings.HasPrefix(change.Entry, string(EntryService)+" ")
		c.Changes[i].OpenFlows = &sum
	}
}

// EndsFlows reports whether a change ends flows, so that their number is of interest.
func (c *Comparison) EndsFlows() bool {
	return slices.ContainsFunc(c.Changes, func(x Change) bool { return len(x.lostServices) > 0 })
}

// entries returns the entries of a document. Entries with the same name are numbered.
func (d Document) entries() []entry {
	var list []entry
	seen := map[string]int{}
	add := func(t EntryType, index int, name string, services []string, settings ...string) {
		e := entry{key: strings.TrimSpace(string(t) + " " + name), line: d.Locate(t, index, "").Line, services: services}
		if seen[e.key]++; seen[e.key] > 1 {
			e.key = fmt.Sprintf("%s (%d)", e.key, seen[e.key])
		}
		for i := 0; i < len(settings); i += 2 {
			e.settings = append(e.settings, SettingChange{Name: settings[i], Before: settings[i+1]})
		}
		list = append(list, e)
	}
	for i, s := range d.Rules.Services {
		add(EntryService, i, s.Name, []string{s.Name}, serviceSettings(s)...)
	}
	for i, k := range d.Rules.Kinds {
		add(EntryKind, i, k.Service+" "+k.Name, nil, kindSettings(k)...)
	}
	for i, c := range d.Rules.Customers {
		add(EntryCustomer, i, c.Name, nil, "Certificate", c.Certificate, "Services", strings.Join(c.Services, ","), "Requester", c.Source.Requester)
	}
	for i, r := range d.Rules.Routes {
		shares, services := formatShares(r.Shares)
		add(EntryRoute, i, r.Name, services, routeSettings(r, shares)...)
	}
	if d.Rules.FlowIdle > 0 {
		add(EntryLimits, 0, "", nil, "FlowIdle", parser.FormatMillis(d.Rules.FlowIdle))
	}
	return list
}

func serviceSettings(s cherviltide.Service) []string {
	rate := ""
	if s.WarmUp.HasRate {
		rate = formatFloat(s.WarmUp.Rate)
	}
	return []string{
		"Address", formatAddresses(s.Addresses), "Buckets", strconv.Itoa(s.Buckets), "Connections", strconv.Itoa(s.Connections),
		"WarmUp", parser.FormatMillis(s.WarmUp.Duration), "WarmUpRate", rate, "Requester", s.Source.Requester,
	}
}

func kindSettings(k cherviltide.Kind) []string {
	return []string{
		"Method", k.Method, "Path", k.PathPrefix, "Class", string(k.Class), "Priority", strconv.Itoa(k.Priority),
		"Deadline", parser.FormatMillis(k.Deadline), "AtMostOnce", strconv.FormatBool(k.AtMostOnce),
		"Objective", formatFloat(k.Objective), "Requester", k.Source.Requester,
	}
}

func routeSettings(r cherviltide.Route, shares string) []string {
	return []string{
		"Address", r.Address.String(), "Shares", shares, "Priority", strconv.Itoa(r.Priority), "Deadline", parser.FormatMillis(r.Deadline),
		"Goal", parser.FormatMillis(r.Goal), "AtMostOnce", strconv.FormatBool(r.AtMostOnce), "Class", string(r.Class),
	}
}

func formatShares(shares []cherviltide.Share) (text string, services []string) {
	parts := make([]string, 0, len(shares))
	for _, s := range shares {
		parts = append(parts, fmt.Sprintf("%s:%d", s.Service, s.Weight))
		services = append(services, s.Service)
	}
	return strings.Join(parts, ","), services
}

func formatAddresses(addresses []netip.AddrPort) string {
	parts := make([]string, 0, len(addresses))
	for _, a := range addresses {
		parts = append(parts, a.String())
	}
	return strings.Join(parts, ",")
}

func formatFloat(f float64) string {
	return strconv.FormatFloat(f, 'f', -1, 64)
}
