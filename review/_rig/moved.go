package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"
)

// Sizes and times of the moved case.
const (
	// movedRoutes is the number of routes without traffic, which stand before the one with traffic.
	movedRoutes  = 350
	movedTo      = "advisory-desk-2"
	movedTargets = 4
	movedFlows   = 200
	firstNew     = 41
)

// movedConfiguration returns a configuration whose routes all go to one of the two services.
func movedConfiguration(version, idle int, of string, timeout int) []byte {
	var list []route
	for i := range idle {
		list = append(list, route{fmt.Sprintf("198.19.%d.%d", i/250, 1+i%250), 8443, "idempotent", of, timeout, 100})
	}
	list = append(list, route{virtual.Addr().String(), int(virtual.Port()), "non_idempotent", of, timeout, 500})
	return configuration(version, list, []string{service, movedTo})
}

// runMoved moves all routes from one service to a new one with one version. It checks rule FLOW for the flows that are open
// at the targets of the former service, all of which live on.
func runMoved(e *environment) (bool, error) {
	idle := movedRoutes
	if text := os.Getenv("ROUTES"); text != "" {
		idle, _ = strconv.Atoi(text)
	}
	l := newLedger()
	s := e.site
	for n := 1; n <= 3; n++ {
		for _, role := range []string{"control", "entry"} {
			if _, err := s.start(role, n, "", true); err != nil {
				return false, err
			}
		}
	}
	for n := firstTarget; n < firstTarget+targetCount; n++ {
		if _, _, err := e.startMachine(l, n, 0); err != nil {
			return false, err
		}
	}
	if !s.putUntilAcknowledged(movedConfiguration(1, idle, service, 5000), 15*time.Second) {
		return false, errors.New("the first configuration was not acknowledged")
	}
	r := newRouter(s, []int{1, 2, 3})
	c, err := startClients(r, clientMachine)
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	load := &load{e: e, c: c, stop: make(chan struct{})}
	for range movedFlows {
		load.wg.Add(1)
		go load.keepFlow()
		time.Sleep(20 * time.Millisecond)
	}
	e.note(true, "the targets of %s start", movedTo)
	for n := firstNew; n < firstNew+movedTargets; n++ {
		if _, err := startTarget(s, n, fmt.Sprintf("i-%d-0", n), movedTo, slots, work, l); err != nil {
			return false, err
		}
		if _, err := s.start("agent", n, movedTo, false); err != nil {
			return false, err
		}
	}
	time.Sleep(12 * time.Second)
	next := movedConfiguration(2, idle, service, 4900)
	if e.trouble {
		next = movedConfiguration(2, idle, movedTo, 5000)
	}
	sent := time.Now()
	if !s.putUntilAcknowledged(next, 5*time.Second) {
		return false, errors.New("version 2 was not acknowledged")
	}
	e.note(true, "version 2 with %d routes (%d bytes) is acknowledged after %d ms; it moves them to %s: %v", idle+1, len(next), time.Since(sent).Milliseconds(),
		movedTo, e.trouble)
	time.Sleep(20 * time.Second)
	close(load.stop)
	load.wg.Wait()
	return e.judgeFlows(l, load), nil
}
