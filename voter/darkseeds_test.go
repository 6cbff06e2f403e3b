package voter

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// darkSeeds are the names of seeds that have no disk, and that answer only where a test says so.
var darkSeeds = []string{"seed1", "seed2", "seed3"}

// runFor advances the time and proposes entries.
func (c *cluster) runFor(duration cherviltide.Millis) {
	for end := c.now + duration; c.now < end; {
		if c.step(); c.random.IntN(50) == 0 {
			c.propose()
		}
	}
}

// diskLoss is a loss of disks while no seed answers.
type diskLoss struct {
	count int
	// downFor is the time until the instances start again.
	downFor cherviltide.Millis
	// othersRestart is true if all other instances stop at the same moment and start again at once, othersRestartLater if they do so
	// when the instances start again.
	othersRestart, othersRestartLater bool
}

// loseDisksWithDarkSeeds empties the disks of some running instances, which start again and know only seeds that never answer.
func (c *cluster) loseDisksWithDarkSeeds(loss diskLoss) {
	nodes := slices.DeleteFunc(slices.Clone(c.instances), func(node *instance) bool { return !node.running })
	c.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	for i, node := range nodes {
		if node.seeds, node.joins = darkSeeds, true; i < loss.count {
			c.crash(node)
			c.wipe(node)
		}
	}
	restartOthers := func() {
		for _, node := range nodes[loss.count:] {
			c.crash(node)
			c.start(node)
		}
	}
	if loss.othersRestart {
		restartOthers()
	}
	c.runFor(loss.downFor)
	if loss.othersRestartLater {
		restartOthers()
	}
	for _, node := range nodes[:loss.count] {
		c.start(node)
	}
}

// TestDiskLossWhileSeedsAreDark guards against an instance that has lost its disk and does not join again while its seeds do not answer,
// although the voters send it messages: with the next loss the group has no majority for good. Each disk is lost when the
// instances with the disks lost before count as intact again.
func TestDiskLossWhileSeedsAreDark(t *testing.T) {
	const untilRemoved = 2 * unresponsiveTimeout
	for name, test := range map[string]struct {
		size int
		loss diskLoss
	}{
		"one of three":                                       {size: 3, loss: diskLoss{count: 1}},
		"one of three, back late":                            {size: 3, loss: diskLoss{count: 1, downFor: 3_000}},
		"one of three, the others restart":                   {size: 3, loss: diskLoss{count: 1, downFor: 1_000, othersRestart: true}},
		"one of four, removed meanwhile":                     {size: 4, loss: diskLoss{count: 1, downFor: untilRemoved}},
		"one of four, removed meanwhile, the others restart": {size: 4, loss: diskLoss{count: 1, downFor: untilRemoved, othersRestartLater: true}},
		"two of five, back late":                             {size: 5, loss: diskLoss{count: 2, downFor: 3_000}},
		"two of six, removed meanwhile":                      {size: 6, loss: diskLoss{count: 2, downFor: untilRemoved}},
		"two of eight, the others restart":                   {size: 8, loss: diskLoss{count: 2, downFor: 1_000, othersRestart: true}},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range scheduleCount(10) {
				c := newSettledCluster(t, *firstSeed+uint64(i), test.size, 2*test.loss.count+1)
				for range 3 {
					c.loseDisksWithDarkSeeds(test.loss)
					c.runFor(syncTime)
				}
				c.requireProgress(t)
				for range test.loss.count {
					c.crash(c.instances[slices.IndexFunc(c.instances, func(node *instance) bool { return node.running })])
				}
				c.requireProgress(t)
			}
		})
	}
}

// TestSeedsMakeRoom guards against an instance that is never asked because too many others were known before it, most of which are gone.
func TestSeedsMakeRoom(t *testing.T) {
	v := New(Config{Self: ID{Name: "c0", Number: 1}, DynamicVoters: true}, StoredState{}, 0)
	join := func(name string) {
		v.Receive(Message{Type: MessageJoin, From: ID{Name: name, Number: 2}, To: ID{Name: "c0"}})
	}
	for i := range 3 * maxSeeds {
		join(fmt.Sprint("gone", i))
		join("alive")
		v.AddSeeds([]string{"", "c0"})
	}
	require.Len(t, v.seeds, maxSeeds)
	require.Subset(t, v.otherInstances(), []string{"alive", fmt.Sprint("gone", 3*maxSeeds-1)})
	require.NotContains(t, v.otherInstances(), "")
}

// TestReplacedWhileSeedsAreDark guards against a group without a majority after a voter was replaced by an instance that knows only seeds
// that never answer, and another voter has lost its disk when the successor counts as intact. The seeds answer again afterwards.
func TestReplacedWhileSeedsAreDark(t *testing.T) {
	for i := range scheduleCount(10) {
		c := newSettledCluster(t, *firstSeed+uint64(i), 3, 3)
		c.crash(c.instances[i%3])
		c.runFor(500)
		successor := c.addInstance(darkSeeds)
		c.runFor(syncTime)
		lost := c.instances[(i+1)%3]
		c.crash(lost)
		c.wipe(lost)
		lost.seeds, lost.joins = darkSeeds, true
		c.runFor(1_000)
		c.start(lost)
		c.runFor(syncTime)
		successor.voter.AddSeeds(c.names)
		c.requireProgress(t)
	}
}
