package cherviltide

import (
	"net/netip"
	"slices"
)

// Class determines how the requests of a kind share the slots of a target.
type Class string

// The classes of traffic.
const (
	ClassUrgent  Class = "Urgent"  // Has reserved slots.
	ClassNormal  Class = "Normal"  // Ordered by priority and deadline.
	ClassBulky   Class = "Bulky"   // Long transfers; never occupies the last slot.
	ClassPatient Class = "Patient" // Waits, but is never starved.
	ClassUpload  Class = "Upload"  // Long requests; the target works on them once they are complete. For routes only.
)

// Source is the line of a rule in the rules file and the person who requested the rule.
type Source struct {
	// Line is the rule's line in the file, from 1.
	Line int
	// Requester is the comment on the rule's line, without the number sign and surrounding spaces.
	Requester string
}

// Service is a group of targets behind virtual addresses.
type Service struct {
	Name      string
	ID        ServiceID
	Addresses []netip.AddrPort
	// Buckets is the number of buckets of the service's table; it never changes while the service exists.
	Buckets int
	// Connections is the maximum number of flows that one agent holds.
	Connections int
	WarmUp      WarmUp
	Source      Source
}

// WarmUp describes how the targets of a service behave after a start, while their caches are empty: they are cold. The zero
// value means that the service has no warm-up settings.
type WarmUp struct {
	// Duration is how long a target is cold after its start; 0 when it is not configured.
	Duration Millis
	// Rate is the number of requests per second that a cold target bears, if HasRate is true. It may be 0.
	Rate    float64
	HasRate bool
}

// Kind is a kind of traffic of a service.
type Kind struct {
	Name    string
	Service string
	// Method is empty when the kind matches any method.
	Method string
	// PathPrefix is never empty; the longest matching prefix of a service wins.
	PathPrefix string
	Class      Class
	// Priority orders kinds; 1 is the most urgent.
	Priority   int
	Deadline   Millis
	AtMostOnce bool
	// Objective is the share of requests that must be timely, in percent, above 0 and below 100.
	Objective float64
	Source    Source
}

// Customer is a customer and the services that it may reach.
type Customer struct {
	Name string
	// Certificate is the common name of the customer's client certificates.
	Certificate string
	Services    []string
	Source      Source
}

// Share is the part of a route's new flows that a service takes.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route; with 0 the service takes no new flows.
	Weight uint32
}

// Route sends the flows of one virtual address to services without terminating them.
type Route struct {
	Name    string
	Address netip.AddrPort
	// Shares is never empty.
	Shares []Share
	// Priority orders routes; 1 is the most urgent.
	Priority int
	// Deadline bounds the requests that the flows carry; Goal is the latency that callers expect.
	Deadline, Goal Millis
	// AtMostOnce is true when the requests may not be repeated.
	AtMostOnce bool
	// Class is ClassBulky for long answers, ClassUpload for long requests and ClassNormal otherwise.
	Class Class
}

// FormerServices has the services that a route had under earlier rules and no longer has, newest first. They may still hold
// open flows.
type FormerServices struct {
	_        struct{} `cbor:",toarray"`
	Address  netip.AddrPort
	Services []string
}

// maxFormerServicesPerRoute bounds the services that are tried for a packet of an unknown flow. A route rarely changes to so
// many services during the life of a flow.
const maxFormerServicesPerRoute = 16

// UpdateFormerServices returns the former services of the routes after a change of the routes, given the former services
// known before. Routes that this change moves to other services come first. Every route that was moved is kept, since each
// may have open flows; ChangedFormerServices keeps edits small.
func UpdateFormerServices(before, after []Route, known ...[]FormerServices) []FormerServices {
	lists := append([][]FormerServices{movedRoutes(before, after)}, known...)
	if !slices.ContainsFunc(lists, func(l []FormerServices) bool { return len(l) > 0 }) {
		return nil
	}
	shares := make(map[netip.AddrPort][]Share, len(after))
	for _, r := range after {
		shares[r.Address] = r.Shares
	}
	index := map[netip.AddrPort]int{}
	var next []FormerServices
	for _, list := range lists {
		for _, f := range list {
			for _, name := range f.Services {
				current, exists := shares[f.Address]
				if !exists || slices.ContainsFunc(current, func(s Share) bool { return s.Service == name }) {
					continue
				}
				i, found := index[f.Address]
				if !found {
					i = len(next)
					index[f.Address], next = i, append(next, FormerServices{Address: f.Address})
				}
				if !slices.Contains(next[i].Services, name) && len(next[i].Services) < maxFormerServicesPerRoute {
					next[i].Services = append(next[i].Services, name)
				}
			}
		}
	}
	return next
}

// SameShares reports whether two routes have the same address and send their flows to the same services with the same weights.
// Most changes leave this as it is, for nearly all routes.
func (r Route) SameShares(other Route) bool {
	return r.Address == other.Address && slices.Equal(r.Shares, other.Shares)
}

// movedRoutes returns the services of the routes before a change, without those of most routes that the change does not move.
func movedRoutes(before, after []Route) []FormerServices {
	var list []FormerServices
	for i, r := range before {
		if i < len(after) && r.SameShares(after[i]) {
			continue
		}
		f := FormerServices{Address: r.Address}
		for _, s := range r.Shares {
			f.Services = append(f.Services, s.Service)
		}
		list = append(list, f)
	}
	return list
}

// ChangedFormerServices returns the routes whose former services differ between two states, with those of the second one. A
// route that has none any more has no services in the result.
func ChangedFormerServices(before, after []FormerServices) []FormerServices {
	known := make(map[netip.AddrPort][]string, len(before))
	for _, f := range before {
		known[f.Address] = f.Services
	}
	var changed []FormerServices
	for _, f := range after {
		if !slices.Equal(known[f.Address], f.Services) {
			changed = append(changed, f)
		}
		delete(known, f.Address)
	}
	for _, f := range before {
		if _, ended := known[f.Address]; ended {
			changed = append(changed, FormerServices{Address: f.Address})
		}
	}
	return changed
}

// MergeFormerServices returns the former services after changes that ChangedFormerServices has returned.
func MergeFormerServices(before, changed []FormerServices) []FormerServices {
	if len(changed) == 0 {
		return before
	}
	replaced := make(map[netip.AddrPort]bool, len(changed))
	var merged []FormerServices
	for _, f := range changed {
		replaced[f.Address] = true
		if len(f.Services) > 0 {
			merged = append(merged, f)
		}
	}
	for _, f := range before {
		if !replaced[f.Address] {
			merged = append(merged, f)
		}
	}
	return merged
}

// Rules is the content of one accepted rules file. It is immutable.
type Rules struct {
	// Revision is 0 before the first file is accepted and grows by one with each accepted file.
	Revision  uint64
	Services  []Service
	Kinds     []Kind
	Customers []Customer
	Routes    []Route
	// FlowIdle is how long a relayed flow may be idle before agents may drop its state; 0 means the default.
	FlowIdle Millis
	// Former has the former services of the routes that control knows.
	Former []FormerServices
}

// RulesParser parses the text of a configuration. It returns the rules with revision 0.
type RulesParser func(text string) (Rules, error)

// WithRevision returns the rules with another revision.
func (r Rules) WithRevision(revision uint64) Rules {
	r.Revision = revision
	return r
}

// Service returns the service with the given name.
func (r Rules) Service(name string) (Service, bool) {
	for _, s := range r.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// CustomerOf returns the customer whose certificates have the given common name.
func (r Rules) CustomerOf(commonName string) (Customer, bool) {
	for _, c := range r.Customers {
		if c.Certificate == commonName {
			return c, true
		}
	}
	return Customer{}, false
}

// MayReach reports whether the customer may send requests to the service.
func (c Customer) MayReach(service string) bool {
	for _, s := range c.Services {
		if s == service {
			return true
		}
	}
	return false
}
