package main

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"sort"
	"sync"
	"time"
)

// Sizes of the system and of the load.
const (
	service       = "advisory-desk"
	firstTarget   = 11
	targetCount   = 10
	clientMachine = 100
	slots         = 2
	meanWork      = 60 * time.Millisecond
	maxWork       = 180 * time.Millisecond
	keptFlows     = 600
	requestSize   = 4500
	deadline      = 5 * time.Second
	shortPerS     = 100
	flowAge       = 45 * time.Second
	// reportedBreaks is the number of broken flows that are written to standard output; all of them are in the record.
	reportedBreaks = 10
)

var virtual = netip.MustParseAddrPort("198.18.0.1:8443")

// work returns the time that a target works on a request.
func work() time.Duration {
	d := time.Duration(float64(meanWork) * math.Exp(rand.NormFloat64()*0.5-0.125))
	return min(d, maxWork)
}

// startSystem starts three control instances with a disk, an entry on each of their machines, and the targets with their
// daemons, and sends the first configuration.
func (e *environment) startSystem(l *ledger, targets int) (map[int]*target, map[int]*process, error) {
	s := e.site
	for n := 1; n <= 3; n++ {
		for _, role := range []string{"control", "entry"} {
			if _, err := s.start(role, n, "", true); err != nil {
				return nil, nil, err
			}
		}
	}
	running, agents := map[int]*target{}, map[int]*process{}
	for n := firstTarget; n < firstTarget+targets; n++ {
		t, p, err := e.startMachine(l, n, 0)
		if err != nil {
			return nil, nil, err
		}
		running[n], agents[n] = t, p
	}
	body := configuration(1, []route{{virtual.Addr().String(), int(virtual.Port()), "non_idempotent", service, 5000, 500}}, []string{service})
	if !s.putUntilAcknowledged(body, 15*time.Second) {
		return nil, nil, errors.New("the first configuration was not acknowledged")
	}
	return running, agents, nil
}

// startMachine starts a target and the daemon on its machine.
func (e *environment) startMachine(l *ledger, n, generation int) (*target, *process, error) {
	t, err := startTarget(e.site, n, fmt.Sprintf("i-%d-%d", n, generation), service, slots, work, l)
	if err != nil {
		return nil, nil, err
	}
	p, err := e.site.start("agent", n, service, generation == 0)
	return t, p, err
}

// request is a request of a client on a flow that it keeps open.
type request struct {
	key flowKey
	id  string
	// opened is when the client sent the opening packet; it is set for flows with one request.
	opened, sent, done time.Time
	answeredBy         string
	err                error
}

// load keeps flows open and opens short ones until stop is closed.
type load struct {
	e        *environment
	c        *clients
	stop     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	requests []request
	failed   int
	resets   []flowKey
}

func (l *load) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

func (l *load) add(r request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// keepFlow opens one flow after the other and sends requests with pauses on each.
func (l *load) keepFlow() {
	defer l.wg.Done()
	for !l.stopped() {
		f, err := l.c.open(virtual)
		if err != nil {
			l.mu.Lock()
			l.failed++
			l.mu.Unlock()
			time.Sleep(time.Duration(200+rand.IntN(300)) * time.Millisecond)
			continue
		}
		for time.Since(f.openedAt) < flowAge && !l.stopped() {
			sent := time.Now()
			id, by, err := f.request(requestSize, deadline)
			l.add(request{key: f.key, id: id, sent: sent, done: time.Now(), answeredBy: by, err: err})
			if f.resets > 0 {
				l.mu.Lock()
				l.resets = append(l.resets, f.key)
				l.mu.Unlock()
			}
			if err != nil || !f.idle(time.Duration(2500+rand.IntN(1500))*time.Millisecond) {
				break
			}
		}
		f.close()
	}
}

// openShort opens flows that carry one request each.
func (l *load) openShort() {
	defer l.wg.Done()
	for !l.stopped() {
		time.Sleep(time.Duration(rand.ExpFloat64() / shortPerS * float64(time.Second)))
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			f, err := l.c.open(virtual)
			if err != nil {
				return
			}
			sent := time.Now()
			id, by, err := f.request(900, deadline)
			l.add(request{key: f.key, id: id, sent: sent, done: time.Now(), answeredBy: by, err: err})
			f.close()
		}()
	}
}

func startLoad(e *environment, c *clients) *load {
	l := &load{e: e, c: c, stop: make(chan struct{})}
	l.wg.Add(1)
	go l.openShort()
	for range keptFlows {
		l.wg.Add(1)
		go l.keepFlow()
		time.Sleep(15 * time.Millisecond)
	}
	return l
}

// runRelease replaces about half of the targets of a service one after the other: the new one starts first, the old one
// drains. It checks rule FLOW for the flows of the targets that stay.
func runRelease(e *environment) (bool, error) {
	ledger := newLedger()
	targets, agents, err := e.startSystem(ledger, targetCount)
	if err != nil {
		return false, err
	}
	r := newRouter(e.site, []int{1, 2, 3})
	c, err := startClients(r, clientMachine)
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	l := startLoad(e, c)
	time.Sleep(4 * time.Second)
	const replaced = 5
	for i := range replaced {
		old, next := firstTarget+i, firstTarget+targetCount+i
		if !e.trouble {
			time.Sleep(7 * time.Second)
			continue
		}
		e.note(true, "target on machine %d starts", next)
		if _, _, err := e.startMachine(ledger, next, 1); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
		e.note(true, "target on machine %d drains", old)
		targets[old].drainAndEnd()
		e.note(true, "target on machine %d has ended", old)
		go agents[old].terminate()
		time.Sleep(time.Second)
	}
	time.Sleep(10 * time.Second)
	close(l.stop)
	l.wg.Wait()
	return e.judgeFlows(ledger, l), nil
}

// judgeFlows writes the record and reports whether rule FLOW held for the flows of targets that live.
func (e *environment) judgeFlows(ledger *ledger, l *load) bool {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	for _, r := range ledger.runs {
		e.noteAt(r.at, false, "run %s at %s", r.id, r.target)
	}
	byFlow := map[flowKey][]arrival{}
	for _, a := range ledger.arrivals {
		byFlow[a.key] = append(byFlow[a.key], a)
	}
	answered, unanswered, broken := 0, 0, 0
	reported := map[flowKey]bool{}
	sort.Slice(l.requests, func(i, j int) bool { return l.requests[i].sent.Before(l.requests[j].sent) })
	for _, q := range l.requests {
		e.noteAt(q.sent, false, "request %s on %s: %v after %d ms, answered by %q", q.id, q.key.client, q.err, q.done.Sub(q.sent).Milliseconds(), q.answeredBy)
		if q.err == nil {
			answered++
			continue
		}
		unanswered++
		open, ok := ledger.opened[q.key]
		if _, ended := ledger.ended[open.target]; !ok || ended || reported[q.key] {
			continue
		}
		if at, others := flowBreak(byFlow[q.key], open.target, q); others != nil && !ledger.disrupted(open.target, at) {
			reported[q.key] = true
			broken++
			e.noteAt(at, broken <= reportedBreaks, "FLOW: flow %s is open at %s, which lives; for %d ms %d packets of it reach %s and none its own", q.key.client, open.target,
				reorderMs, len(others), others[0].target)
			for _, a := range byFlow[q.key] {
				if a.at.After(q.sent.Add(-100 * time.Millisecond)) {
					e.noteAt(a.at, false, "  packet of %s reaches %s: flags %d, sequence %d, %d bytes, held %v", q.key.client, a.target, a.flags, a.seq, a.length, a.held)
				}
			}
		}
	}
	for _, key := range l.resets {
		if open := ledger.opened[key]; open.target != "" {
			e.note(true, "reset of flow %s, open at %s", key.client, open.target)
		}
	}
	e.note(true, "%d requests answered, %d not; %d openings without an answer; %d flows broken", answered, unanswered, l.failed, broken)
	return broken == 0
}

// flowBreak returns the time from which, during a request, at least three packets of a flow reach one other target within
// reorderMs and none its own.
func flowBreak(arrivals []arrival, own string, q request) (time.Time, []arrival) {
	for i, a := range arrivals {
		if a.at.Before(q.sent) || a.target == own {
			continue
		}
		end := a.at.Add(reorderMs * time.Millisecond)
		if end.After(q.done) {
			return time.Time{}, nil
		}
		byTarget := map[string][]arrival{}
		reachedOwn := false
		for _, b := range arrivals[i:] {
			if b.at.After(end) {
				break
			}
			if b.target == own {
				reachedOwn = true
				break
			}
			byTarget[b.target] = append(byTarget[b.target], b)
		}
		for _, list := range byTarget {
			if len(list) >= 3 && !reachedOwn {
				return a.at, list
			}
		}
	}
	return time.Time{}, nil
}
