package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// operatorStart is the time from the start of the machines to the first attempt of the operator.
	operatorStart = 550 * time.Millisecond
	// wipeReadTime is how long the configuration is read back in vain before the rule counts as broken. RecoveryS is 15.
	wipeReadTime = 30 * time.Second
	// lastWipe is when no further round begins.
	lastWipe = 70 * time.Second
)

// runWipe starts new systems of six control instances, two a zone, that are to bear the loss of two disks. Two instances lose their disks right
// after one of them has acknowledged the first configuration.
func runWipe(r *record, trouble bool) error {
	rounds := 0
	for started := time.Now(); time.Since(started) < lastWipe; {
		rounds++
		if err := wipeRound(r.named(fmt.Sprintf("round %d: ", rounds)), trouble); err != nil {
			return err
		}
	}
	r.log("%d rounds", rounds)
	return nil
}

func wipeRound(r *record, trouble bool) error {
	s, err := newSite(r, []int{2, 3, 4}, 2)
	if err != nil {
		return err
	}
	defer s.close()
	daemons := map[int]*daemon{}
	for n := 1; n <= 6; n++ {
		if daemons[n], err = s.start("control", n, "", true); err != nil {
			return err
		}
	}
	time.Sleep(operatorStart)
	if !s.put(3, configuration(3, "desk"), []int{1}, time.Now().Add(20*time.Second)) {
		return errors.New("the first version was not acknowledged")
	}
	if trouble {
		if err := s.wipe(daemons[1], daemons[2]); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	if !s.readBack(3, []int{1, 2, 3, 4, 5, 6}, wipeReadTime) {
		return fmt.Errorf("%w: version 3 was acknowledged, and two of six disks were lost", errBroken)
	}
	return nil
}

// wipe cuts the power of instances, empties their disks, and starts them again a second later.
func (s *site) wipe(list ...*daemon) error {
	for _, d := range list {
		s.stop(d, syscall.SIGKILL)
	}
	for _, d := range list {
		if err := os.RemoveAll(filepath.Join(s.dir, d.name+".data")); err != nil {
			return err
		}
		s.record.log("%s has lost its disk", d.name)
	}
	time.Sleep(time.Second)
	for _, d := range list {
		if err := s.restart(d, false); err != nil {
			return err
		}
	}
	return nil
}
