package voter

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// slowVoter is a voter whose writes take a fixed time.
type slowVoter struct {
	*Voter
	write   *Write
	writeAt cherviltide.Millis
}

// slowGroup is a group of voters that reach each other within a step, with equally slow disks.
type slowGroup struct {
	now, writeTime cherviltide.Millis
	voters         []*slowVoter
	committed      int
}

func newSlowGroup(seed uint64, writeTime cherviltide.Millis) *slowGroup {
	g := &slowGroup{writeTime: writeTime}
	names := []string{"a", "b", "c"}
	for i, name := range names {
		g.voters = append(g.voters, &slowVoter{Voter: New(Config{
			Self: ID{Name: name, Number: uint64(i) + 1}, Names: names, DynamicVoters: true, Bootstrap: true, Seed: seed,
		}, StoredState{}, 0)})
	}
	return g
}

// entriesBetweenCompactions is small, as with entries that are as large as the state.
const entriesBetweenCompactions = 3

// step advances the time by 5 ms.
func (g *slowGroup) step() {
	g.now += 5
	for _, v := range g.voters {
		v.Tick(g.now)
		if v.write != nil && g.now >= v.writeAt {
			v.WriteCompleted(v.write.Sequence, nil)
			v.write = nil
		}
		out := v.TakeOutput()
		if out.Write != nil {
			v.write, v.writeAt = out.Write, g.now+g.writeTime
			if out.Write.Snapshot != nil {
				// A compaction syncs a new file and its directory.
				v.writeAt += 2 * g.writeTime
			}
		}
		for _, e := range out.Committed {
			if len(e.Data) > 0 {
				g.committed++
			}
		}
		if v.NeedsCompaction(entriesBetweenCompactions) {
			v.Compact([]byte("state"))
		}
		for _, m := range out.Messages {
			for _, to := range g.voters {
				if to.config.Self.Name == m.To.Name {
					to.Receive(m)
				}
			}
		}
	}
}

// runUntil advances the time until a condition holds or the limit is over, and reports whether it holds.
func (g *slowGroup) runUntil(limit cherviltide.Millis, condition func() bool) bool {
	for end := g.now + limit; g.now < end; {
		if g.step(); condition() {
			return true
		}
	}
	return false
}

// leader returns the voter that leads, or nil.
func (g *slowGroup) leader() *slowVoter {
	for _, v := range g.voters {
		if _, leads := v.IsLeader(); leads {
			return v
		}
	}
	return nil
}

// TestElectionWithSlowDisks guards against a group that never elects a leader because a vote takes longer to be stored than a
// voter without a leader waits until it starts the next election.
func TestElectionWithSlowDisks(t *testing.T) {
	for _, writeTime := range []cherviltide.Millis{5, 100, 150, 200, 300, 400, 600, 900} {
		t.Run(fmt.Sprint(writeTime, " ms"), func(t *testing.T) {
			for seed := range uint64(50) {
				g := newSlowGroup(seed, writeTime)
				proposed := func() bool {
					if l := g.leader(); l != nil {
						_, _, err := l.Propose([]byte("entry"))
						return err == nil
					}
					return false
				}
				const limit = 12_000
				require.True(t, g.runUntil(limit, proposed), "seed %d: no leader after %d ms", seed, limit)
				elected := g.now
				require.True(t, g.runUntil(limit, func() bool {
					return g.committed >= len(g.voters) || (g.committed == 0 && g.leader() == nil && proposed())
				}),
					"seed %d: the entry was not committed", seed)
				if seed == 0 {
					t.Logf("elected after %d ms, committed after %d ms", elected, g.now)
				}
			}
		})
	}
}

// TestSlowDisksKeepLeader guards against a leader that steps down at each compaction, or since the replies to its heartbeats
// wait for the disks of the other voters, so that edits wait for election after election.
func TestSlowDisksKeepLeader(t *testing.T) {
	const slowWrite = 300
	for seed := range uint64(20) {
		g := newSlowGroup(seed, slowWrite)
		require.True(t, g.runUntil(12_000, func() bool { return g.leader() != nil }), "seed %d", seed)
		// The voters learn how slow their disks are from the writes of the election and the admission.
		g.runUntil(5_000, func() bool { return false })
		leader := g.leader()
		require.NotNil(t, leader, "seed %d", seed)
		term, _ := leader.IsLeader()
		for edit := range 50 {
			before, proposed := g.committed, g.now
			_, _, err := leader.Propose([]byte("entry"))
			require.NoError(t, err, "seed %d, edit %d", seed, edit)
			require.True(t, g.runUntil(5_000, func() bool { return g.committed >= before+len(g.voters) }),
				"seed %d, edit %d was not committed within 5 s", seed, edit)
			now, leads := leader.IsLeader()
			require.True(t, leads && now == term, "seed %d: the leader changed at edit %d, after %d ms", seed, edit, g.now-proposed)
		}
	}
}
