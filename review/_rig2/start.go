package main

import (
	"errors"
	"fmt"
	"sync/atomic"
	"syscall"
	"time"
)

// configuration returns a configuration with one route to a service.
func configuration(version uint64, service string) []byte {
	return []byte(fmt.Sprintf(`{"Version":%d,"Routes":[{"Name":"r-1","Host":"127.8.0.1","Prefix":"/8443/","Kind":"idempotent",`+
		`"TimeoutMs":%d,"GoalMs":100,"Priority":2,"Service":%q,"Attempts":2}],"Services":[{"Name":%q,"HealthPath":"/healthz",`+
		`"MaxConns":2000,"Proto":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,`+
		`"IdleTimeoutMs":15000}}`, version, 1000+version%1000, service, service))
}

// Times of a round.
const (
	// startSpread is the time between the start of the first machine and that of the last one; the pages allow 0.3 s.
	startSpread = 250 * time.Millisecond
	// freezeAfter is the time from the start of the last machine to its freeze.
	freezeAfter = 220 * time.Millisecond
	freezeTime  = 2 * time.Second
	// settleTime is the time from the end of the freeze to the first read.
	settleTime = 2500 * time.Millisecond
	// readTime is how long the configuration is read back in vain before the rule counts as broken. RecoveryS is 15 at most.
	readTime = 30 * time.Second
	// lastRound is when no further round begins.
	lastRound = 65 * time.Second
	// systems is the number of systems that run at the same time, each with addresses of its own.
	systems = 3
)

// runStart starts new systems of five control instances, of which one is frozen for two seconds soon after its start.
func runStart(r *record, trouble bool) error {
	var rounds, broken atomic.Int64
	errs := make(chan error, systems)
	for range systems {
		go func() {
			for started := time.Now(); time.Since(started) < lastRound && broken.Load() == 0; {
				round := rounds.Add(1)
				held, err := startRound(r.named(fmt.Sprintf("round %d: ", round)), trouble)
				if err != nil {
					errs <- err
					return
				}
				if !held {
					broken.Add(1)
				}
			}
			errs <- nil
		}()
	}
	var err error
	for range systems {
		err = errors.Join(err, <-errs)
	}
	r.log("%d rounds, %d of them broke the rule", rounds.Load(), broken.Load())
	if broken.Load() > 0 {
		return errBroken
	}
	return err
}

// startRound reports whether an acknowledged configuration was kept.
func startRound(r *record, trouble bool) (bool, error) {
	s, err := newSite(r, []int{3, 4, 5}, 2)
	if err != nil {
		return false, err
	}
	defer s.close()
	for _, n := range []int{3, 4, 5, 1} {
		if _, err = s.start("control", n, "", true); err != nil {
			return false, err
		}
	}
	time.Sleep(startSpread)
	last, err := s.start("control", 2, "", true)
	if err != nil {
		return false, err
	}
	frozen := make(chan struct{})
	go func() {
		defer close(frozen)
		time.Sleep(freezeAfter)
		if trouble {
			s.signal(last, syscall.SIGSTOP)
		}
		time.Sleep(freezeTime)
		if trouble {
			s.signal(last, syscall.SIGCONT)
		}
	}()
	acknowledged := s.put(3, configuration(3, "desk"), []int{1, 3, 4, 5}, time.Now().Add(10*time.Second))
	<-frozen
	if !acknowledged {
		r.log("no configuration was acknowledged")
		return true, nil
	}
	time.Sleep(settleTime)
	return s.readBack(3, []int{1, 2, 3, 4, 5}, readTime), nil
}

// readBack reads the configuration from the machines in turn until one returns it, and reports whether that is at least the given
// version.
func (s *site) readBack(version uint64, machines []int, patience time.Duration) bool {
	refused := 0
	for i, started := 0, time.Now(); time.Since(started) < patience; i++ {
		machine := machines[i%len(machines)]
		if got, ok := s.read(machine); ok {
			s.record.log("machine %d returns version %d", machine, got)
			return got >= version
		}
		refused++
		time.Sleep(100 * time.Millisecond)
	}
	s.record.log("version %d was acknowledged; %d reads in %v returned no configuration", version, refused, patience)
	return false
}
