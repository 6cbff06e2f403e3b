package relaypath

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"

	"cherviltide.example/cherviltide/bench/launcher"
)

// Ports of a machine.
const (
	TrafficPort = 33_101 // Packets of callers and of other daemons.
	readyPort   = 33_102
	adminPort   = 33_103 // The control interface, and targets' heartbeats.
	// outboundPort receives what the target sends, appPort what it gets.
	outboundPort, appPort = 33_104, 33_105
	// forwardedPort is where a control instance listens that is behind a forwarder at its admin port.
	forwardedPort = 33_106
	metricsPort   = 33_107
	internalPort  = 33_110
	internalPorts = 6
)

// Bounds of a site, in the units of the settings file.
const (
	heartbeatMs = 200
	maxFlowS    = 60
	downgradeMs = 250
	// DrainMs is how long a target may still get new flows after the acknowledgement that it leaves.
	DrainMs = 3_000
	// GraceS is the time between the signal to stop and the forced end.
	GraceS = 4
)

// Roles of daemons.
const (
	RoleControl = "control"
	RoleEntry   = "entry"
	RoleAgent   = "agent"
)

// Site is a small deployment of the platform on the loopback.
type Site struct {
	// Net has the second and the third byte of the addresses. Each machine is an address of its own.
	Net [2]byte
	// Folder receives settings, logs and data. Binary is the path of cherviltide.
	Folder, Binary string
	// Forwarded is true when control instances listen behind forwarders at their addresses.
	Forwarded bool
}

// Daemon is a process of the system on a machine.
type Daemon struct {
	Role    string
	Machine int
	// Service is the service of an agent's target.
	Service string
}

// Name returns the name of the daemon.
func (d Daemon) Name() string { return fmt.Sprintf("%s-%d", d.Role, d.Machine) }

// Control returns the address at which others reach a control instance.
func (s *Site) Control(machine int) netip.AddrPort { return s.Address(machine, adminPort) }

// Address returns an address of a machine.
func (s *Site) Address(machine int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.Net[0], s.Net[1], byte(machine)}), port)
}

// Listen returns where a control instance listens.
func (s *Site) Listen(machine int) netip.AddrPort {
	if s.Forwarded {
		return s.Address(machine, forwardedPort)
	}
	return s.Address(machine, adminPort)
}

// Data returns the folder for the state of a daemon.
func (s *Site) Data(d Daemon) string { return filepath.Join(s.Folder, d.Name()+".data") }

// Settings writes the settings file of a daemon with the machines of control instances as seeds, and returns its path.
func (s *Site) Settings(d Daemon, founding bool, seeds ...int) (string, error) {
	var addresses []string
	for _, machine := range seeds {
		addresses = append(addresses, s.Address(machine, adminPort).String())
	}
	n := d.Machine
	file := map[string]any{
		"NodeName": d.Name(), "Ip": s.Address(n, 0).Addr().String(), "Zone": "z", "Region": "r", "Seeds": addresses, "Bootstrap": founding,
		"InternalPorts": []int{internalPort, internalPort + internalPorts - 1}, "HeartbeatMs": heartbeatMs,
		"Bounds": map[string]any{"DrainMs": DrainMs, "GraceS": GraceS, "MaxFlowS": maxFlowS, "DowngradeMs": downgradeMs},
		"Listen": map[string]string{
			"UdpAddr": s.Address(n, TrafficPort).String(), "ReadinessAddr": s.Address(n, readyPort).String(),
			"Admin": s.Address(n, adminPort).String(), "outbound": s.Address(n, outboundPort).String(),
		},
	}
	switch d.Role {
	case RoleControl:
		file["DataDir"] = s.Data(d)
	case RoleAgent:
		file["Service"], file["app"] = d.Service, s.Address(n, appPort).String()
	}
	data, err := json.Marshal(file)
	if err != nil {
		return "", err
	}
	path := filepath.Join(s.Folder, d.Name()+".json")
	// The new file takes the place of the old one at once, since the daemon may read it at any time.
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// Start starts a daemon.
func (s *Site) Start(d Daemon, founding bool, seeds ...int) (*launcher.Process, error) {
	path, err := s.Settings(d, founding, seeds...)
	if err != nil {
		return nil, err
	}
	environment := []string{"CHERVILTIDE_SETTINGS=" + path}
	if d.Role == RoleControl && s.Forwarded {
		environment = append(environment, "CHERVILTIDE_CONTROL_LISTEN="+s.Listen(d.Machine).String())
	}
	return launcher.StartProcess(s.Folder, d.Name(), environment, s.Binary,
		"platform", d.Role, "--metrics-port", strconv.Itoa(metricsPort))
}

// StartTarget starts a target on the machine of an agent.
func (s *Site) StartTarget(name string, agent Daemon) (*Target, error) {
	n := agent.Machine
	return StartTarget(name, agent.Service, s.Address(n, appPort), s.Address(n, outboundPort), s.Address(n, adminPort))
}

// Readiness returns the status of a daemon's readiness check, or 0 when it does not answer.
func (s *Site) Readiness(ctx context.Context, machine int) int {
	status, _, err := call(ctx, http.MethodGet, s.Address(machine, readyPort), "/readyz", nil)
	if err != nil {
		return 0
	}
	return status
}

// Metrics returns the metrics of the daemon on a machine.
func (s *Site) Metrics(ctx context.Context, machine int) (map[string]any, error) {
	_, body, err := call(ctx, http.MethodGet, s.Address(machine, metricsPort), "/debug/vars", nil)
	if err != nil {
		return nil, err
	}
	var metrics map[string]any
	return metrics, json.Unmarshal(body, &metrics)
}

// Put sends a configuration to a control instance and returns the status of the answer.
func (s *Site) Put(ctx context.Context, machine int, body []byte) (int, error) {
	status, _, err := call(ctx, http.MethodPut, s.Address(machine, adminPort), "/config", body)
	return status, err
}

// Get reads the configuration from a control instance.
func (s *Site) Get(ctx context.Context, machine int) (int, []byte, error) {
	return call(ctx, http.MethodGet, s.Address(machine, adminPort), "/config", nil)
}

func call(ctx context.Context, method string, to netip.AddrPort, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	return res.StatusCode, answer, err
}
