package soaker

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/bench/relaypath"
)

// Fault is a fault of a schedule.
type Fault struct {
	// At is the time from the start of the schedule to the fault. For is the duration of a fault that lasts.
	At   cherviltide.Millis
	Kind string
	// Daemon is the name of the process that the fault affects.
	Daemon string
	For    cherviltide.Millis
}

// Schedule has the faults of a run, in the order of their times.
type Schedule struct {
	Seed uint64
	// Duration is the time in which faults are injected.
	Duration cherviltide.Millis
	// Planned is true when the schedule has only planned work, such as restarts and drains.
	Planned bool
	// Power is true when all processes are killed at the same time after the last fault.
	Power  bool
	Faults []Fault
}

// Shape of a schedule: faults come in bursts, in which they overlap. A quiet period follows each burst, in which the
// guarantees with a time limit can be checked.
const (
	burstLength = 6 * time.Second
	// quietPeriod covers the longest fault, the settling time after it and some seconds for checks.
	quietPeriod                        = 14 * time.Second
	minFaultsPerBurst                  = 4
	maxFaultsPerBurst                  = 12
	minFaultDuration, maxFaultDuration = 100 * time.Millisecond, 3 * time.Second
	plannedOnlyEvery                   = 3 // One of this many seeds has only planned work.
	powerLossEvery                     = 4 // One of this many unplanned schedules ends with a loss of power.
	daemonsPerExtraFault               = 40
)

// GenerateSchedule generates the schedule of a run from its seed.
func GenerateSchedule(config Config) Schedule {
	random := rand.New(rand.NewPCG(config.Seed, config.Seed))
	schedule := Schedule{Seed: config.Seed, Duration: cherviltide.MillisOf(config.Duration), Planned: config.Seed%plannedOnlyEvery == 0}
	schedule.Power = !schedule.Planned && random.IntN(powerLossEvery) == 0
	kindNames := slices.Sorted(maps.Keys(faultKinds))
	daemons := newDaemons(config)
	// A larger system gets more faults per burst.
	maxFaults := maxFaultsPerBurst + len(daemons)/daemonsPerExtraFault
	for at := time.Duration(0); at+burstLength <= config.Duration; at += burstLength + quietPeriod {
		for range minFaultsPerBurst + random.IntN(maxFaults-minFaultsPerBurst+1) {
			fault := Fault{
				At:  cherviltide.MillisOf(at + time.Duration(random.Int64N(int64(burstLength)))),
				For: cherviltide.MillisOf(minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))),
			}
			for fault.Kind == "" || schedule.Planned && !faultKinds[fault.Kind].planned {
				fault.Kind = kindNames[random.IntN(len(kindNames))]
			}
			fault.Daemon = randomDaemon(daemons, faultKinds[fault.Kind].role, random).Name()
			schedule.Faults = append(schedule.Faults, fault)
		}
	}
	slices.SortFunc(schedule.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return schedule
}

// randomDaemon returns a random daemon of a role, or of a random role when the role is empty.
func randomDaemon(daemons []*daemon, role string, random *rand.Rand) *daemon {
	if role == "" {
		role = []string{relaypath.RoleControl, relaypath.RoleEntry, relaypath.RoleAgent}[random.IntN(3)]
	}
	candidates := withRole(daemons, role)
	return candidates[random.IntN(len(candidates))]
}
