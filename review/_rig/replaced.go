package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Sizes and times of the replaced case.
const (
	replacements     = 9
	replacementPause = 5 * time.Second
	plannedOverlap   = 2 * time.Second
	rollGap          = 9 * time.Second
	restartAfter     = 300 * time.Millisecond
	propagationMs    = 3000
	firstReplacement = 61
)

// silent keeps the address of a machine that is gone from answering: its queue of new connections is full, so that opening
// packets are dropped, as on a network where nobody has the address.
type silent struct{ fds []int }

func newSilent(ip [4]byte, port int) (*silent, error) {
	s := &silent{}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	s.fds = append(s.fds, fd)
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	to := &syscall.SockaddrInet4{Port: port, Addr: ip}
	if err := syscall.Bind(fd, to); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	for range 4 {
		c, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
		if err != nil {
			return nil, err
		}
		s.fds = append(s.fds, c)
		if err := syscall.Connect(c, to); err != nil && !errors.Is(err, syscall.EINPROGRESS) {
			return nil, err
		}
	}
	return s, nil
}

// replacedSite is a site whose control instances are replaced and restarted.
type replacedSite struct {
	*environment
	controls map[int]*process
	mu       sync.Mutex
	// core has the times at which a control instance was stopped or started.
	core []time.Time
}

func (r *replacedSite) coreEvent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core = append(r.core, time.Now())
}

// stable reports whether no control instance was stopped or started from contactMs before a time until another time.
func (r *replacedSite) stable(from, to time.Time) bool {
	for _, at := range r.core {
		if at.After(from.Add(-contactMs*time.Millisecond)) && at.Before(to) {
			return false
		}
	}
	return true
}

func (r *replacedSite) startControl(machine int, bootstrap bool) error {
	p, err := r.site.start("control", machine, "", bootstrap)
	r.controls[machine] = p
	r.coreEvent()
	return err
}

// replaceCore replaces a control instance as planned: an empty one at another address starts, and the old one is stopped
// later. Nobody answers at the old address from then on.
func (r *replacedSite) replaceCore(old, next int) error {
	live := append([]int(nil), r.site.seeds...)
	if err := r.startControl(next, false); err != nil {
		return err
	}
	time.Sleep(plannedOverlap)
	r.controls[old].terminate()
	r.coreEvent()
	delete(r.controls, old)
	if _, err := newSilent(r.site.address(old, 0).Addr().As4(), int(r.site.p.admin)); err != nil {
		return err
	}
	for i, n := range live {
		if n == old {
			live[i] = next
		}
	}
	r.site.seeds = live
	r.note(true, "control on machine %d is replaced by an empty one on machine %d", old, next)
	time.Sleep(replacementPause - plannedOverlap)
	return nil
}

// versionEvent is a version of the configuration with the times at which it was sent and acknowledged.
type versionEvent struct {
	service            string
	sent, acknowledged time.Time
}

// voterCounts returns how many voters a control instance counts in its groups, and which of them it leads.
func (r *replacedSite) voterCounts(machine int) string {
	_, body := call(http.MethodGet, r.site.address(machine, r.site.p.admin), "/debug/vars", nil, time.Second)
	var vars map[string]any
	if json.Unmarshal(body, &vars) != nil {
		return "no metrics"
	}
	return fmt.Sprintf("configuration: %v voters, leads %v; membership: %v voters, leads %v", vars["Configuration.Voters"],
		vars["Configuration.Leads"], vars["Membership.Voters"], vars["Membership.Leads"])
}

// runReplaced replaces control instances one after the other and then stops and starts them in turn, as planned. Each time
// a version moves a route to another service. It checks that requests follow.
func runReplaced(e *environment) (bool, error) {
	r := &replacedSite{environment: e, controls: map[int]*process{}}
	l := newLedger()
	for _, n := range e.site.seeds {
		if err := r.startControl(n, true); err != nil {
			return false, err
		}
	}
	version := 1
	versions := []versionEvent{{service: oldService}}
	put := func(of string) bool {
		version++
		v := versionEvent{service: of, sent: time.Now()}
		if !e.site.putUntilAcknowledged(bridgeConfiguration(version, of), 4*time.Second) {
			return false
		}
		v.acknowledged = time.Now()
		versions = append(versions, v)
		e.note(true, "version %d moves the route to %s; acknowledged after %d ms", version, of, v.acknowledged.Sub(v.sent).Milliseconds())
		return true
	}
	versions[0].sent = time.Now()
	if !e.site.putUntilAcknowledged(bridgeConfiguration(1, oldService), 15*time.Second) {
		return false, errors.New("the first configuration was not acknowledged")
	}
	versions[0].acknowledged = time.Now()
	entries := []int{31, 32, 33, 34, 35, 36}
	for _, n := range entries {
		if _, err := e.site.start("entry", n, "", true); err != nil {
			return false, err
		}
	}
	short := func() time.Duration { return 5 * time.Millisecond }
	for i, n := range []int{41, 42, 43, 44, 45, 51, 52, 53, 54, 55} {
		name := oldService
		if i >= 5 {
			name = newService
		}
		if _, err := startTarget(e.site, n, fmt.Sprintf("%s-%d", name, n), name, 4, short, l); err != nil {
			return false, err
		}
		if _, err := e.site.start("agent", n, name, true); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	count := replacements
	if text := os.Getenv("REPLACEMENTS"); text != "" {
		count, _ = strconv.Atoi(text)
	}
	for i := range count {
		if !e.trouble {
			time.Sleep(replacementPause)
			continue
		}
		if err := r.replaceCore(r.site.seeds[i%3], firstReplacement+i); err != nil {
			return false, err
		}
	}
	for _, n := range e.site.seeds {
		e.note(true, "control on machine %d: %s", n, r.voterCounts(n))
	}
	router := newRouter(e.site, entries)
	c, err := startClients(router, clientMachine)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	load := &load{e: e, c: c, stop: make(chan struct{})}
	load.wg.Add(1)
	go load.openSteadily(bridgePerS)
	time.Sleep(2 * time.Second)
	names := []string{newService, oldService}
	for i := range 4 {
		n := e.site.seeds[i%3]
		if e.trouble {
			r.controls[n].terminate()
			r.coreEvent()
			e.note(true, "control on machine %d is stopped", n)
		}
		time.Sleep(restartAfter)
		if e.trouble {
			if err := r.startControl(n, false); err != nil {
				return false, err
			}
			e.note(true, "control on machine %d is started", n)
		}
		if !put(names[i%2]) {
			return false, errors.New("a change was not acknowledged")
		}
		time.Sleep(rollGap)
	}
	close(load.stop)
	load.wg.Wait()
	return r.judge(load, versions), nil
}

// judge reports whether rule CONFIG held: no request that was sent later than PropagationMs after the acknowledgement of a
// version was run as only an older version allows, while the core was stable for ContactMs.
func (r *replacedSite) judge(l *load, versions []versionEvent) bool {
	judged, broken, unanswered := 0, 0, 0
	longest := int64(0)
	for _, q := range l.requests {
		r.noteAt(q.sent, false, "flow %s opened at %.3f, request %s: %v, run by %q", q.key.client, q.opened.Sub(r.started).Seconds(), q.id, q.err, q.answeredBy)
		if q.err != nil {
			unanswered++
			continue
		}
		if !r.stable(q.opened, q.done) {
			continue
		}
		judged++
		base := 0
		for i, v := range versions {
			if v.acknowledged.Add(propagationMs * time.Millisecond).Before(q.opened) {
				base = i
			}
		}
		allowed := false
		for _, v := range versions[base:] {
			allowed = allowed || (strings.HasPrefix(q.answeredBy, v.service) && v.sent.Before(q.done))
		}
		if allowed {
			continue
		}
		broken++
		late := q.opened.Sub(versions[base].acknowledged).Milliseconds()
		longest = max(longest, late)
		if broken <= 5 {
			r.noteAt(q.opened, true, "CONFIG: flow %s, opened %d ms after the acknowledgement of version %d, is run by %s", q.key.client, late, base+1, q.answeredBy)
		}
	}
	r.note(true, "%d requests judged, %d of them run as only an older version allows, up to %d ms after the acknowledgement; %d not answered", judged, broken, longest, unanswered)
	return broken == 0
}
