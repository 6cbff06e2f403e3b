package main

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// runHighest sends a first configuration with the highest version that fits 64 bits, then an older change arrives.
func runHighest(r *record, trouble bool) error {
	s, err := newSite(r, []int{1, 2, 3}, 1)
	if err != nil {
		return err
	}
	defer s.close()
	machines := []int{1, 2, 3}
	for _, n := range machines {
		if _, err := s.start("control", n, "", true); err != nil {
			return err
		}
	}
	version := uint64(math.MaxUint64 - 1)
	if trouble {
		version = math.MaxUint64
	}
	if !s.put(version, configuration(version, "desk"), machines, time.Now().Add(20*time.Second)) {
		return errors.New("the first version was not acknowledged")
	}
	if !s.readBack(version, machines, 10*time.Second) {
		return errors.New("the first version was not read back")
	}
	s.put(5, configuration(5, "desk"), machines, time.Now().Add(5*time.Second))
	time.Sleep(propagationMs * time.Millisecond)
	if !s.readBack(version, machines, 10*time.Second) {
		return fmt.Errorf("%w: version %d was acknowledged, then the older version 5 took its place", errBroken, version)
	}
	return nil
}
