package picker

import (
	"slices"
	"strings"
	"unique"

	"cherviltide.example/cherviltide"
)

// IsEvacuated reports whether a failure domain is evacuated: its targets must get no new flows.
func (t *Table) IsEvacuated(domain string) bool {
	return slices.Contains(t.evacuated, domain)
}

// Evacuated returns the evacuated failure domains in the order of their names. The caller must not change them.
func (t *Table) Evacuated() []string {
	return t.evacuated
}

// WithEvacuated returns the table with the given evacuated failure domains in place of its own. The table must have no
// targets yet; afterwards, the domains change only with events.
func (t *Table) WithEvacuated(domains []string) *Table {
	if len(domains) == 0 {
		return t
	}
	next := t.clone()
	next.evacuated = nil
	for _, domain := range domains {
		next.evacuated, _ = changeDomain(next.evacuated, domain, true)
	}
	return next
}

// withDomainEvent returns the table after an event about a failure domain. An event without effect leaves the table and its
// generation as they are. The buckets are assigned again only if a target is in the domain.
func (t *Table) withDomainEvent(position uint64, e cherviltide.MemberEvent) *Table {
	domains, changed := changeDomain(t.evacuated, e.Member.FailureDomain, e.Type == cherviltide.EventEvacuated)
	if !changed || e.Member.FailureDomain == "" {
		return t
	}
	next := t.clone()
	next.generation, next.evacuated = position, domains
	if slices.ContainsFunc(t.targets, func(x target) bool { return x.member.FailureDomain == e.Member.FailureDomain }) {
		next.assignBuckets(identityIndexes(len(t.targets)))
	}
	return next
}

// changeDomain returns a sorted list of failure domains with or without a domain, and whether it differs from the given one,
// which it does not modify.
func changeDomain(list []string, domain string, include bool) ([]string, bool) {
	i, included := slices.BinarySearchFunc(list, domain, strings.Compare)
	switch {
	case included == include:
		return list, false
	case include:
		return slices.Insert(slices.Clone(list), i, unique.Make(domain).Value()), true
	}
	return exactCopy(slices.Delete(slices.Clone(list), i, i+1)), true
}
