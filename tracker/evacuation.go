package tracker

import (
	"maps"
	"slices"

	"cherviltide.example/cherviltide"
)

// MaxEvacuations bounds the failure domains that are evacuated at the same time. A further order changes nothing.
const MaxEvacuations = 256

// Evacuation is an evacuated failure domain: its targets get no new flows.
type Evacuation struct {
	FailureDomain string
	// Operator gave the order that is in force, and Since is when the leader proposed it, in milliseconds since the Unix
	// epoch. Repeated orders change neither.
	Operator string
	Since    cherviltide.Millis
}

// Evacuations returns the evacuated failure domains in the order of their names.
func (t *Tracker) Evacuations() []Evacuation {
	var list []Evacuation
	for _, domain := range t.EvacuatedDomains() {
		list = append(list, t.evacuations[domain])
	}
	return list
}

// EvacuatedDomains returns the names of the evacuated failure domains in order.
func (t *Tracker) EvacuatedDomains() []string {
	return slices.Sorted(maps.Keys(t.evacuations))
}

// IsEvacuated reports whether a failure domain is evacuated.
func (t *Tracker) IsEvacuated(domain string) bool {
	_, ok := t.evacuations[domain]
	return ok
}

// FailureDomains returns the failure domains of the members, in the order of their names. It includes those of dead members as
// long as they have tombstones, since an operator may evacuate a domain that was lost.
func (t *Tracker) FailureDomains() []string {
	domains := map[string]bool{}
	for _, x := range t.live {
		domains[x.Member.FailureDomain] = true
	}
	for _, x := range t.tombstones {
		domains[x.Member.FailureDomain] = true
	}
	delete(domains, "")
	return sortedKeys(domains)
}

// evacuate records an order, and reports false if it changes nothing.
func (t *Tracker) evacuate(e cherviltide.MemberEvent) bool {
	domain := e.Member.FailureDomain
	if domain == "" || t.IsEvacuated(domain) || len(t.evacuations) >= MaxEvacuations {
		return false
	}
	t.evacuations[domain] = Evacuation{FailureDomain: domain, Operator: e.Operator, Since: e.Time}
	return true
}

// restoreDomain removes an evacuation, and reports false if there is none.
func (t *Tracker) restoreDomain(domain string) bool {
	evacuated := t.IsEvacuated(domain)
	delete(t.evacuations, domain)
	return evacuated
}
