package main

import (
	"fmt"
	"net"
	"time"
)

const (
	// killedAfter is how long after the first start all processes of the core are killed.
	killedAfter = 400 * time.Millisecond
	// downTime is how long they are down.
	downTime = 600 * time.Millisecond
	// playTime is the length of the day with the time before traffic starts.
	playTime = 60 * time.Second
)

// killedDuringFirstStart kills all processes of the core at the same moment while the system starts for the first time.
func killedDuringFirstStart(s *site, trouble bool) (int, error) {
	a := s.newMachine("edge-muc-a-1", "muc-a", 1, 1, true)
	d := s.newMachine("edge-muc-a-2", "muc-a", 1, 2, false)
	b := s.newMachine("edge-muc-b-1", "muc-b", 2, 1, true)
	e := s.newMachine("edge-muc-b-2", "muc-b", 2, 2, false)
	c := s.newMachine("edge-nue-a-1", "nue-a", 3, 1, true)
	f := s.newMachine("edge-nue-a-2", "nue-a", 3, 2, false)
	core := []*machine{a, b, c}
	for _, m := range s.machines {
		m.seeds = []string{a.address(), b.address(), c.address()}
	}
	for _, m := range []*machine{d, e, f, a, b, c} {
		if err := m.start(); err != nil {
			return couldNot, err
		}
	}
	if trouble {
		time.Sleep(killedAfter)
		for _, m := range core {
			m.kill()
		}
		s.logf("all processes of the core are killed; their disks are kept")
		time.Sleep(downTime)
		for _, m := range core {
			m.bootstrap = false
			if err := m.start(); err != nil {
				return couldNot, err
			}
		}
	}
	target, err := s.startDataPath(a)
	if err != nil {
		return couldNot, err
	}
	client, err := s.newClient()
	if err != nil {
		return couldNot, err
	}
	// Operators send the first configuration until it is accepted; clients send requests from 10 s after the start on.
	acknowledged := make(chan time.Time, 1)
	go func() { acknowledged <- s.put(10, s.machines, playTime-5*time.Second) }()
	time.Sleep(time.Until(s.started.Add(10 * time.Second)))
	entry, err := net.ResolveUDPAddr("udp4", net.JoinHostPort(a.ip, fmt.Sprint(s.udp)))
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
