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
		}
		for _, e := range out.Committed {
			if len(e.Data) > 0 {
				g.committed++
			}
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
	for _, writeTime := range []cherviltide.Millis{5, 100, 150, 200, 300, 400} {
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
