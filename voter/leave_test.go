package voter

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// newSettledCluster returns a cluster with dynamic voters whose instances are all voters.
func newSettledCluster(t *testing.T, seed uint64, size, minVoters int) *cluster {
	c := startCluster(&cluster{dynamicVoters: true, minVoters: minVoters}, seed, size)
	for range 4000 {
		if c.step(); c.allAreVoters() && c.allHaveApplied(len(c.committed)) {
			return c
		}
	}
	require.Fail(t, "the instances did not become voters", "seed %d: %v", seed, c.voters)
	return nil
}

// leader returns the instance that leads in the newest term, or nil.
func (c *cluster) leader() *instance {
	var leader *instance
	var newest uint64
	for _, node := range c.instances {
		if term, leads := node.voter.IsLeader(); leads && node.running && term >= newest {
			leader, newest = node, term
		}
	}
	return leader
}

// stopAsPlanned lets an instance leave and stops it as soon as it may stop.
func (c *cluster) stopAsPlanned(t *testing.T, node *instance) {
	node.voter.Leave()
	for range 4000 {
		if c.step(); node.voter.HasLeft() {
			c.crash(node)
			return
		}
	}
	require.Fail(t, "the instance must not stop", "%v of %v", node.id, c.voters)
}

// requireProgress proposes entries until the running instances have applied some of them.
func (c *cluster) requireProgress(t *testing.T) {
	target := len(c.committed) + 3
	for range 4000 {
		c.step()
		if c.random.IntN(10) == 0 {
			c.propose()
		}
		done := !slices.ContainsFunc(c.instances, func(node *instance) bool { return node.running && int(node.appliedIndex) < target })
		if c.violation != nil || done {
			require.NoError(t, c.violation)
			return
		}
	}
	require.Fail(t, "the group has no majority", "voters %v", c.voters)
}

// TestLeave guards against voters that are gone for good and count against the majority, together with the loss of as many
// disks as the group must survive, and against a stop that removes a voter although this costs tolerance.
func TestLeave(t *testing.T) {
	for name, test := range map[string]struct {
		size, minVoters int
		// stops is the number of instances that are stopped one after the other, and losses the number of disks that are
		// lost after that.
		stops, losses int
		wantVoters    int
	}{
		"no spare voter":                           {size: 3, minVoters: 3, stops: 1, wantVoters: 3},
		"one of three was replaced":                {size: 4, minVoters: 3, stops: 1, losses: 1, wantVoters: 3},
		"two of three were replaced":               {size: 5, minVoters: 3, stops: 2, losses: 1, wantVoters: 3},
		"one of five was replaced":                 {size: 6, minVoters: 5, stops: 1, losses: 2, wantVoters: 5},
		"one of six was replaced":                  {size: 7, minVoters: 5, stops: 1, losses: 2, wantVoters: 7},
		"two of five were replaced":                {size: 7, minVoters: 5, stops: 2, losses: 2, wantVoters: 5},
		"two of five restart, losses are not told": {size: 5, minVoters: 0, stops: 2, wantVoters: 5},
		"two of five restart, two may be lost":     {size: 5, minVoters: 5, stops: 2, wantVoters: 5},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range scheduleCount(40) {
				seed := *firstSeed + uint64(i)
				c := newSettledCluster(t, seed, test.size, test.minVoters)
				c.random.Shuffle(test.size, func(i, j int) { c.instances[i], c.instances[j] = c.instances[j], c.instances[i] })
				if leader := c.leader(); seed%2 == 0 && leader != nil {
					at := slices.Index(c.instances, leader)
					c.instances[0], c.instances[at] = c.instances[at], c.instances[0]
				}
				for _, node := range c.instances[:test.stops] {
					c.stopAsPlanned(t, node)
				}
				require.Len(t, c.voters, test.wantVoters, "seed %d", seed)
				lost := c.instances[test.stops : test.stops+test.losses]
				for _, node := range lost {
					c.crash(node)
					c.wipe(node)
				}
				for _, node := range lost {
					c.start(node)
					node.voter.AddSeeds(c.names)
				}
				c.requireProgress(t)
			}
		})
	}
}

// TestDiskLossAfterCrash guards against a group without a majority after a voter with a successor has crashed for good, without
// leaving, and another one has lost its disk before the leader has found the first one unresponsive.
func TestDiskLossAfterCrash(t *testing.T) {
	for i := range scheduleCount(10) {
		c := newSettledCluster(t, *firstSeed+uint64(i), 4, 3)
		c.crash(c.instances[i%4])
		lost := c.instances[(i+1)%4]
		c.crash(lost)
		c.wipe(lost)
		c.start(lost)
		lost.voter.AddSeeds(c.names)
		c.requireProgress(t)
		settled := func() bool { return len(c.voters) == 3 && slices.Contains(c.voters, lost.id) }
		for step := 0; step < 4000 && !settled(); step++ {
			c.step()
		}
		require.True(t, settled(), "seed %d: voters %v", *firstSeed+uint64(i), c.voters)
	}
}

// TestLeaderLeavesBesideCrash guards against a group without a majority after its leader has left it as planned while another voter
// was down: the others must know that the smaller set is committed.
func TestLeaderLeavesBesideCrash(t *testing.T) {
	for i := range scheduleCount(100) {
		seed := *firstSeed + uint64(i)
		c := newSettledCluster(t, seed, 4, 3)
		leader := c.leader()
		require.NotNil(t, leader, "seed %d", seed)
		at := slices.Index(c.instances, leader)
		c.crash(c.instances[(at+1)%4])
		c.stopAsPlanned(t, leader)
		c.requireProgress(t)
	}
}

// TestLeaveAfterRestart guards against a voter that is removed, although it runs, because it announced a stop before its last
// restart.
func TestLeaveAfterRestart(t *testing.T) {
	for i := range scheduleCount(40) {
		c := newSettledCluster(t, *firstSeed+uint64(i), 3, 3)
		node := c.instances[i%3]
		c.stopAsPlanned(t, node)
		c.start(node)
		c.requireProgress(t)
		for range 200 {
			c.step()
		}
		c.names = append(c.names, "c4")
		c.instances = append(c.instances, &instance{id: ID{Name: "c4"}})
		c.wipe(c.instances[3])
		c.start(c.instances[3])
		for range 400 {
			c.step()
		}
		require.Len(t, c.voters, 4)
		require.Contains(t, c.voters, node.id)
	}
}

// TestLeaveSchedules guards against committed entries that are lost, and against a group without progress after the faults
// are repaired, when instances also stop as planned and start again.
func TestLeaveSchedules(t *testing.T) {
	for i := range scheduleCount(100) {
		seed := *firstSeed + uint64(i)
		size := 3 + int(seed%5)
		c := startCluster(&cluster{dynamicVoters: true, minVoters: 3}, seed, size)
		for range 30 {
			if node := c.instances[c.random.IntN(size)]; node.running {
				node.voter.Leave()
			}
			require.NoError(t, c.runFaults(50), "seed %d", seed)
			for _, node := range c.instances {
				if node.running && node.voter.leaving && node.voter.HasLeft() {
					c.crash(node)
				}
			}
		}
		for _, node := range c.instances {
			if node.running && node.voter.leaving {
				c.crash(node)
			}
		}
		require.NoError(t, c.repair(), "seed %d", seed)
	}
}
