package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// program is the binary that the build of the deploy file makes; the working directory is the root of the repository.
const program = "target/cherviltide"

// Bounds of the site khs-muc.
const (
	contactTime     = 4 * time.Second
	propagationTime = 3 * time.Second
	syncTime        = 4 * time.Second
	recoveryTime    = 12 * time.Second
	graceTime       = 6 * time.Second
	reorderTime     = 2 * time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 300 * time.Millisecond
)

// site is a small deployment on loopback addresses. All machines have the same ports, as on a real site.
type site struct {
	directory string
	network   int
	// Ports of the site; listen is the port at which a control process listens when a gate has its address.
	admin, listen, metrics, udp, ready, internal int
	started                                      time.Time
	record                                       *os.File
	machines                                     []*machine
	daemons                                      []*daemon
}

func newSite(record *os.File) (*site, error) {
	directory, err := os.MkdirTemp("", "review-site-")
	if err != nil {
		return nil, err
	}
	s := &site{directory: directory, network: 2 + rand.IntN(250), started: time.Now(), record: record}
	s.admin = 20000 + 10*rand.IntN(1000)
	s.listen, s.metrics, s.udp, s.ready, s.internal = s.admin+1, s.admin+2, s.admin+3, s.admin+4, s.admin+5
	for _, port := range []int{s.admin, s.listen, s.metrics, s.ready} {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", s.network, port))
		if err != nil {
			return nil, err
		}
		_ = l.Close()
	}
	return s, nil
}

// close ends all processes and removes the files.
func (s *site) close() {
	for _, m := range s.machines {
		m.kill()
	}
	for _, d := range s.daemons {
		d.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.directory)
	} else {
		fmt.Println("kept", s.directory)
	}
}

// logf writes a line with the time since the start to the record.
func (s *site) logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = s.record.WriteString(line)
	fmt.Print(line)
}

// machine is a machine that runs a control process.
type machine struct {
	site    *site
	name    string
	ip      string
	zone    string
	hasDisk bool
	seeds   []string
	// bootstrap is true at the first start of the whole system.
	bootstrap bool
	gate      *gate
	command   *exec.Cmd
	starts    int
}

func (s *site) newMachine(name, zone string, zoneNumber, number int, hasDisk bool) *machine {
	m := &machine{site: s, name: name, ip: fmt.Sprintf("127.%d.%d.%d", s.network, zoneNumber, number), zone: zone, hasDisk: hasDisk, bootstrap: true}
	s.machines = append(s.machines, m)
	return m
}

// address is the address of the operators' interface of the machine.
func (m *machine) address() string { return net.JoinHostPort(m.ip, fmt.Sprint(m.site.admin)) }

// listenAddress is the address at which its process listens when a gate has the other one.
func (m *machine) listenAddress() string { return net.JoinHostPort(m.ip, fmt.Sprint(m.site.listen)) }

func (m *machine) dataDirectory() string { return filepath.Join(m.site.directory, m.name, "data") }

// settings returns the settings file of the control process.
func (m *machine) settings() map[string]any {
	s := m.site
	f := map[string]any{
		"NodeName": m.name, "Role": "control", "NodeClass": "edge", "Tiers": []string{"mgmt"}, "Ip": m.ip, "Zone": m.zone, "Region": "bavaria",
		"Zones":         map[string]string{"muc-a": "bavaria", "muc-b": "bavaria", "nue-a": "bavaria"},
		"Listen":        map[string]string{"UdpAddr": fmt.Sprintf("%s:%d", m.ip, s.udp), "ReadinessAddr": fmt.Sprintf("%s:%d", m.ip, s.ready), "Admin": m.address()},
		"InternalPorts": []int{s.internal, s.internal + 4}, "Seeds": m.seeds, "Bootstrap": m.bootstrap, "InTolerance": m.hasDisk,
		"Limits":    map[string]any{"CpuQuota": 0.72, "Cpus": 1, "RamMb": 284, "MaxFds": 4100, "NicMbps": 1000.0, "DiskMb": 64},
		"Discovery": "local", "Ingress": "bgp", "HeartbeatMs": 770,
		"Policies":     []string{"base", "drain", "config", "cost", "recover", "flows"},
		"FaultDomains": map[string]int{"Machines": 1, "Zones": 0, "RegionCount": 0},
		"Bounds": map[string]any{
			"SeedDelayS": 3, "AddrReuseS": 2, "ContactMs": 4000, "AckMs": 5000, "SyncS": 4, "DrainMs": 3000, "GraceS": 6, "LossSlackMs": 200,
			"PropagationMs": 3000, "DowngradeMs": 250, "SkewMs": 12000, "RecoveryS": 12, "ReorderMs": 2000, "MaxFlowS": 60,
		},
		"config_mode": "highest", "EcmpHash": "mod", "ForwardingMode": "agent",
	}
	if m.hasDisk {
		f["DataDir"] = m.dataDirectory()
	}
	return f
}

func (m *machine) settingsPath() string {
	return filepath.Join(m.site.directory, m.name, "settings.json")
}

// writeSettings writes the settings file.
func (m *machine) writeSettings() error {
	data, err := json.Marshal(m.settings())
	if err != nil {
		return err
	}
	if err := os.WriteFile(m.settingsPath()+".new", data, 0o644); err != nil {
		return err
	}
	return os.Rename(m.settingsPath()+".new", m.settingsPath())
}

// start starts the control process with the command of the deploy file.
func (m *machine) start() error {
	directory := filepath.Join(m.site.directory, m.name)
	if err := os.MkdirAll(m.dataDirectory(), 0o755); err != nil {
		return err
	}
	if err := m.writeSettings(); err != nil {
		return err
	}
	m.starts++
	output, err := os.Create(filepath.Join(directory, fmt.Sprintf("log-%d", m.starts)))
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	m.command = exec.Command(program, "platform", "control", "--metrics-port", fmt.Sprint(m.site.metrics))
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHERVILTIDE_SETTINGS=" + m.settingsPath()}
	if m.gate != nil {
		m.command.Env = append(m.command.Env, "CHERVILTIDE_CONTROL_LISTEN="+m.listenAddress())
	}
	m.command.Stdout, m.command.Stderr = output, output
	if err := m.command.Start(); err != nil {
		return err
	}
	m.site.logf("%s started at %s, seeds %v, bootstrap %v, disk %v", m.name, m.address(), m.seeds, m.bootstrap, m.hasDisk)
	return nil
}

func (m *machine) pid() int {
	if m.command == nil || m.command.Process == nil {
		return 0
	}
	return m.command.Process.Pid
}

// kill ends the process, if it runs, and waits for its end.
func (m *machine) kill() {
	if m.command == nil {
		return
	}
	_ = m.command.Process.Signal(syscall.SIGKILL)
	_ = m.command.Wait()
	m.command = nil
}

// hasExited reports whether the process has ended by itself.
func (m *machine) hasExited() bool {
	if m.command == nil {
		return false
	}
	var status syscall.WaitStatus
	pid, err := syscall.Wait4(m.pid(), &status, syscall.WNOHANG, nil)
	return err == nil && pid == m.pid()
}

// restartEnded starts the processes again that have ended by themselves, as the platform does, and returns how many have ended.
func (s *site) restartEnded() (int, error) {
	ended := 0
	for _, m := range s.machines {
		if !m.hasExited() {
			continue
		}
		s.logf("the process of %s has ended by itself", m.name)
		ended++
		m.command, m.bootstrap = nil, false
		if err := m.start(); err != nil {
			return ended, err
		}
	}
	return ended, nil
}

// wipe empties the disk of a machine whose process does not run.
func (m *machine) wipe() error {
	return os.RemoveAll(m.dataDirectory())
}
