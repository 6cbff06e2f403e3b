package voter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// firstStart is the first start of a group: instances with empty disks, of which some are seeds, start one after the other, while they
// freeze, stop, lose messages and lose some disks.
type firstStart struct {
	*cluster
	losses int
	// restartsFound is true if instances that start again are still configured to found a group.
	restartsFound bool
	// startAt is when an instance starts, 0 if it has started.
	startAt []cherviltide.Millis
	lost    int
}

// newFirstStart draws a first start. Its instances have the same seeds, or with others, as many in common as disks may be lost and
// one more.
func newFirstStart(seed uint64, disabled disabledProtections) *firstStart {
	size := 3 + int(seed%6)
	return drawFirstStart(seed, size, min(1+int(seed/6%2), (size-1)/2), disabled)
}

func drawFirstStart(seed uint64, size, losses int, disabled disabledProtections) *firstStart {
	f := &firstStart{losses: losses, restartsFound: seed/3%2 == 0, cluster: &cluster{
		dynamicVoters: true, minVoters: 2*losses + 1, disabled: disabled, random: rand.New(rand.NewPCG(seed, 1)),
		cutLinks: map[[2]string]bool{}, leaders: map[uint64]ID{}, nextNumber: 1,
	}}
	for i := range size {
		f.names = append(f.names, fmt.Sprintf("c%d", i+1))
	}
	common := f.someNames(min(losses+1, size), size)
	spread := []cherviltide.Millis{50, 300, 3_000}[f.random.IntN(3)]
	sameSeeds := f.random.IntN(2) == 0
	for _, name := range f.names {
		node := &instance{id: ID{Name: name}, seeds: common}
		if !sameSeeds {
			node.seeds = append(f.someNames(1, size), common...)
			slices.Sort(node.seeds)
			node.seeds = slices.Compact(node.seeds)
		}
		f.instances = append(f.instances, node)
		f.wipe(node)
		f.start(node)
		node.running = false
		f.startAt = append(f.startAt, 1+cherviltide.Millis(f.random.Int64N(int64(spread))))
	}
	return f
}

// someNames returns the sorted names of a random number of instances.
func (f *firstStart) someNames(least, most int) []string {
	names := slices.Clone(f.names)
	f.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	names = names[:least+f.random.IntN(most-least+1)]
	slices.Sort(names)
	return names
}

// advance advances the time by a step and starts instances that are due.
func (f *firstStart) advance() {
	for i, node := range f.instances {
		if f.startAt[i] > 0 && f.now >= f.startAt[i] {
			f.startAt[i] = 0
			f.start(node)
			// Only an instance that was stopped before its first write is as one whose disk was emptied.
			node.joins = node.joins || !f.restartsFound
		}
	}
	f.step()
}

// disrupt does a random event.
func (f *firstStart) disrupt() {
	i := f.random.IntN(len(f.instances))
	node, other := f.instances[i], f.instances[f.random.IntN(len(f.instances))]
	switch f.random.IntN(10) {
	case 0, 1, 2:
		node.frozen = node.running && !node.frozen
	case 3:
		f.cutLinks[[2]string{node.id.Name, other.id.Name}] = true
	case 4:
		clear(f.cutLinks)
	case 5, 6:
		if node.running {
			f.crash(node)
			f.startAt[i] = f.now + cherviltide.Millis(1+f.random.IntN(1_500))
		}
	case 7:
		if node.running && f.lost < f.losses && f.random.IntN(3) == 0 {
			f.lost++
			f.crash(node)
			f.wipe(node)
			node.joins = true
			f.startAt[i] = f.now + cherviltide.Millis(1+f.random.IntN(1_500))
		}
	case 8:
		for i, x := range f.instances {
			if x.running && f.random.IntN(4) == 0 {
				f.crash(x)
				f.startAt[i] = f.now + 500
			}
		}
	default:
		for _, x := range f.instances {
			x.frozen = false
		}
	}
}

// run runs a schedule and then ends all disruptions, after which all instances must become voters and replicate.
func (f *firstStart) run(steps int) error {
	for range steps {
		if f.advance(); f.random.IntN(4) == 0 {
			f.propose()
		}
		if f.random.IntN(25) == 0 {
			f.disrupt()
		}
		if f.violation != nil {
			return f.violation
		}
	}
	clear(f.cutLinks)
	target := len(f.committed) + 3
	for range 6000 {
		for i, node := range f.instances {
			if node.frozen, node.diskDelay = false, 0; node.running && node.voter.IsRemoved() {
				f.crash(node)
				f.wipe(node)
				node.joins = true
			}
			if !node.running && f.startAt[i] == 0 {
				f.start(node)
			}
		}
		if f.advance(); f.random.IntN(10) == 0 {
			f.propose()
		}
		if f.violation != nil || (f.allAreVoters() && f.allHaveApplied(target)) {
			return f.violation
		}
	}
	return fmt.Errorf("no progress: %d committed, voters %v", len(f.committed), f.voters)
}

// TestFirstStart guards against two founders of a group, of which one overwrites what the other one has committed, and against a group
// that is never founded.
func TestFirstStart(t *testing.T) {
	for i := range scheduleCount(200) {
		seed := *firstSeed + uint64(i)
		require.NoError(t, newFirstStart(seed, disabledProtections{}).run(600), "seed %d", seed)
	}
}

// TestFirstStartWithDisklessSeeds guards against two groups when the seeds have no disk to keep a promise on, and some instances can't reach
// the others at the first start: each side would found a group of its own.
func TestFirstStartWithDisklessSeeds(t *testing.T) {
	for name, test := range map[string]struct{ size, losses, cutOff int }{
		"one of three":                 {size: 3, losses: 1, cutOff: 1},
		"all three from each other":    {size: 3, losses: 1, cutOff: 3},
		"two of five":                  {size: 5, losses: 2, cutOff: 2},
		"two of five, one may be lost": {size: 5, losses: 1, cutOff: 2},
		"half of six":                  {size: 6, losses: 2, cutOff: 3},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range scheduleCount(20) {
				seed := *firstSeed + uint64(i)
				f := drawFirstStart(seed, test.size, test.losses, disabledProtections{})
				f.diskless = map[string][]ID{"seed1": nil, "seed2": nil, "seed3": nil}
				for j, node := range f.instances {
					node.seeds = darkSeeds
					f.startAt[j] = 1 + f.startAt[j]%300
					for _, other := range f.instances[j+1:] {
						if j < test.cutOff {
							f.cutLinks[[2]string{node.id.Name, other.id.Name}], f.cutLinks[[2]string{other.id.Name, node.id.Name}] = true, true
						}
					}
				}
				for f.now < 5_500 && f.violation == nil {
					if f.advance(); f.random.IntN(10) == 0 {
						f.propose()
					}
				}
				require.NoError(t, f.run(0), "seed %d", seed)
			}
		})
	}
}

// TestFewDisks guards against a group that is never founded because there are fewer disks than the deployment should have.
func TestFewDisks(t *testing.T) {
	for size := 1; size <= 2; size++ {
		f := drawFirstStart(1, 3, 1, disabledProtections{})
		f.instances, f.startAt, f.minVoters = f.instances[:size], f.startAt[:size], 5
		f.losses = 0
		f.diskless = map[string][]ID{"seed1": nil, "seed2": nil, "seed3": nil}
		for i, node := range f.instances {
			node.seeds, f.startAt[i] = darkSeeds, 1
		}
		require.NoError(t, f.run(400), "%d disks", size)
	}
}

// TestFirstStartNeedsPromises guards against a model of the first start that finds nothing: without promises it must show two founders.
func TestFirstStartNeedsPromises(t *testing.T) {
	for seed := uint64(1); seed <= 2000; seed++ {
		f := newFirstStart(seed, disabledProtections{foundingPromise: true})
		if _ = f.run(600); f.violation != nil {
			t.Logf("seed %d: %v", seed, f.violation)
			return
		}
	}
	t.Fatal("no schedule showed two founders")
}

// BenchmarkFirstStart measures the simulated time from the first start to the first committed entry of an edit, with starts within 300 ms
// and three seeds, beside founding without promises.
func BenchmarkFirstStart(b *testing.B) {
	for name, disabled := range map[string]disabledProtections{"promises": {}, "without": {foundingPromise: true}} {
		for _, size := range []int{3, 5, 6, 19} {
			b.Run(fmt.Sprintf("%s/%d instances", name, size), func(b *testing.B) {
				var times []cherviltide.Millis
				for seed := uint64(0); b.Loop(); seed++ {
					f := drawFirstStart(seed, size, 1, disabled)
					for i := range f.instances {
						f.startAt[i] = 1 + f.startAt[i]%300
						f.instances[i].seeds = f.names[:3]
					}
					for f.now < 20_000 && !slices.ContainsFunc(f.committed, func(e Entry) bool { return len(e.Data) == 8 }) {
						f.advance()
						f.propose()
					}
					times = append(times, f.now)
				}
				slices.Sort(times)
				b.ReportMetric(float64(times[len(times)/2]), "median-ms")
				b.ReportMetric(float64(times[len(times)-1]), "most-ms")
			})
		}
	}
}
