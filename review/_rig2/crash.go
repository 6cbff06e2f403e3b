package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
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

// runCrash replaces one of three control instances, which does not lead: its successor runs first, then it crashes for good. Soon
// after, the instance that has acknowledged a change loses its disk.
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
	gone, acknowledging := 1, 2
	if s.leads(gone) {
		gone, acknowledging = 2, 1
	}
	if trouble {
		s.stop(daemons[gone], syscall.SIGKILL)
	}
	time.Sleep(crashToChange)
	if !s.put(5, configuration(5, "desk"), []int{acknowledging}, time.Now().Add(20*time.Second)) {
		return errors.New("the change was not acknowledged")
	}
	if trouble {
		if err := s.wipe(daemons[acknowledging]); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	if !s.readBack(5, []int{acknowledging, 3, 4}, crashReadTime) {
		return fmt.Errorf("%w: version 5 was acknowledged, and one disk was lost", errBroken)
	}
	return nil
}

// leads reports whether a control instance leads the group of the configuration, by its metrics.
func (s *site) leads(machine int) bool {
	_, body := call(time.Second, http.MethodGet, "http://"+s.address(machine, adminPort).String()+"/debug/vars", nil)
	var metrics struct {
		Leads bool `json:"Configuration.Leads"`
	}
	if err := json.Unmarshal(body, &metrics); err != nil {
		s.record.log("no metrics of machine %d: %v", machine, err)
	}
	s.record.log("machine %d leads: %v", machine, metrics.Leads)
	return metrics.Leads
}
