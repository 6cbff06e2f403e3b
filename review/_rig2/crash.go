package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	// successorTime is how long the successor of a machine runs before that machine is gone; SyncS is 4.
	successorTime = 10 * time.Second
	// crashToChange is the time from the crash to the change after which a disk is lost.
	crashToChange = 500 * time.Millisecond
	// crashReadTime is how long the configuration is read back in vain before the rule counts as broken. RecoveryS is 12.
	crashReadTime = 30 * time.Second
)

// runCrash replaces one of three control instances: its successor runs first, then it crashes for good. Soon after, the instance that
// has acknowledged a change loses its disk.
func runCrash(r *record, trouble bool) error {
	s, err := newSite(r, []int{1, 2, 3}, 1)
	if err != nil {
		return err
	}
	defer s.close()
	daemons := map[int]*daemon{}
	for n := 1; n <= 3; n++ {
		if daemons[n], err = s.start("control", n, "", true); err != nil {
			return err
		}
	}
	if !s.put(3, configuration(3, "desk"), []int{1, 2, 3}, time.Now().Add(20*time.Second)) {
		return errors.New("the first version was not acknowledged")
	}
	if daemons[4], err = s.start("control", 4, "", false); err != nil {
		return err
	}
	time.Sleep(successorTime)
	if trouble {
		s.stop(daemons[1], syscall.SIGKILL)
	}
	time.Sleep(crashToChange)
	if !s.put(5, configuration(5, "desk"), []int{2}, time.Now().Add(20*time.Second)) {
		return errors.New("the change was not acknowledged")
	}
	if trouble {
		if err := s.wipe(daemons[2]); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	if !s.readBack(5, []int{2, 3, 4}, crashReadTime) {
		return fmt.Errorf("%w: version 5 was acknowledged, and one disk was lost", errBroken)
	}
	return nil
}
