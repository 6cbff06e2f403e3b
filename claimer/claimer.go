package claimer

import (
	"context"
	"sync"
	"time"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/runner"
)

const (
	// updateInterval is the time between two looks at the membership.
	updateInterval = 200 * time.Millisecond
	// callTimeout bounds one call of another agent.
	callTimeout = 500 * time.Millisecond
	// settleAttempts is how often a settlement is sent before the home is left to count the execution as unknown.
	settleAttempts = 2
)

// Config describes the claims of one agent.
type Config struct {
	Self  cherviltide.Member
	Clock cherviltide.Clock
	// Members returns the agents of the service that may be homes.
	Members func() []cherviltide.Member
	// Lease returns for how long this agent may still act as a home. Control must not have let another agent act as the
	// home of its keys before then, so a stale view of the membership ends it like a missed renewal.
	Lease func() cherviltide.Millis
	// MaxLease is the longest value that Lease returns at any agent.
	MaxLease cherviltide.Millis
	// Claim and Settle call another agent. An error means that it is unknown whether the call had an effect.
	Claim  func(ctx context.Context, home cherviltide.Member, claim Claim) (Verdict, error)
	Settle func(ctx context.Context, home cherviltide.Member, settlement Settlement) error
}

// Claimer claims keys at their homes and keeps the claims of the keys whose home it is. It is safe for concurrent use.
type Claimer struct {
	config Config

	mu     sync.Mutex
	homes  *HomeHistory
	ledger *Store
}

// New returns a claimer without claims.
func New(config Config) *Claimer {
	c := &Claimer{config: config, homes: NewHomeHistory(config.MaxLease), ledger: NewStore()}
	c.update()
	return c
}

// Run follows the membership until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	return runner.Every(ctx, updateInterval, c.update)
}

// Claim asks the key's home for the right to run. A granted verdict holds at the moment of the return.
func (c *Claimer) Claim(ctx context.Context, claim Claim) Verdict {
	sent := c.config.Clock.Now()
	home, ok := c.home(claim.Key)
	if !ok {
		return refused(ReasonNotHome)
	}
	verdict, err := c.claim(ctx, home, claim)
	if err != nil || (verdict.State == StateGranted && c.config.Clock.Now()-sent >= verdict.Left) {
		c.Settled(context.WithoutCancel(ctx), Settlement{Key: claim.Key, Run: claim.Run, Ending: EndingNotRun})
		return refused(ReasonHomeSilent)
	}
	return verdict
}

// Settled reports the end of an execution to the key's home.
func (c *Claimer) Settled(ctx context.Context, s Settlement) {
	home, ok := c.home(s.Key)
	if !ok {
		return
	}
	if same(home, c.config.Self) {
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

// ServeClaim answers a claim as the key's home.
func (c *Claimer) ServeClaim(claim Claim) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, ok := c.homes.SoleHomeSince(claim.Key, c.config.Self)
	if !ok {
		return refused(ReasonNotHome)
	}
	return c.ledger.Claim(c.config.Clock.Now(), HomeAuthority{Since: since, LeaseLeft: c.config.Lease()}, claim)
}

// ServeSettle records a settlement as the key's home and reports whether it belongs to the present attempt.
func (c *Claimer) ServeSettle(s Settlement) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Settle(s)
}

func (c *Claimer) claim(ctx context.Context, home cherviltide.Member, claim Claim) (Verdict, error) {
	if same(home, c.config.Self) {
		return c.ServeClaim(claim), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.config.Claim(ctx, home, claim)
}

func (c *Claimer) home(key Key) (cherviltide.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.homes.Home(key)
}

func (c *Claimer) update() {
	members := c.config.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.homes.Update(c.config.Clock.Now(), members)
}
