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

// Ports of a machine. Each machine has its own address. They are below the ephemeral ports, from 32,768 on, and above those of
// the launcher, since another process may have bound one of these at all addresses.
const (
	TrafficPort = 32_101 // Receives packets from callers and from other daemons.
	readyPort   = 32_102
	adminPort   = 32_103 // Serves the control interface, and receives the heartbeats of targets.
	// outboundPort receives the packets that the target sends; appPort is where the target receives.
	outboundPort, appPort = 32_104, 32_105
	// proxiedPort is where a control instance listens when a proxy listens on its admin port.
	proxiedPort   = 32_106
	metricsPort   = 32_107
	internalPort  = 32_110
	internalPorts = 6
)

// Time bounds of a site, in the units of the settings file.
const (
	heartbeatMs = 200
	maxFlowS    = 60
	downgradeMs = 250
	// DrainMs is how long a leaving target may still get new flows after its agent has acknowledged that it leaves.
	DrainMs = 3_000
	// GraceS is the grace period between the signal to stop and the forced end.
	GraceS = 4
)

// Roles of daemons.
const (
	RoleControl = "control"
	RoleEntry   = "entry"
	RoleAgent   = "agent"
)

// Site is a small deployment of the platform on loopback addresses.
type Site struct {
	// Net has the second and the third byte of the addresses; the fourth byte is the number of the machine.
	Net [2]byte
	// Dir is the directory for settings, logs and data. Binary is the path of cherviltide.
	Dir, Binary string
	// BehindProxies is true when proxies listen on the addresses of the control instances.
	BehindProxies bool
	// FailureDomains are those of the machines by their numbers; other machines are in one domain.
	FailureDomains map[int]string
	// NicMbps is the rate of the links of the machines, in Mbit/s; 0 means that the settings do not tell it.
	NicMbps float64
	// WarmupExcess and WarmupMargin are the hard bound for cold targets in the settings; there is none if both are 0.
	WarmupExcess, WarmupMargin float64
}

// Daemon is a process of the system on a machine.
type Daemon struct {
	Role    string
	Machine int
	// Service is the service of an agent's target; empty for other roles.
	Service string
}

// Name returns the name of the daemon, its role and machine.
func (d Daemon) Name() string { return fmt.Sprintf("%s-%d", d.Role, d.Machine) }

// ControlAddress returns the address at which other processes reach a control instance.
func (s *Site) ControlAddress(machine int) netip.AddrPort { return s.Address(machine, adminPort) }

// Address returns the address of a machine with a port.
func (s *Site) Address(machine int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.Net[0], s.Net[1], byte(machine)}), port)
}

// ListenAddress returns the address on which a control instance listens.
func (s *Site) ListenAddress(machine int) netip.AddrPort {
	if s.BehindProxies {
		return s.Address(machine, proxiedPort)
	}
	return s.Address(machine, adminPort)
}

// DataDir returns the directory for the state of a daemon.
func (s *Site) DataDir(d Daemon) string { return filepath.Join(s.Dir, d.Name()+".data") }

// FailureDomainOf returns the failure domain of a machine.
func (s *Site) FailureDomainOf(machine int) string {
	if domain, ok := s.FailureDomains[machine]; ok {
		return domain
	}
	return "z"
}

// WriteSettings writes the settings file of a daemon and returns its path. The seeds are the machines of control
// instances.
func (s *Site) WriteSettings(d Daemon, bootstrap bool, seeds ...int) (string, error) {
	var addresses []string
	for _, machine := range seeds {
		addresses = append(addresses, s.Address(machine, adminPort).String())
	}
	n := d.Machine
	settings := map[string]any{
		"NodeName": d.Name(), "Ip": s.Address(n, 0).Addr().String(), "Zone": s.FailureDomainOf(n), "Region": "r", "Seeds": addresses, "Bootstrap": bootstrap,
		"InternalPorts": []int{internalPort, internalPort + internalPorts - 1}, "HeartbeatMs": heartbeatMs,
		"Bounds": map[string]any{"DrainMs": DrainMs, "GraceS": GraceS, "MaxFlowS": maxFlowS, "DowngradeMs": downgradeMs},
		"Listen": map[string]string{
			"UdpAddr": s.Address(n, TrafficPort).String(), "ReadinessAddr": s.Address(n, readyPort).String(),
			"Admin": s.Address(n, adminPort).String(), "outbound": s.Address(n, outboundPort).String(),
		},
	}
	zones := map[string]string{"z": "r"}
	for _, zone := range s.FailureDomains {
		zones[zone] = "r"
	}
	settings["Zones"] = zones
	if s.NicMbps > 0 {
		settings["Limits"] = map[string]float64{"NicMbps": s.NicMbps}
	}
	if s.WarmupExcess > 0 || s.WarmupMargin > 0 {
		bounds := settings["Bounds"].(map[string]any)
		bounds["WarmupExcess"], bounds["WarmupMargin"] = s.WarmupExcess, s.WarmupMargin
	}
	switch d.Role {
	case RoleControl:
		settings["DataDir"] = s.DataDir(d)
	case RoleAgent:
		settings["Service"], settings["app"] = d.Service, s.Address(n, appPort).String()
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return "", err
	}
	path := filepath.Join(s.Dir, d.Name()+".json")
	// The file is replaced atomically, since the daemon may read it at any time.
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// Start writes the settings of a daemon and starts it. With bootstrap, a control instance may bootstrap a new system.
func (s *Site) Start(d Daemon, bootstrap bool, seeds ...int) (*launcher.Process, error) {
	path, err := s.WriteSettings(d, bootstrap, seeds...)
	if err != nil {
		return nil, err
	}
	environment := []string{"CHERVILTIDE_SETTINGS=" + path}
	if d.Role == RoleControl && s.BehindProxies {
		environment = append(environment, "CHERVILTIDE_CONTROL_LISTEN="+s.ListenAddress(d.Machine).String())
	}
	return launcher.StartProcess(s.Dir, d.Name(), environment, s.Binary,
		"platform", d.Role, "--metrics-port", strconv.Itoa(metricsPort))
}

// StartTarget starts a target on the machine of an agent.
func (s *Site) StartTarget(name string, agent Daemon) (*Target, error) {
	n := agent.Machine
	return StartTarget(name, agent.Service, s.Address(n, appPort), s.Address(n, outboundPort), s.Address(n, adminPort))
}

// ReadinessStatus returns the HTTP status of a daemon's readiness check, or 0 when it does not respond.
func (s *Site) ReadinessStatus(ctx context.Context, machine int) int {
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

// PutConfig sends a configuration to a control instance and returns the HTTP status.
func (s *Site) PutConfig(ctx context.Context, machine int, body []byte) (int, error) {
	status, _, err := call(ctx, http.MethodPut, s.Address(machine, adminPort), "/config", body)
	return status, err
}

// GetConfig reads the configuration from a control instance and returns the HTTP status and the body.
func (s *Site) GetConfig(ctx context.Context, machine int) (int, []byte, error) {
	return call(ctx, http.MethodGet, s.Address(machine, adminPort), "/config", nil)
}

// OrderEvacuation orders or withdraws the evacuation of a zone at a control instance and returns the HTTP status.
func (s *Site) OrderEvacuation(ctx context.Context, machine int, zone string, withdraw bool) (int, error) {
	method := http.MethodPost
	if withdraw {
		method = http.MethodDelete
	}
	status, _, err := call(ctx, method, s.Address(machine, adminPort), "/evacuations/"+zone, nil)
	return status, err
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
	response, err := io.ReadAll(res.Body)
	return res.StatusCode, response, err
}
