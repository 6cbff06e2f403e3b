package main

import (
	"fmt"
	"net"
	"time"
)

// seedGoneDuringFirstStart removes one machine of the core for good while the system starts for the first time, and adds an empty one
// at another address.
func seedGoneDuringFirstStart(s *site, trouble bool) (int, error) {
	a := s.newMachine("edge-muc-a-1", "muc-a", 1, 1, true)
	d := s.newMachine("edge-muc-a-2", "muc-a", 1, 2, false)
	b := s.newMachine("edge-muc-b-1", "muc-b", 2, 1, true)
	e := s.newMachine("edge-muc-b-2", "muc-b", 2, 2, false)
	c := s.newMachine("edge-nue-a-1", "nue-a", 3, 1, true)
	f := s.newMachine("edge-nue-a-2", "nue-a", 3, 2, false)
	for _, m := range s.machines {
		m.seeds = []string{a.address(), b.address(), c.address()}
	}
	for _, m := range []*machine{d, e, f, a, b, c} {
		if err := m.start(); err != nil {
			return couldNot, err
		}
	}
	target, err := s.startDataPath(b)
	if err != nil {
		return couldNot, err
	}
	if trouble {
		time.Sleep(killedAfter)
		a.kill()
		s.logf("%s is gone for good", a.name)
		time.Sleep(2 * time.Second)
		g := s.newMachine("edge-muc-a-5", "muc-a", 1, 5, true)
		g.bootstrap = false
		for _, m := range s.machines {
			m.seeds = []string{g.address(), b.address(), c.address()}
		}
		if err := g.start(); err != nil {
			return couldNot, err
		}
		time.Sleep(3 * time.Second)
		for _, m := range []*machine{b, c, d, e, f} {
			if err := m.writeSettings(); err != nil {
				return couldNot, err
			}
		}
		s.logf("the settings files name the new seeds")
	}
	client, err := s.newClient()
	if err != nil {
		return couldNot, err
	}
	// Operators send the first configuration until it is accepted; clients send requests from 10 s after the start on.
	acknowledged := make(chan time.Time, 1)
	go func() { acknowledged <- s.put(10, s.machines, playTime-8*time.Second) }()
	time.Sleep(time.Until(s.started.Add(10 * time.Second)))
	entry, err := net.ResolveUDPAddr("udp4", net.JoinHostPort(b.ip, fmt.Sprint(s.udp)))
	if err != nil {
		return couldNot, err
	}
	sent, served := 0, 0
	for time.Since(s.started) < playTime {
		if sent++; client.request(entry) {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.logf("clients: %d requests sent, %d served; the target ran %d", sent, served, target.ran.Load())
	if (<-acknowledged).IsZero() {
		s.logf("the first configuration was never acknowledged")
	}
	if served == 0 {
		s.logf("BROKEN: Fault: no request is served")
		return broken, nil
	}
	return held, nil
}
