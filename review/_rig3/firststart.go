package main

import "time"

// cutTime is how long the machine of the core is cut off.
const cutTime = 5500 * time.Millisecond

// firstStartCut starts a system of three machines with a disk and three without, whose seeds are the three without, while one
// machine of the core is cut off from the other two.
func firstStartCut(s *site, trouble bool) (int, error) {
	a := s.newMachine("edge-muc-a-1", "muc-a", 1, 1, true)
	d := s.newMachine("edge-muc-a-2", "muc-a", 1, 2, false)
	b := s.newMachine("edge-muc-b-1", "muc-b", 2, 1, true)
	e := s.newMachine("edge-muc-b-2", "muc-b", 2, 2, false)
	c := s.newMachine("edge-nue-a-1", "nue-a", 3, 1, true)
	f := s.newMachine("edge-nue-a-2", "nue-a", 3, 2, false)
	for _, m := range s.machines {
		m.seeds = []string{d.address(), e.address(), f.address()}
	}
	for _, m := range []*machine{a, b, c} {
		if _, err := newGate(m); err != nil {
			return couldNot, err
		}
	}
	cut := func(on bool) {
		a.gate.setCut([]*machine{c}, on)
		b.gate.setCut([]*machine{c}, on)
		c.gate.setCut([]*machine{a, b}, on)
	}
	if trouble {
		cut(true)
		s.logf("%s is cut off from %s and %s", c.name, a.name, b.name)
	}
	for _, m := range []*machine{d, e, f, a, b, c} {
		if err := m.start(); err != nil {
			return couldNot, err
		}
		time.Sleep(30 * time.Millisecond)
	}
	healAt := time.Now().Add(cutTime)
	verdict := held
	// The operator may reach either side. The first version goes to one side, the second one to the other.
	if s.put(10, []*machine{c, f}, 4*time.Second).IsZero() {
		s.logf("version 10 was not acknowledged during the cut")
	}
	acknowledged := s.put(11, []*machine{a, b}, 4*time.Second)
	if !acknowledged.IsZero() {
		time.Sleep(time.Until(acknowledged.Add(propagationTime + 100*time.Millisecond)))
		if version, status := s.read(c); status == 200 && version < 11 {
			s.logf("BROKEN: CONFIG: %s answers a read sent later than PropagationMs after the acknowledgement of version 11 with version %d", c.name, version)
			verdict = broken
		}
	}
	time.Sleep(time.Until(healAt))
	if trouble {
		cut(false)
		s.logf("the cut has ended")
	}
	newest := 11
	if acknowledged.IsZero() {
		if s.put(11, s.machines, 10*time.Second).IsZero() {
			s.logf("BROKEN: no change is acknowledged any more")
			return broken, nil
		}
	}
	time.Sleep(contactTime)
	got, ended, err := s.readBack(s.machines, contactTime+2*time.Second)
	if err != nil {
		return couldNot, err
	}
	if got != newest {
		s.logf("BROKEN: CONFIG: read back at the end, the newest version is %d, though version %d was acknowledged", got, newest)
		verdict = broken
	}
	if ended > 0 {
		s.logf("processes that have ended by themselves: %d", ended)
	}
	return verdict, nil
}
