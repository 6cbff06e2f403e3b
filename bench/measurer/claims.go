package measurer

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"

	"github.com/google/uuid"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/claimer"
)

// Sizes of the at-most-once case.
const (
	claimRequests = 50_000
	claimAgents   = 7
	claimLease    = cherviltide.Millis(5_000)
	// homeChangeInterval is the virtual time between two restarts of agents; each changes the home agents of some keys.
	homeChangeInterval = cherviltide.Millis(20_000)
)

// claimSimulation simulates at-most-once requests at agents whose views of the membership lag.
type claimSimulation struct {
	random *rand.Rand
	now    cherviltide.Millis
	agents []*claimAgent
	// useClaims is false for the baseline, in which each resent request is executed again.
	useClaims bool
	nextID    int

	executedRepeatedly, refused, refusedButExecuted, keysRefusedButExecuted, unknown, complete, wrongCustomer int
}

type claimAgent struct {
	self        cherviltide.Member
	homeHistory *claimer.HomeHistory
	store       *claimer.Store
	syncedAt    cherviltide.Millis
}

func newClaimSimulation(seed uint64, useClaims bool) *claimSimulation {
	c := &claimSimulation{random: rand.New(rand.NewPCG(seed, 1)), now: 1_000_000, useClaims: useClaims, agents: make([]*claimAgent, claimAgents)}
	for i := range c.agents {
		c.restart(i)
	}
	for _, a := range c.agents {
		c.syncMembership(a)
	}
	c.now += claimLease + claimer.MaxClockSkew
	return c
}

// restart replaces an agent by a new incarnation, which has no claims.
func (c *claimSimulation) restart(i int) {
	c.nextID++
	c.agents[i] = &claimAgent{
		self:        cherviltide.Member{Name: fmt.Sprintf("agent-%d", i+1), Incarnation: uint64(c.nextID)},
		homeHistory: claimer.NewHomeHistory(claimLease),
		store:       claimer.NewStore(),
	}
	if c.agents[claimAgents-1] != nil {
		c.syncMembership(c.agents[i])
	}
}

// syncMembership brings an agent's view of the membership up to date.
func (c *claimSimulation) syncMembership(a *claimAgent) {
	var members []cherviltide.Member
	for _, x := range c.agents {
		members = append(members, x.self)
	}
	a.syncedAt = c.now
	a.homeHistory.Update(c.now, members)
}

// attempt is the result of sending a request once.
type attempt struct {
	verdict  claimer.Verdict
	executed bool
}

// send sends a request to a random agent. It is executed unless the claim is not granted or the target sheds it.
func (c *claimSimulation) send(key claimer.Key, customer string) attempt {
	c.nextID++
	claim := claimer.Claim{Key: key, Digest: claimer.Digest{1}, Run: fmt.Sprint(c.nextID), Until: 5_000}
	shed, executorDies := c.random.Float64() < 0.05, c.random.Float64() < 0.02
	if !c.useClaims {
		return attempt{verdict: claimer.Verdict{State: claimer.StateGranted}, executed: !shed}
	}
	executor := c.agents[c.random.IntN(claimAgents)]
	home, ok := executor.homeHistory.Home(key)
	if !ok {
		return attempt{verdict: claimer.Verdict{State: claimer.StateRefused, Reason: claimer.ReasonNotHome}}
	}
	homeAgent := c.agentOf(home)
	if homeAgent == nil {
		return attempt{verdict: claimer.Verdict{State: claimer.StateRefused, Reason: claimer.ReasonHomeSilent}}
	}
	since, isHome := homeAgent.homeHistory.SoleHomeSince(key, homeAgent.self)
	if !isHome {
		return attempt{verdict: claimer.Verdict{State: claimer.StateRefused, Reason: claimer.ReasonNotHome}}
	}
	v := homeAgent.store.Claim(c.now, claimer.HomeAuthority{Since: since, LeaseLeft: homeAgent.syncedAt + claimLease - c.now}, claim)
	if v.State != claimer.StateGranted {
		return attempt{verdict: v}
	}
	s := claimer.Settlement{Key: key, Run: claim.Run, Attempt: v.Attempt, Ending: claimer.EndingStored}
	s.Answer = &claimer.Answer{Status: 200, Body: []byte(customer)}
	if shed {
		s.Ending = claimer.EndingNotRun
	}
	if !executorDies {
		homeAgent.store.Settle(s)
	}
	return attempt{verdict: v, executed: !shed}
}

func (c *claimSimulation) agentOf(m cherviltide.Member) *claimAgent {
	for _, a := range c.agents {
		if a.self == m {
			return a
		}
	}
	return nil
}

// request sends one request up to three times, as a caller does that received no response, and counts the outcome.
func (c *claimSimulation) request(key claimer.Key, customer string) {
	executions := 0
	var last attempt
	for range 1 + c.random.IntN(3) {
		last = c.send(key, customer)
		if last.executed {
			executions++
		}
		if a := last.verdict.Answer; a != nil && string(a.Body) != customer {
			c.wrongCustomer++
		}
		if last.verdict.State == claimer.StateRefused && last.executed {
			c.refusedButExecuted++
		}
		c.advance(cherviltide.Millis(c.random.IntN(400)))
	}
	if executions > 1 {
		c.executedRepeatedly++
	}
	c.countOutcome(last, executions)
}

func (c *claimSimulation) countOutcome(last attempt, executions int) {
	switch last.verdict.State {
	case claimer.StateRefused:
		c.refused++
		if executions > 0 {
			c.keysRefusedButExecuted++
		}
	case claimer.StateUnknown, claimer.StateInProgress:
		c.unknown++
	default:
		if last.executed || last.verdict.State == claimer.StateStored {
			c.complete++
		} else {
			c.refused++
		}
	}
}

// advance advances the virtual time. It restarts a random agent when an interval has passed, and updates the membership
// view of only one random agent, so that the views differ.
func (c *claimSimulation) advance(duration cherviltide.Millis) {
	interval := c.now / homeChangeInterval
	c.now += duration
	if c.now/homeChangeInterval != interval {
		c.restart(c.random.IntN(claimAgents))
	}
	c.syncMembership(c.agents[c.random.IntN(claimAgents)])
}

// runClaims measures at-most-once requests with claims and without.
func runClaims(ctx context.Context, seed uint64, emit func(Line)) error {
	for _, variant := range []string{"Default", "NoClaim"} {
		c := newClaimSimulation(seed, variant == "Default")
		for i := range claimRequests {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			// Two customers use the same key, one after the other.
			id := keyID(c.now+cherviltide.Millis(c.random.IntN(1_000)), uint32(i))
			for _, customer := range []string{"north", "south"} {
				c.request(claimer.Key{Customer: customer, Service: "s", ID: id}, customer)
			}
		}
		emit(Line{
			Variant: variant, Timely: Ptr(c.complete), Refused: Ptr(c.refused), Unknown: Ptr(c.unknown),
			Doubled: Ptr(c.executedRepeatedly), NotRunButRan: Ptr(c.refusedButExecuted), WrongCustomer: Ptr(c.wrongCustomer),
			Note: fmt.Sprintf("%d requests in %d s of virtual time, each sent one to three times, 2%% of executions not settled, "+
				"5%% shed, one of %d agents restarted every %d s; %d keys whose last attempt was refused had been executed before",
				2*claimRequests, (c.now-1_000_000)/1_000, claimAgents, homeChangeInterval/1_000, c.keysRefusedButExecuted),
		})
	}
	return nil
}

// keyID returns a UUID of version 7 with the given time.
func keyID(issued cherviltide.Millis, number uint32) uuid.UUID {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(issued))
	id := uuid.UUID{6: 0x70, 8: 0x80}
	copy(id[:6], b[2:])
	binary.BigEndian.PutUint32(id[12:], number)
	return id
}
