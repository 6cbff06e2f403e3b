package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as on the sheet of the small sites.
const (
	heartbeatMs = 1200
	drainMs     = 3000
	graceS      = 6
	maxFlowS    = 60
	reorderMs   = 2000
	contactMs   = 4000
	downgradeMs = 250
	idleMs      = 15000
)

// ports are the ports of a machine, which are the same on all machines.
type ports struct{ udp, ready, admin, outbound, app, internal uint16 }

// site is a small deployment on loopback addresses 127.a.b.n, where n is the number of a machine.
type site struct {
	a, b   byte
	dir    string
	binary string
	p      ports
	// seeds are the machines of the control instances.
	seeds []int
	// preferred counts the failures of putUntilAcknowledged.
	preferred int
	// grown selects the bounds and the memory of the grown sheets.
	grown bool
	// environment has further variables for the next process.
	environment []string

	mu        sync.Mutex
	processes []*process
}

// process is a program of the system on a machine.
type process struct {
	role    string
	machine int
	command *exec.Cmd
	ended   chan struct{}
}

// startProcess starts a program with further environment variables and appends its output to a file.
func startProcess(output string, environment []string, binary string, args ...string) (*process, error) {
	file, err := os.OpenFile(output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	p := &process{command: exec.Command(binary, args...), ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = file, file
	p.command.Env = append(os.Environ(), environment...)
	// A script that is interrupted leaves no processes behind.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() { _ = p.command.Wait(); close(p.ended) }()
	return p, nil
}

// ID returns the process ID.
func (p *process) ID() int { return p.command.Process.Pid }

// Signal sends a signal to the process.
func (p *process) Signal(s os.Signal) error { return p.command.Process.Signal(s) }

// Wait returns when the process has ended.
func (p *process) Wait() { <-p.ended }

// Kill kills the process and waits for its end.
func (p *process) Kill() {
	_ = p.command.Process.Kill()
	p.Wait()
}

func newSite(dir, binary string) (*site, error) {
	s := &site{dir: dir, binary: binary, seeds: []int{1, 2, 3}}
	pid := os.Getpid()
	s.a, s.b = byte(100+pid/250%100), byte(1+pid%250)
	base, err := freePorts(s.address(1, 0).Addr())
	if err != nil {
		return nil, err
	}
	s.p = ports{udp: base, ready: base + 1, admin: base + 2, outbound: base + 3, app: base + 4, internal: base + 10}
	return s, nil
}

// freePorts returns the first of a range of ports that are free on an address.
func freePorts(ip netip.Addr) (uint16, error) {
	for base := 21000; base < 30000; base += 50 {
		ok := true
		for port := base; port < base+30 && ok; port++ {
			l, err := net.Listen("tcp", netip.AddrPortFrom(ip, uint16(port)).String())
			if err != nil {
				ok = false
				continue
			}
			_ = l.Close()
		}
		if ok {
			return uint16(base), nil
		}
	}
	return 0, fmt.Errorf("no free ports on %s", ip)
}

func (s *site) address(machine int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.a, s.b, byte(machine)}), port)
}

// name returns the name of a process.
func name(role string, machine int) string { return fmt.Sprintf("%s-%d", role, machine) }

// writeSettings writes the settings file of a role on a machine in the platform's format.
func (s *site) writeSettings(role string, machine int, service string, bootstrap bool) (string, error) {
	name := name(role, machine)
	var seeds []string
	for _, n := range s.seeds {
		seeds = append(seeds, s.address(n, s.p.admin).String())
	}
	listen := map[string]string{}
	bounds := map[string]int{"SeedDelayS": 3, "AddrReuseS": 2, "ContactMs": contactMs, "AckMs": 5000, "SyncS": 4, "DrainMs": drainMs,
		"GraceS": graceS, "LossSlackMs": 200, "PropagationMs": 3000, "DowngradeMs": downgradeMs, "SkewMs": 12000, "RecoveryS": 12,
		"ReorderMs": reorderMs, "MaxFlowS": maxFlowS}
	memory := 284
	if s.grown {
		memory = ramMb
		for name, value := range grownBounds {
			bounds[name] = value
		}
	}
	values := map[string]any{
		"NodeName": fmt.Sprintf("m-%d", machine), "Role": role, "Ip": s.address(machine, 0).Addr().String(),
		"Zone": "salt-lake", "Region": "bengal", "Zones": map[string]string{"salt-lake": "bengal"},
		"InternalPorts": []uint16{s.p.internal, s.p.internal + 15}, "Seeds": seeds, "Bootstrap": bootstrap,
		"Limits":      map[string]any{"CpuQuota": 0.72, "Cpus": 1, "RamMb": memory, "MaxFds": 4100, "NicMbps": 1000.0, "DiskMb": 64},
		"HeartbeatMs": heartbeatMs, "Policies": []string{"base", "drain", "config", "cost", "recover", "flows"},
		"FaultDomains": map[string]int{"Machines": 1, "Zones": 0, "RegionCount": 0},
		"Bounds":       bounds,
		"config_mode":  "highest", "EcmpHash": "mod", "ForwardingMode": "agent", "Discovery": "local", "Ingress": "bgp",
	}
	switch role {
	case "entry":
		values["NodeClass"] = "edge"
		listen["UdpAddr"] = s.address(machine, s.p.udp).String()
		listen["ReadinessAddr"] = s.address(machine, s.p.ready).String()
	case "control":
		values["NodeClass"], values["InTolerance"] = "edge", true
		listen["Admin"] = s.address(machine, s.p.admin).String()
		dir := filepath.Join(s.dir, name+".data")
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return "", err
		}
		values["DataDir"] = dir
	case "agent":
		values["NodeClass"], values["Service"], values["app"] = "side", service, s.address(machine, s.p.app).String()
		listen["UdpAddr"] = s.address(machine, s.p.udp).String()
		listen["ReadinessAddr"] = s.address(machine, s.p.ready).String()
		listen["Admin"] = s.address(machine, s.p.admin).String()
		listen["outbound"] = s.address(machine, s.p.outbound).String()
	}
	values["Listen"] = listen
	data, err := json.Marshal(values)
	if err != nil {
		return "", err
	}
	path := filepath.Join(s.dir, name+".json")
	return path, os.WriteFile(path, data, 0o600)
}

// start starts a role on a machine with the command of the deploy file.
func (s *site) start(role string, machine int, service string, bootstrap bool) (*process, error) {
	path, err := s.writeSettings(role, machine, service, bootstrap)
	if err != nil {
		return nil, err
	}
	metrics := map[string]int{"entry": 9101, "agent": 9101, "control": 9102}[role]
	started, err := startProcess(filepath.Join(s.dir, name(role, machine)+".log"), append([]string{"CHERVILTIDE_SETTINGS=" + path}, s.environment...),
		s.binary, "platform", role, "--metrics-port", strconv.Itoa(metrics))
	if err != nil {
		return nil, err
	}
	started.role, started.machine = role, machine
	s.mu.Lock()
	s.processes = append(s.processes, started)
	s.mu.Unlock()
	return started, nil
}

// terminate sends SIGTERM and kills the process after the grace period.
func (p *process) terminate() {
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(graceS * time.Second):
		p.Kill()
	}
}

func (s *site) killAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		p.Kill()
	}
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request and returns the status and the body; status 0 means no answer within the timeout.
func call(method string, to netip.AddrPort, path string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, data
}

// route is a route of a configuration.
type route struct {
	host    string
	port    int
	kind    string
	service string
	timeout int
	goal    int
}

// configuration returns the body of PUT /config.
func configuration(version int, routes []route, services []string) []byte {
	var r, sv []string
	for i, x := range routes {
		r = append(r, fmt.Sprintf(`{"Name":"r-%d","Host":"%s","Prefix":"/%d/","Kind":"%s","TimeoutMs":%d,"GoalMs":%d,"Priority":2,"Service":"%s","Attempts":2}`,
			i, x.host, x.port, x.kind, x.timeout, x.goal, x.service))
	}
	for _, name := range services {
		sv = append(sv, fmt.Sprintf(`{"Name":"%s","HealthPath":"/healthz","MaxConns":2000,"Proto":"h1","Tls":false}`, name))
	}
	return []byte(fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[%s],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":%d}}`,
		version, strings.Join(r, ","), strings.Join(sv, ","), idleMs))
}

// putUntilAcknowledged sends a configuration to the control instance that acknowledged the last one, and then to one after the
// other until one acknowledges it.
func (s *site) putUntilAcknowledged(body []byte, within time.Duration) bool {
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		status, _ := call(http.MethodPut, s.address(s.seeds[s.preferred%len(s.seeds)], s.p.admin), "/config", body, time.Second)
		if status == 200 {
			return true
		}
		s.preferred++
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// ramMb is the memory of a machine of the core for each process on the grown sheets, grownBounds has their bounds that differ from
// those of the small ones.
const ramMb = 104

var grownBounds = map[string]int{"ContactMs": 5000, "AckMs": 6000, "SyncS": 6, "DrainMs": 4000, "PropagationMs": 4000, "SkewMs": 15000, "RecoveryS": 15}
