package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment whose sheet names the disruption.
const (
	bridgeContactMs     = 5000
	bridgePropagationMs = 4000
	bridgeCutFor        = 5500 * time.Millisecond
	bridgeRestarts      = 12
)

// link is a proxy in front of a control instance. It learns from which machine a connection comes, and passes nothing between
// that machine's zone and the instance while the two zones are cut.
type link struct {
	s        *bridgeSite
	machine  int
	listener net.Listener
	to       string
}

// bridgeSite is a site with three zones and a link in front of each control instance.
type bridgeSite struct {
	*site
	zoneOf   map[int]int // machine to zone
	controls map[int]*process
	mu       sync.Mutex
	// cut has the two zones that can't reach each other; zeros when there is no cut.
	cut [2]int
}

func (b *bridgeSite) setCut(zones [2]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut = zones
}

func (b *bridgeSite) isCut(a, z int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return a != 0 && z != 0 && (b.cut == [2]int{a, z} || b.cut == [2]int{z, a})
}

func (l *link) run() {
	for {
		caller, err := l.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			from := l.s.zoneOf[l.s.machineOf(caller)]
			instance, err := net.Dial("tcp", l.to)
			if err != nil {
				_ = caller.Close()
				return
			}
			go l.copy(instance, caller, from)
			l.copy(caller, instance, from)
		}()
	}
}

// copy forwards bytes and holds them while the zones are cut.
func (l *link) copy(to, from net.Conn, zone int) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for l.s.isCut(zone, l.s.zoneOf[l.machine]) {
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil && err == nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// machineOf returns the machine of the process that opened a connection; 0 for the stand-ins.
func (b *bridgeSite) machineOf(c net.Conn) int {
	local, remote := c.RemoteAddr().(*net.TCPAddr).AddrPort(), c.LocalAddr().(*net.TCPAddr).AddrPort()
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	inode := ""
	want := []string{hexAddress(local), hexAddress(remote)}
	for _, line := range strings.Split(string(data), "\n") {
		f := strings.Fields(line)
		if len(f) > 9 && f[1] == want[0] && f[2] == want[1] {
			inode = "socket:[" + f[9] + "]"
		}
	}
	b.site.mu.Lock()
	processes := append([]*process(nil), b.processes...)
	b.site.mu.Unlock()
	for _, p := range processes {
		dir := fmt.Sprintf("/proc/%d/fd", p.ID())
		list, err := os.ReadDir(dir)
		if err != nil {
			continue
		}
		for _, entry := range list {
			if name, err := os.Readlink(filepath.Join(dir, entry.Name())); err == nil && name == inode {
				return p.machine
			}
		}
	}
	return 0
}

func hexAddress(a netip.AddrPort) string {
	ip := a.Addr().Unmap().As4()
	return fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(ip[:]), a.Port())
}

// startBehindLink starts a control instance that listens behind a link.
func (b *bridgeSite) startBehindLink(machine int) error {
	listener, err := net.Listen("tcp", b.address(machine, b.p.admin).String())
	if err != nil {
		return err
	}
	l := &link{s: b, machine: machine, listener: listener, to: b.proxied(machine).String()}
	go l.run()
	return b.startControl(machine, true)
}

// proxied returns the address at which a control instance listens behind its link.
func (b *bridgeSite) proxied(machine int) netip.AddrPort { return b.address(machine, b.p.admin+20) }

func (b *bridgeSite) startControl(machine int, bootstrap bool) error {
	b.site.environment = []string{"CHERVILTIDE_CONTROL_LISTEN=" + b.proxied(machine).String()}
	defer func() { b.site.environment = nil }()
	p, err := b.start("control", machine, "", bootstrap)
	b.controls[machine] = p
	return err
}

// restartControl stops a control instance as planned and starts it again.
func (b *bridgeSite) restartControl(machine int) error {
	b.controls[machine].terminate()
	time.Sleep(1500 * time.Millisecond)
	return b.startControl(machine, false)
}

// leader returns the machine of the control instance that was last elected for a group, from the log lines, or 0.
func (b *bridgeSite) leader(group string) int {
	leader, newest := 0, uint64(0)
	for _, n := range b.seeds {
		data, err := os.ReadFile(filepath.Join(b.dir, fmt.Sprintf("control-%d.log", n)))
		if err != nil {
			continue
		}
		for _, line := range bytes.Split(data, []byte("\n")) {
			var event struct {
				Event, Group string
				Term         uint64
			}
			if json.Unmarshal(line, &event) == nil && event.Event == "Leads" && event.Group == group && event.Term >= newest {
				leader, newest = n, event.Term
			}
		}
	}
	return leader
}

// Machines of the bridge case, besides those of control. They are in the zone that reaches both others, so nothing but control
// passes between the two zones that are cut.
var (
	bridgeEntries = []int{31, 32, 33, 34, 35, 36, 37, 38}
	oldTargets    = []int{41, 42, 43, 44, 45, 46, 47, 48}
	newTargets    = []int{51, 52, 53}
)

const (
	oldService, newService = "signq-api", "bundle-store"
	bridgePerS             = 150
)

// startBridgeMachines starts the entries, the targets and the daemons beside them in a zone.
func (b *bridgeSite) startBridgeMachines(zone int, l *ledger) error {
	for _, n := range bridgeEntries {
		b.zoneOf[n] = zone
		if _, err := b.start("entry", n, "", false); err != nil {
			return err
		}
	}
	short := func() time.Duration { return 5 * time.Millisecond }
	for i, n := range append(append([]int(nil), oldTargets...), newTargets...) {
		b.zoneOf[n] = zone
		name := oldService
		if i >= len(oldTargets) {
			name = newService
		}
		if _, err := startTarget(b.site, n, fmt.Sprintf("%s-%d", name, n), name, 4, short, l); err != nil {
			return err
		}
		if _, err := b.start("agent", n, name, false); err != nil {
			return err
		}
	}
	return nil
}

func bridgeConfiguration(version int, of string) []byte {
	return configuration(version, []route{
		{virtual.Addr().String(), int(virtual.Port()), "non_idempotent", of, 1500, 250},
		{"198.18.0.2", 8443, "idempotent", newService, 1500, 250},
	}, []string{oldService, newService})
}

// runBridge cuts two zones from each other, while the third reaches both, and moves a route to another service meanwhile. It
// checks that requests through the third zone follow the change within PropagationMs.
func runBridge(e *environment) (bool, error) {
	l := newLedger()
	b := &bridgeSite{site: e.site, zoneOf: map[int]int{1: 1, 2: 2, 3: 3}, controls: map[int]*process{}}
	for _, n := range b.seeds {
		if err := b.startBehindLink(n); err != nil {
			return false, err
		}
	}
	if !b.putUntilAcknowledged(bridgeConfiguration(1, oldService), 15*time.Second) {
		return false, errors.New("the first configuration was not acknowledged")
	}
	// At the first start one instance leads both groups. Instances are restarted until the leaders are apart, as they are sooner
	// or later in operation.
	config, membership := 0, 0
	for i := 0; ; i++ {
		time.Sleep(3 * time.Second)
		config, membership = b.leader("Configuration"), b.leader("Membership")
		e.note(true, "control in zone %d leads the configuration, in zone %d the membership", config, membership)
		if membership != config {
			break
		}
		if i == bridgeRestarts {
			return false, errors.New("the leaders did not come apart")
		}
		if err := b.restartControl(config); err != nil {
			return false, err
		}
	}
	third := 6 - config - membership
	if err := b.startBridgeMachines(third, l); err != nil {
		return false, err
	}
	r := newRouter(b.site, bridgeEntries)
	c, err := startClients(r, clientMachine)
	if err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	load := &load{e: e, c: c, stop: make(chan struct{})}
	load.wg.Add(1)
	go load.openSteadily(bridgePerS)
	time.Sleep(2 * time.Second)

	cutAt := time.Now()
	if e.trouble {
		b.setCut([2]int{config, membership})
		e.note(true, "zones %d and %d can't reach each other; zone %d, with the entries and the targets, reaches both", config, membership, third)
	}
	time.Sleep(200 * time.Millisecond)
	sent := time.Now()
	status, _ := call(http.MethodPut, b.address(config, b.p.admin), "/config", bridgeConfiguration(2, newService), time.Second)
	if status != 200 && !b.putUntilAcknowledged(bridgeConfiguration(2, newService), 2*time.Second) {
		return false, errors.New("the change was not acknowledged")
	}
	acknowledgedAt := time.Now()
	e.note(true, "version 2 moves the route from %s to %s; acknowledged after %d ms", oldService, newService, acknowledgedAt.Sub(sent).Milliseconds())
	time.Sleep(time.Until(cutAt.Add(bridgeCutFor)))
	b.setCut([2]int{})
	healedAt := time.Now()
	e.note(true, "the zones reach each other again")
	time.Sleep(4 * time.Second)
	close(load.stop)
	load.wg.Wait()

	from := acknowledgedAt.Add(bridgePropagationMs * time.Millisecond)
	if inTouch := cutAt.Add(bridgeContactMs * time.Millisecond); e.trouble && inTouch.After(from) {
		from = inTouch
	}
	broken, judged := 0, 0
	for _, q := range load.requests {
		e.noteAt(q.sent, false, "flow %s opened at %.3f, request %s: %v, run by %q", q.key.client, q.opened.Sub(e.started).Seconds(), q.id, q.err, q.answeredBy)
		if q.err != nil || q.opened.Before(from) || q.done.After(healedAt) {
			continue
		}
		judged++
		if strings.HasPrefix(q.answeredBy, oldService) {
			broken++
			if broken <= 5 {
				e.noteAt(q.opened, true, "CONFIG: flow %s, opened %d ms after the acknowledgement of version 2 and %d ms after the cut began, is run by %s", q.key.client,
					q.opened.Sub(acknowledgedAt).Milliseconds(), q.opened.Sub(cutAt).Milliseconds(), q.answeredBy)
			}
		}
	}
	e.note(true, "%d requests judged, %d of them run by the old service", judged, broken)
	return broken == 0, nil
}

// openSteadily opens flows that carry one request each.
func (l *load) openSteadily(perS int) {
	defer l.wg.Done()
	ticker := time.NewTicker(time.Second / time.Duration(perS))
	defer ticker.Stop()
	for range ticker.C {
		if l.stopped() {
			return
		}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			opened := time.Now()
			f, err := l.c.open(virtual)
			if err != nil {
				return
			}
			sent := time.Now()
			id, by, err := f.request(900, 1500*time.Millisecond)
			l.add(request{key: f.key, id: id, opened: opened, sent: sent, done: time.Now(), answeredBy: by, err: err})
			f.close()
		}()
	}
}
