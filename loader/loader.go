// Package loader reads the settings of a process: one strict JSON file.
package loader

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"

	"cherviltide.example/cherviltide"
)

// Error is a mistake in a settings file.
type Error struct{ cherviltide.Fault }

// TLS names the PEM files of an identity. All are empty when TLS is off.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// Process has the settings that every role shares.
type Process struct {
	// Name is unique in the system.
	Name          string
	FailureDomain string
	Region        string
	// Control has the addresses of the control instances.
	Control []netip.AddrPort
	// PacketKey authenticates datagrams between entries and agents: 16 bytes in hexadecimal.
	PacketKey string
	TLS       TLS
}

// Port maps a listening port to the port of the virtual addresses.
type Port struct {
	Listen  uint16
	Virtual uint16
}

// Entry has the settings of an entry.
type Entry struct {
	Process
	Listen   netip.Addr
	Ports    []Port
	Internal netip.AddrPort
}

// Agent has the settings of an agent.
type Agent struct {
	Process
	Service string
	// Data receives forwarded datagrams (UDP); Peer receives requests of other agents (TCP).
	Data   netip.AddrPort
	Peer   netip.AddrPort
	Target netip.AddrPort
	// Slots is how many requests the target runs at once.
	Slots int
	// CallerTLS is the service's identity towards callers.
	CallerTLS TLS
}

// Control has the settings of a control instance.
type Control struct {
	Process
	Listen netip.AddrPort
	// Data is the folder for durable state.
	Data string
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

// Check returns a fault of kind Invalid when the voters are not usable.
func (c Control) Check() error {
	if c.Data == "" {
		return fault("loader.Check", fmt.Errorf("no folder is set in Data"))
	}
	seen := map[string]bool{}
	for _, v := range c.Voters {
		if v.Name == "" || seen[v.Name] || !v.Address.IsValid() {
			return fault("loader.Check", fmt.Errorf("voter %q must have a name of its own and an address", v.Name))
		}
		seen[v.Name] = true
	}
	if len(seen) > 0 && !seen[c.Name] {
		return fault("loader.Check", fmt.Errorf("this instance, %q, is missing in Voters", c.Name))
	}
	return nil
}

// Read reads a settings file into settings, which must be a pointer to Entry, Agent or Control.
func Read(path string, settings any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fault("loader.Read", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(settings); err != nil {
		return fault("loader.Read "+path, err)
	}
	return nil
}

// Key returns the packet key.
func (p Process) Key() ([16]byte, error) {
	key, err := hex.DecodeString(p.PacketKey)
	if err != nil || len(key) != 16 {
		return [16]byte{}, fault("loader.Key", fmt.Errorf("PacketKey must be 16 bytes in hexadecimal"))
	}
	return [16]byte(key), nil
}

func fault(op string, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: cherviltide.KindInvalid, Err: err}}
}
