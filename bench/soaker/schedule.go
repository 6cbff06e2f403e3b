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

// Fault is one disturbance of a schedule.
type Fault struct {
	// At is the time since the start of the faults, For how long the fault lasts where it lasts.
	At   cherviltide.Millis
	Kind string
	// Daemon is the name of the process that is disturbed.
	Daemon string
	For    cherviltide.Millis
}

// Schedule has the faults of a run.
type Schedule struct {
	Seed uint64
	// Duration is the time in which faults come.
	Duration cherviltide.Millis
	// Planned is true when only planned work comes.
	Planned bool
	// Power is true when all processes are killed at once at the end.
	Power  bool
	Faults []Fault
}

// Shape of a schedule: faults come in bursts that overlap, with a calm time after each, in which promises with a bound on
// time can be checked.
const (
	burst = 6 * time.Second
	// quiet is the longest fault, the contact time after it and some seconds for checks.
	quiet              = 14 * time.Second
	leastInBurst       = 4
	mostInBurst        = 12
	shortest, longest  = 100 * time.Millisecond, 3 * time.Second
	plannedOnlyOf      = 3 // One seed of so many brings planned work only.
	powerOf            = 4 // One seed of so many ends with a loss of power.
	machinesInOneBurst = 40
)

// Draw draws the schedule of the seed of a run.
func Draw(config Config) Schedule {
	random := rand.New(rand.NewPCG(config.Seed, config.Seed))
	p := Schedule{Seed: config.Seed, Duration: cherviltide.MillisOf(config.Duration), Planned: config.Seed%plannedOnlyOf == 0}
	p.Power = !p.Planned && random.IntN(powerOf) == 0
	names := slices.Sorted(maps.Keys(kinds))
	daemons := newDaemons(config)
	// A larger system gets more faults in a burst.
	most := mostInBurst + len(daemons)/machinesInOneBurst
	for at := time.Duration(0); at+burst <= config.Duration; at += burst + quiet {
		for range leastInBurst + random.IntN(most-leastInBurst+1) {
			f := Fault{
				At:  cherviltide.MillisOf(at + time.Duration(random.Int64N(int64(burst)))),
				For: cherviltide.MillisOf(shortest + time.Duration(random.Int64N(int64(longest-shortest)))),
			}
			for f.Kind == "" || p.Planned && !kinds[f.Kind].planned {
				f.Kind = names[random.IntN(len(names))]
			}
			f.Daemon = pick(daemons, kinds[f.Kind].role, random).Name()
			p.Faults = append(p.Faults, f)
		}
	}
	slices.SortFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return p
}

// pick returns a daemon of a role, or of any role when it is empty.
func pick(daemons []*daemon, role string, random *rand.Rand) *daemon {
	if role == "" {
		role = []string{relaypath.RoleControl, relaypath.RoleEntry, relaypath.RoleAgent}[random.IntN(3)]
	}
	list := ofRole(daemons, role)
	return list[random.IntN(len(list))]
}
