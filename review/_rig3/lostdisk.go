package main

import (
	"syscall"
	"time"
)

const (
	// darkTime is how long a machine that loses its disk is down, and freezeTime how long the seeds are frozen.
	darkTime   = 3 * time.Second
	freezeTime = 7800 * time.Millisecond
)

// diskLostWhileSeedsFrozen empties the disk of one machine of the core while all seeds of its settings are frozen, and replaces another
// one when the first machine counts as intact again.
func diskLostWhileSeedsFrozen(s *site, trouble bool) (int, error) {
	a := s.newMachine("edge-muc-a-1", "muc-a", 1, 1, true)
	d := s.newMachine("edge-muc-a-2", "muc-a", 1, 2, false)
	b := s.newMachine("edge-muc-b-1", "muc-b", 2, 1, true)
	e := s.newMachine("edge-muc-b-2", "muc-b", 2, 2, false)
	c := s.newMachine("edge-nue-a-1", "nue-a", 3, 1, true)
	f := s.newMachine("edge-nue-a-2", "nue-a", 3, 2, false)
	for _, m := range s.machines {
		m.seeds = []string{d.address(), e.address(), f.address()}
	}
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return couldNot, err
		}
		time.Sleep(30 * time.Millisecond)
	}
	if s.put(10, s.machines, 10*time.Second).IsZero() {
		return couldNot, nil
	}
	time.Sleep(contactTime)
	a.kill()
	if err := a.wipe(); err != nil {
		return couldNot, err
	}
	s.logf("%s is down and has lost its disk", a.name)
	time.Sleep(darkTime / 2)
	signal := func(sig syscall.Signal) {
		for _, m := range []*machine{d, e, f} {
			if trouble {
				_ = m.command.Process.Signal(sig)
				s.logf("%s: %v", m.name, sig)
			}
		}
	}
	signal(syscall.SIGSTOP)
	wake := time.Now().Add(freezeTime)
	time.Sleep(darkTime / 2)
	a.bootstrap = false
	if err := a.start(); err != nil {
		return couldNot, err
	}
	// The machine counts as lost until SyncS after it is back.
	intact := time.Now().Add(syncTime + 500*time.Millisecond)
	if s.put(11, []*machine{b, c}, 3*time.Second).IsZero() {
		signal(syscall.SIGCONT)
		s.logf("version 11 was not acknowledged")
		return couldNot, nil
	}
	time.Sleep(time.Until(intact))
	b.kill()
	s.logf("%s is gone for good", b.name)
	time.Sleep(time.Until(wake))
	signal(syscall.SIGCONT)
	time.Sleep(time.Until(intact.Add(2 * time.Second)))
	g := s.newMachine("edge-muc-b-4", "muc-b", 2, 4, true)
	g.seeds, g.bootstrap = b.seeds, false
	if err := g.start(); err != nil {
		return couldNot, err
	}
	time.Sleep(recoveryTime)
	got, ended, err := s.readBack(s.machines, contactTime+2*time.Second)
	if err != nil {
		return couldNot, err
	}
	s.logf("processes that have ended by themselves: %d", ended)
	if got != 11 {
		s.logf("BROKEN: CONFIG: read back at the end, the newest version is %d (0 means that none comes), though version 11 was acknowledged", got)
		return broken, nil
	}
	return held, nil
}
