package loader

import (
	"encoding/hex"
	"fmt"
	"net/netip"
)

// TLS names the PEM files of an identity. All are empty when TLS is off.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// Process has the settings that every role shares.
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
	// Probe serves health, readiness and metrics (TCP); without it there are none.
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
	// Slots is how many requests the target runs at once.
	Slots int `default:"2" unit:"requests"`
	// CallerTLS is the service's identity towards callers.
	CallerTLS TLS
}

// Control has the settings of a control instance.
type Control struct {
	Process
	Listen netip.AddrPort `setting:"required"`
	// Data is the folder for durable state.
	Data string `setting:"required"`
	// Voters has all control instances that keep the logs, this one included. It is the same for all of them, in the
	// same order. Empty means that this instance is the only one.
	Voters []Voter
	// NewSystem lets the first of Voters found a new system, once all others have shown empty folders. Without it an
	// instance with an empty folder only joins an existing system.
	NewSystem bool
}

// Voter is a control instance that keeps the logs.
type Voter struct {
	Name    string
	Address netip.AddrPort
}

// checkVoters checks the list of voters of the instance with the given name.
func (c *Control) checkVoters(problem func(name, format string, args ...any)) {
	seen := map[string]bool{}
	for _, v := range c.Voters {
		if v.Name == "" || seen[v.Name] || !v.Address.IsValid() {
			problem("Voters", "found %q at %s, expected a name of its own and an address", v.Name, v.Address)
		}
		seen[v.Name] = true
	}
	if len(seen) > 0 && !seen[c.Name] {
		problem("Voters", "this instance, %q, is missing", c.Name)
	}
}

// maxSlots bounds the requests that one target runs at once.
const maxSlots = 10_000

// checks are the rules between settings of a role. problem records a mistake of the named setting.
type checks interface {
	check(problem func(name, format string, args ...any))
}

// Key returns the packet key.
func (p Process) Key() ([16]byte, error) {
	key, err := hex.DecodeString(p.PacketKey)
	if err != nil || len(key) != 16 {
		return [16]byte{}, fault("loader.Key", fmt.Errorf("PacketKey must be 16 bytes in hexadecimal"))
	}
	return [16]byte(key), nil
}

func (p Process) check(problem func(name, format string, args ...any)) {
	seen := map[netip.AddrPort]bool{}
	for _, a := range p.Control {
		if seen[a] {
			problem("Control", "%s is listed twice", a)
		}
		seen[a] = true
	}
	if _, err := p.Key(); p.PacketKey != "" && err != nil {
		problem("PacketKey", "found %d characters, expected 16 bytes in hexadecimal", len(p.PacketKey))
	}
	p.TLS.check("TLS", problem)
	if p.Probe.IsValid() && !p.Probe.Addr().IsLoopback() && !p.Probe.Addr().IsPrivate() {
		problem("Probe", "found %s, expected a loopback or private address: the endpoints have no access check", p.Probe)
	}
}

// checkFollower checks what entries and agents need to take part in the data path.
func (p Process) checkFollower(problem func(name, format string, args ...any)) {
	p.check(problem)
	if len(p.Control) == 0 {
		problem("Control", "is missing; expected the addresses of the control instances")
	}
	if p.PacketKey == "" {
		problem("PacketKey", "is missing; expected 16 bytes in hexadecimal")
	}
}

func (t TLS) check(name string, problem func(name, format string, args ...any)) {
	if t == (TLS{}) || (t.Certificate != "" && t.Key != "" && t.Authority != "") {
		return
	}
	problem(name, "Certificate, Key and Authority are given together or not at all")
}

func (e *Entry) check(problem func(name, format string, args ...any)) {
	e.checkFollower(problem)
	listen, virtual := map[uint16]bool{}, map[uint16]bool{}
	for _, p := range e.Ports {
		if p.Listen == 0 || p.Virtual == 0 {
			problem("Ports", "found port 0, expected Listen and Virtual from 1 to 65535")
		}
		if listen[p.Listen] {
			problem("Ports", "listening port %d is given twice", p.Listen)
		}
		if virtual[p.Virtual] {
			problem("Ports", "virtual port %d is given twice", p.Virtual)
		}
		listen[p.Listen], virtual[p.Virtual] = true, true
	}
	if listen[e.Internal.Port()] && (e.Listen.IsUnspecified() || e.Listen == e.Internal.Addr()) {
		problem("Internal", "port %d is a listening port of Ports too; both are UDP", e.Internal.Port())
	}
}

func (a *Agent) check(problem func(name, format string, args ...any)) {
	a.checkFollower(problem)
	if a.Slots < 1 || a.Slots > maxSlots {
		problem("Slots", "found %d, expected 1 to %d requests", a.Slots, maxSlots)
	}
	if a.CallerTLS == (TLS{}) {
		problem("CallerTLS", "is missing; expected the service's Certificate, Key and Authority")
	}
	a.CallerTLS.check("CallerTLS", problem)
	distinct(problem, "Target", a.Target, "Peer", a.Peer)
	distinct(problem, "Probe", a.Probe, "Peer", a.Peer)
	distinct(problem, "Probe", a.Probe, "Target", a.Target)
}

func (c *Control) check(problem func(name, format string, args ...any)) {
	c.Process.check(problem)
	c.checkVoters(problem)
	distinct(problem, "Probe", c.Probe, "Listen", c.Listen)
}

// distinct refuses the same TCP address for two settings.
func distinct(problem func(name, format string, args ...any), name string, a netip.AddrPort, other string, b netip.AddrPort) {
	if a.IsValid() && a == b {
		problem(name, "%s is the address of %s too", a, other)
	}
}
