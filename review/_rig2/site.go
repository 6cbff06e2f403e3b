package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of a machine; each machine has a loopback address of its own.
const (
	trafficPort = 21_101 + iota
	readyPort
	adminPort
	outboundPort
	appPort
	metricsPort
	// innerAdminPort is where a control instance listens when a proxy of the case has its admin port.
	innerAdminPort
	internalPort
)

// Bounds of the settings, those of the small deployments.
const (
	heartbeatMs   = 1_200
	contactMs     = 4_000
	drainMs       = 3_000
	propagationMs = 3_000
	graceS        = 6
)

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// site is a small deployment on loopback addresses.
type site struct {
	record *record
	binary string
	dir    string
	net    [2]byte
	seeds  []int
	// machinesToBear is FaultDomains.Machines.
	machinesToBear int
	// proxied has the machines whose control instance listens behind a proxy.
	proxied map[int]bool
	mu      sync.Mutex
	daemons map[string]*daemon
}

// daemon is a process of the system that the platform keeps running.
type daemon struct {
	name    string
	role    string
	machine int
	service string
	cmd     *exec.Cmd
	done    chan struct{}
	// wanted is true while the platform starts the process again when it has ended.
	wanted bool
	// ownEnds counts the ends that no signal of the case has caused.
	ownEnds int
	settled bool
}

func newSite(r *record, seeds []int, machinesToBear int) (*site, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	binary := filepath.Join(root, "target", "cherviltide")
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	second := 100 + (pid/250+int(sites.Add(1)))%100
	return &site{
		record: r, binary: binary, dir: dir, net: [2]byte{byte(second), byte(1 + pid%250)}, seeds: seeds,
		machinesToBear: machinesToBear, proxied: map[int]bool{}, daemons: map[string]*daemon{},
	}, nil
}

// sites counts the sites of this process, so that each has a network of its own.
var sites atomic.Int64

func (s *site) address(machine int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.net[0], s.net[1], byte(machine)}), port)
}

func (s *site) zone(machine int) string { return []string{"a", "b", "c"}[machine%3] }

// start starts a daemon with the command of the deploy file and keeps it running.
func (s *site) start(role string, machine int, service string, bootstrap bool) (*daemon, error) {
	d := &daemon{name: fmt.Sprintf("%s-%d", role, machine), role: role, machine: machine, service: service, wanted: true}
	if err := s.writeSettings(d, bootstrap); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons[d.name] = d
	return d, s.launch(d)
}

// launch starts the process of a daemon. The caller holds the lock.
func (s *site) launch(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(s.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	port := "9101"
	if d.role == "control" {
		port = "9102"
	}
	cmd := exec.Command(s.binary, "platform", d.role, "--metrics-port", port)
	cmd.Env = append(os.Environ(), "CHERVILTIDE_SETTINGS="+s.settingsPath(d))
	if d.role == "control" && s.proxied[d.machine] {
		cmd.Env = append(cmd.Env, "CHERVILTIDE_CONTROL_LISTEN="+s.address(d.machine, innerAdminPort).String())
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.cmd, d.done = cmd, done
	go s.wait(d, cmd, done)
	return nil
}

// wait waits for the end of a process and starts it again as the platform does.
func (s *site) wait(d *daemon, cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	close(done)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !d.wanted || d.cmd != cmd {
		return
	}
	if d.ownEnds++; d.ownEnds <= 3 {
		s.record.log("%s ended by itself: %v", d.name, err)
	}
	s.mu.Unlock()
	time.Sleep(restartDelay)
	s.mu.Lock()
	if d.wanted && d.cmd == cmd {
		_ = s.launch(d)
	}
}

// signal sends a signal to the process of a daemon.
func (s *site) signal(d *daemon, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.log("%v to %s", sig, d.name)
	_ = d.cmd.Process.Signal(sig)
}

// stop ends the process of a daemon with a signal, and does not start it again.
func (s *site) stop(d *daemon, sig syscall.Signal) {
	s.mu.Lock()
	d.wanted = false
	_ = d.cmd.Process.Signal(sig)
	done := d.done
	s.mu.Unlock()
	s.record.log("%v to %s", sig, d.name)
	<-done
	s.record.log("%s has ended", d.name)
}

// restart starts a stopped daemon again with its settings.
func (s *site) restart(d *daemon, bootstrap bool) error {
	if err := s.writeSettings(d, bootstrap); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d.wanted = true
	s.record.log("%s starts again", d.name)
	return s.launch(d)
}

// close ends all processes and removes the directory.
func (s *site) close() {
	s.mu.Lock()
	list := make([]*daemon, 0, len(s.daemons))
	for _, d := range s.daemons {
		d.wanted = false
		_ = d.cmd.Process.Kill()
		list = append(list, d)
	}
	s.mu.Unlock()
	for _, d := range list {
		<-d.done
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println(s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

func (s *site) settingsPath(d *daemon) string { return filepath.Join(s.dir, d.name+".json") }

func (s *site) writeSettings(d *daemon, bootstrap bool) error {
	var seeds []string
	for _, machine := range s.seeds {
		seeds = append(seeds, s.address(machine, adminPort).String())
	}
	n := d.machine
	listen := map[string]string{}
	file := map[string]any{
		"NodeName": fmt.Sprintf("node-%d", n), "Role": d.role, "Ip": s.address(n, 0).Addr().String(), "Zone": s.zone(n), "Region": "r",
		"Zones": map[string]string{"a": "r", "b": "r", "c": "r"}, "InternalPorts": []int{internalPort, internalPort + 15},
		"Seeds": seeds, "Bootstrap": bootstrap, "InTolerance": d.role == "control", "HeartbeatMs": heartbeatMs, "Listen": listen,
		"Limits":   map[string]any{"CpuQuota": 0.72, "Cpus": 1, "RamMb": 284, "MaxFds": 4100, "NicMbps": 1000.0, "DiskMb": 64},
		"Policies": []string{"base", "drain", "config", "cost", "recover", "flows"},
		"Bounds": map[string]any{"SeedDelayS": 3, "AddrReuseS": 2, "ContactMs": contactMs, "AckMs": 5000, "SyncS": 4, "DrainMs": drainMs,
			"GraceS": graceS, "LossSlackMs": 200, "PropagationMs": propagationMs, "DowngradeMs": 250, "SkewMs": 12000, "RecoveryS": 12,
			"ReorderMs": 2000, "MaxFlowS": 60},
		"FaultDomains": map[string]int{"Machines": s.machinesToBear, "Zones": 0, "RegionCount": 0},
		"config_mode":  "highest", "EcmpHash": "mod", "ForwardingMode": "agent",
	}
	switch d.role {
	case "control":
		listen["Admin"] = s.address(n, adminPort).String()
		file["DataDir"] = filepath.Join(s.dir, d.name+".data")
	case "entry":
		listen["UdpAddr"], listen["ReadinessAddr"] = s.address(n, trafficPort).String(), s.address(n, readyPort).String()
	case "agent":
		listen["UdpAddr"], listen["ReadinessAddr"] = s.address(n, trafficPort).String(), s.address(n, readyPort).String()
		listen["Admin"], listen["outbound"] = s.address(n, adminPort).String(), s.address(n, outboundPort).String()
		file["Service"], file["app"] = d.service, s.address(n, appPort).String()
	}
	data, err := json.Marshal(file)
	if err != nil {
		return err
	}
	path := s.settingsPath(d)
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// client makes a new connection for each call, like a command of an operator.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
	if len(via) > 2 {
		return errors.New("more than two redirects")
	}
	return nil
}}

// call sends a request with a timeout and returns the status, 0 without a response.
func call(timeout time.Duration, method, url string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
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

func (s *site) configURL(machine int) string {
	return "http://" + s.address(machine, adminPort).String() + "/config"
}

// read reads the configuration from a machine and returns its version.
func (s *site) read(machine int) (version uint64, ok bool) {
	status, body := call(time.Second, http.MethodGet, s.configURL(machine), nil)
	var c struct{ Version uint64 }
	if status != http.StatusOK || json.Unmarshal(body, &c) != nil {
		return 0, false
	}
	return c.Version, true
}

// put sends a version to the given machines in turn until one acknowledges it or the deadline has passed.
func (s *site) put(version uint64, body []byte, machines []int, deadline time.Time) bool {
	for i := 0; time.Now().Before(deadline); i++ {
		machine := machines[i%len(machines)]
		status, _ := call(time.Second, http.MethodPut, s.configURL(machine), body)
		if status == http.StatusOK {
			s.record.log("version %d acknowledged by machine %d", version, machine)
			return true
		}
		time.Sleep(min(time.Duration(50*(i+1))*time.Millisecond, 500*time.Millisecond))
	}
	return false
}

func parseTrouble() bool { v, err := strconv.Atoi(os.Getenv("TROUBLE")); return err != nil || v != 0 }
