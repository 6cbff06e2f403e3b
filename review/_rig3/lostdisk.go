package main

import "time"

// diskLostWithoutSeeds empties the disk of one machine of the core while all seeds of its settings are down, and that of another one
// when the first machine counts as intact again.
func diskLostWithoutSeeds(s *site, trouble bool) (int, error) {
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
	if trouble {
		for _, m := range []*machine{d, e, f} {
			m.kill()
			s.logf("%s is down from now on", m.name)
		}
		time.Sleep(contactTime)
	}
	if err := s.loseDisk(a); err != nil {
		return couldNot, err
	}
	// The machine counts as lost until SyncS after it is back.
	time.Sleep(syncTime + contactTime)
	if s.put(11, []*machine{b, c}, 5*time.Second).IsZero() {
		s.logf("version 11 was not acknowledged")
		return couldNot, nil
	}
	time.Sleep(time.Second)
	if err := s.loseDisk(b); err != nil {
		return couldNot, err
	}
	time.Sleep(12 * time.Second)
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

// loseDisk kills a process, empties its disk and starts it again at its address.
func (s *site) loseDisk(m *machine) error {
	m.kill()
	if err := m.wipe(); err != nil {
		return err
	}
	s.logf("%s has lost its disk", m.name)
	time.Sleep(time.Second)
	m.bootstrap = false
	return m.start()
}
