package claimer

import (
	"context"
	"sync"
	"time"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/runner"
)

const (
	// membershipInterval is the time between two reads of the membership.
	membershipInterval = 200 * time.Millisecond
	// callTimeout limits one call of another agent.
	callTimeout = 500 * time.Millisecond
	// settleAttempts is the number of times that a settlement is sent. A home agent that receives none counts the effect
	// of the execution as unknown.
	settleAttempts = 2
)

// Config describes the claims of one agent.
type Config struct {
	Self  cherviltide.Member
	Clock cherviltide.Clock
	// Members returns the agents of the service that may be home agents.
	Members func() []cherviltide.Member
	// Lease returns for how long this agent may still act as a home agent. Until then, control must not let another agent
	// act as the home agent of its keys. An outdated view of the membership therefore ends the lease, as a missed renewal
	// does.
	Lease func() cherviltide.Millis
	// MaxLease is the longest value that Lease returns at any agent.
	MaxLease cherviltide.Millis
	// Claim and Settle call another agent. After an error, it is unknown whether the call had an effect.
	Claim  func(ctx context.Context, home cherviltide.Member, claim Claim) (Verdict, error)
	Settle func(ctx context.Context, home cherviltide.Member, settlement Settlement) error
}

// Claimer claims keys at their home agents, and stores the claims of the keys whose home agent it is itself. It is safe
// for concurrent use.
type Claimer struct {
	config Config

	mu    sync.Mutex
	homes *HomeHistory
	store *Store
}

// New returns a claimer without stored claims.
func New(config Config) *Claimer {
	c := &Claimer{config: config, homes: NewHomeHistory(config.MaxLease), store: NewStore()}
	c.updateMembers()
	return c
}

// Run reads the membership every membershipInterval until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	return runner.Every(ctx, membershipInterval, c.updateMembers)
}

// Claim asks the key's home agent for the right to execute a request. A grant is still valid when Claim returns.
func (c *Claimer) Claim(ctx context.Context, claim Claim) Verdict {
	sent := c.config.Clock.Now()
	home, ok := c.homeOf(claim.Key)
	if !ok {
		return refused(ReasonNotHome)
	}
	verdict, err := c.claimAt(ctx, home, claim)
	if err != nil || (verdict.State == StateGranted && c.config.Clock.Now()-sent >= verdict.Left) {
		c.Settle(context.WithoutCancel(ctx), Settlement{Key: claim.Key, Run: claim.Run, Ending: EndingNotRun})
		return refused(ReasonHomeSilent)
	}
	return verdict
}

// Settle reports the end of an execution to the key's home agent.
func (c *Claimer) Settle(ctx context.Context, s Settlement) {
	home, ok := c.homeOf(s.Key)
	if !ok {
		return
	}
	if sameIncarnation(home, c.config.Self) {
		c.ServeSettle(s)
		return
	}
	for range settleAttempts {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.config.Settle(call, home, s)
		cancel()
		if err == nil {
			return
		}
	}
}

// ServeClaim answers a claim as the key's home agent.
func (c *Claimer) ServeClaim(claim Claim) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, ok := c.homes.SoleHomeSince(claim.Key, c.config.Self)
	if !ok {
		return refused(ReasonNotHome)
	}
	return c.store.Claim(c.config.Clock.Now(), HomeAuthority{Since: since, LeaseLeft: c.config.Lease()}, claim)
}

// ServeSettle records a settlement as the key's home agent. It returns false when the settlement does not apply to the
// current attempt.
func (c *Claimer) ServeSettle(s Settlement) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Settle(s)
}

func (c *Claimer) claimAt(ctx context.Context, home cherviltide.Member, claim Claim) (Verdict, error) {
	if sameIncarnation(home, c.config.Self) {
		return c.ServeClaim(claim), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.config.Claim(ctx, home, claim)
}

func (c *Claimer) homeOf(key Key) (cherviltide.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.homes.Home(key)
}

func (c *Claimer) updateMembers() {
	members := c.config.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.homes.Update(c.config.Clock.Now(), members)
}
