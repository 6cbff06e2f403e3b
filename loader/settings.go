package loader

import (
	"encoding/hex"
	"fmt"
	"net/netip"
)

// TLS has the paths of the PEM files of a TLS identity. All are empty when TLS is off.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// Process has the settings that all roles share.
type Process struct {
	// Name is unique in the system.
	Name          string `setting:"required"`
	FailureDomain string `setting:"required"`
	Region        string `setting:"required"`
	// Control has the addresses of the control instances.
	Control []netip.AddrPort
	// PacketKey authenticates datagrams between entries and agents: 16 bytes in hexadecimal.
	PacketKey string `setting:"secret" unit:"16 bytes in hexadecimal"`
	TLS       TLS
	// Probe is the address that serves health, readiness and metrics (TCP); without it they are not served.
	Probe netip.AddrPort `json:",omitzero"`
}

// Port maps a listening port to the port of the virtual addresses.
type Port struct {
	Listen  uint16
	Virtual uint16
}

// Entry has the settings of an entry.
type Entry struct {
	Process
	Listen   netip.Addr     `default:"0.0.0.0"`
	Ports    []Port         `setting:"required"`
	Internal netip.AddrPort `setting:"required"`
}

// Agent has the settings of an agent.
type Agent struct {
	Process
	Service string `setting:"required"`
	// Data receives forwarded datagrams (UDP); Peer receives requests of other agents (TCP).
	Data   netip.AddrPort `setting:"required"`
	Peer   netip.AddrPort `setting:"required"`
	Target netip.AddrPort `setting:"required"`
	// Slots is the number of requests that the target runs at once.
	Slots int `default:"2" unit:"requests"`
	// CallerTLS is the TLS identity of the service, which the agent presents to callers.
	CallerTLS TLS
}

// Control has the settings of a control instance.
type Control struct {
	Process
	Listen netip.AddrPort `setting:"required"`
	// Data is the directory for durable state.
	Data string `setting:"required"`
	// Voters has all control instances that store the replicated logs, including this one. All of them have the same list
	// in the same order. An empty list means that this instance is the only voter.
	Voters []Voter
	// NewSystem makes the first of Voters bootstrap a new system once all others have reported an empty data directory.
	// Without it an instance with an empty data directory only joins an existing system.
	NewSystem bool
}

// Voter is a control instance that stores the replicated logs.
type Voter struct {
	Name    string
	Address netip.AddrPort
}

// validateVoters checks the list of voters.
func (c *Control) validateVoters(report func(name, format string, args ...any)) {
	seen := map[string]bool{}
	for _, v := range c.Voters {
		if v.Name == "" || seen[v.Name] || !v.Address.IsValid() {
			report("Voters", "found %q at %s, expected a unique name and an address", v.Name, v.Address)
		}
		seen[v.Name] = true
	}
	if len(seen) > 0 && !seen[c.Name] {
		report("Voters", "this instance, %q, is missing", c.Name)
	}
}

// maxSlots is the largest number of requests that one target may run at once.
const maxSlots = 10_000

// validator checks the values of the settings of a role and how they fit together. report records a problem of the named
// setting.
type validator interface {
	validate(report func(name, format string, args ...any))
}

// ParsePacketKey decodes the packet key.
func (p Process) ParsePacketKey() ([16]byte, error) {
	key, err := hex.DecodeString(p.PacketKey)
	if err != nil || len(key) != 16 {
		return [16]byte{}, fault("loader.ParsePacketKey", fmt.Errorf("PacketKey must be 16 bytes in hexadecimal"))
	}
	return [16]byte(key), nil
}

func (p Process) validate(report func(name, format string, args ...any)) {
	seen := map[netip.AddrPort]bool{}
	for _, a := range p.Control {
		if seen[a] {
			report("Control", "%s is listed twice", a)
		}
		seen[a] = true
	}
	if _, err := p.ParsePacketKey(); p.PacketKey != "" && err != nil {
		report("PacketKey", "found %d characters, expected 16 bytes in hexadecimal", len(p.PacketKey))
	}
	p.TLS.validate("TLS", report)
	if p.Probe.IsValid() && !p.Probe.Addr().IsLoopback() && !p.Probe.Addr().IsPrivate() {
		report("Probe", "found %s, expected a loopback or private address: the endpoints have no access check", p.Probe)
	}
}

// validateDataPathRole checks the common settings of an entry or an agent: the data path needs the addresses of control and
// the packet key.
func (p Process) validateDataPathRole(report func(name, format string, args ...any)) {
	p.validate(report)
	if len(p.Control) == 0 {
		report("Control", "is missing; expected the addresses of the control instances")
	}
	if p.PacketKey == "" {
		report("PacketKey", "is missing; expected 16 bytes in hexadecimal")
	}
}

func (t TLS) validate(name string, report func(name, format string, args ...any)) {
	if t == (TLS{}) || (t.Certificate != "" && t.Key != "" && t.Authority != "") {
		return
	}
	report(name, "Certificate, Key and Authority are given together or not at all")
}

func (e *Entry) validate(report func(name, format string, args ...any)) {
	e.validateDataPathRole(report)
	listen, virtual := map[uint16]bool{}, map[uint16]bool{}
	for _, p := range e.Ports {
		if p.Listen == 0 || p.Virtual == 0 {
			report("Ports", "found port 0, expected Listen and Virtual from 1 to 65535")
		}
		if listen[p.Listen] {
			report("Ports", "listening port %d is given twice", p.Listen)
		}
		if virtual[p.Virtual] {
			report("Ports", "virtual port %d is given twice", p.Virtual)
		}
		listen[p.Listen], virtual[p.Virtual] = true, true
	}
	if listen[e.Internal.Port()] && (e.Listen.IsUnspecified() || e.Listen == e.Internal.Addr()) {
		report("Internal", "port %d is also a listening port of Ports; both are UDP", e.Internal.Port())
	}
}

func (a *Agent) validate(report func(name, format string, args ...any)) {
	a.validateDataPathRole(report)
	if a.Slots < 1 || a.Slots > maxSlots {
		report("Slots", "found %d, expected 1 to %d requests", a.Slots, maxSlots)
	}
	if a.CallerTLS == (TLS{}) {
		report("CallerTLS", "is missing; expected the service's Certificate, Key and Authority")
	}
	a.CallerTLS.validate("CallerTLS", report)
	requireDistinct(report, "Target", a.Target, "Peer", a.Peer)
	requireDistinct(report, "Probe", a.Probe, "Peer", a.Peer)
	requireDistinct(report, "Probe", a.Probe, "Target", a.Target)
}

func (c *Control) validate(report func(name, format string, args ...any)) {
	c.Process.validate(report)
	c.validateVoters(report)
	requireDistinct(report, "Probe", c.Probe, "Listen", c.Listen)
}

// requireDistinct reports a problem when two settings have the same TCP address.
func requireDistinct(report func(name, format string, args ...any), name string, a netip.AddrPort, other string, b netip.AddrPort) {
	if a.IsValid() && a == b {
		report(name, "%s is also the address of %s", a, other)
	}
}
