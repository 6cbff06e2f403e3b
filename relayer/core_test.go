package relayer

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/picker"
)

const service = "desk"

// member returns the agent with a number.
func member(n int) cherviltide.Member {
	return cherviltide.Member{
		Name: fmt.Sprintf("agent-%d", n), Role: cherviltide.RoleAgent, Incarnation: 1, Service: service,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000), Weight: cherviltide.NominalWeight,
	}
}

// tableOf returns a table of the first n agents, each joined by an event of its own.
func tableOf(n int) *picker.Table {
	t := picker.New(cherviltide.Service{Name: service, ID: cherviltide.ServiceIDOf(service), Buckets: 64})
	for i := 1; i <= n; i++ {
		t = t.WithEvent(uint64(i), cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: member(i)})
	}
	return t
}

func key(port int) cherviltide.FlowKey {
	return cherviltide.FlowKey{
		Caller:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), uint16(port)),
		Virtual: netip.MustParseAddrPort("198.18.0.1:443"),
	}
}

// ownedBy returns a flow that the table gives to an agent.
func ownedBy(t *testing.T, table *picker.Table, owner cherviltide.Member) cherviltide.FlowKey {
	t.Helper()
	for port := 1024; port < 65000; port++ {
		if m, ok := table.Pick(key(port)); ok && m.Name == owner.Name {
			return key(port)
		}
	}
	t.Fatal("the agent owns no bucket")
	return cherviltide.FlowKey{}
}

// rules are the same for all routes.
type rules struct {
	allows  bool
	changed uint64
}

func (r rules) Allows(netip.AddrPort) bool    { return r.allows }
func (r rules) Changed(netip.AddrPort) uint64 { return r.changed }

func contextAt(now cherviltide.Millis, self cherviltide.Member, table *picker.Table) Context {
	return Context{Now: now, Self: self, Table: table, Revision: 1, Rules: rules{allows: true, changed: 1}}
}

func arrival(flow cherviltide.FlowKey, p cherviltide.Packet) Arrival {
	p.Source, p.Destination = flow.Caller, flow.Virtual
	return Arrival{Header: framer.Header{Flow: flow, Revision: 1, Stages: 1}, Sender: netip.MustParseAddrPort("10.9.9.9:1"), Packet: p}
}

func syn(flow cherviltide.FlowKey, copy uint32) Arrival {
	return arrival(flow, cherviltide.Packet{Flags: cherviltide.PacketOpen, Sequence: 100, Copy: copy})
}

func ack(flow cherviltide.FlowKey, acknowledgement uint32) Arrival {
	return arrival(flow, cherviltide.Packet{Flags: cherviltide.PacketAck, Sequence: 101, Acknowledgement: acknowledgement, Length: 10})
}

// answer is a packet of the target.
func answer(flow cherviltide.FlowKey, p cherviltide.Packet) cherviltide.Packet {
	p.Source, p.Destination = flow.Virtual, flow.Caller
	return p
}

func synAck(flow cherviltide.FlowKey) cherviltide.Packet {
	return answer(flow, cherviltide.Packet{Flags: cherviltide.PacketOpen | cherviltide.PacketAck, Sequence: 500})
}

// newCore returns the first agent's decisions with a target that has two slots and no older flows.
func newCore() *Core {
	c := NewCore(Limits{MaxAge: 60_000, OldRules: 100, MaxPayload: 1_200}, 0)
	c.SetTarget(Target{Slots: 2, Accepts: true, Reluctant: true}, false)
	return c
}

// opened returns decisions of the first agent that hold an open flow.
func opened(t *testing.T, table *picker.Table) (*Core, cherviltide.FlowKey) {
	c, flow := newCore(), ownedBy(t, table, member(1))
	x := contextAt(10, member(1), table)
	require.Equal(t, ActionDeliver, c.FromPeer(x, syn(flow, 0)).Action)
	require.Equal(t, ActionAnswer, c.FromTarget(x, synAck(flow)).Action)
	require.Equal(t, ActionDeliver, c.FromPeer(x, ack(flow, 501)).Action)
	return c, flow
}

// TestOpening guards against new flows that reach a target that cannot or must not take them, and against flows that are
// lost although another target is free.
func TestOpening(t *testing.T) {
	table := tableOf(3)
	flow := ownedBy(t, table, member(1))
	second, _ := table.Second(flow)
	cases := map[string]struct {
		prepare func(c *Core, x *Context, a *Arrival)
		action  Action
		reason  Reason
		flags   framer.Flags
		must    bool
	}{
		"free target":         {func(*Core, *Context, *Arrival) {}, ActionDeliver, ReasonOpened, 0, false},
		"all slots taken":     {func(c *Core, _ *Context, _ *Arrival) { c.load.active = 2 }, ActionPass, ReasonOffered, framer.FlagOffered, false},
		"leaving target":      {func(c *Core, _ *Context, _ *Arrival) { c.target.Accepts = false }, ActionPass, ReasonOffered, framer.FlagOffered, true},
		"silent target":       {func(c *Core, x *Context, _ *Arrival) { c.waiting = 1; x.Now = 1_000 }, ActionPass, ReasonOffered, framer.FlagOffered, true},
		"target returned one": {func(c *Core, x *Context, _ *Arrival) { c.fullUntil = x.Now + 1 }, ActionPass, ReasonOffered, framer.FlagOffered, true},
		"route not in rules":  {func(_ *Core, x *Context, _ *Arrival) { x.Rules = rules{} }, ActionDrop, ReasonNoRoute, 0, false},
		"newer rules at entry": {func(_ *Core, x *Context, a *Arrival) {
			x.Rules = rules{}
			a.Header.Revision = 2
		}, ActionDeliver, ReasonOpened, 0, false},
		"older rules, just now": {func(c *Core, x *Context, _ *Arrival) { c.revision, c.revisedAt = 2, x.Now-100 }, ActionDeliver, ReasonOpened, 0, false},
		"older rules than seen": {func(c *Core, x *Context, _ *Arrival) { c.revision, c.revisedAt = 2, x.Now-101 }, ActionDrop, ReasonOldRules, 0, false},
		"too many hops":         {func(_ *Core, _ *Context, a *Arrival) { a.Header.Hops = maxHops + 1 }, ActionDrop, ReasonHops, 0, false},
		"answer as opening":     {func(_ *Core, _ *Context, a *Arrival) { a.Packet.Flags |= cherviltide.PacketAck }, ActionDrop, ReasonForged, 0, false},
		"offer while busy":      {func(c *Core, _ *Context, a *Arrival) { c.load.active = 2; a.Header.Flags = framer.FlagOffered }, ActionPass, ReasonDeclined, framer.FlagDeclined, false},
		"offer that must": {func(c *Core, _ *Context, a *Arrival) {
			c.load.active = 2
			a.Header.Flags, a.Header.Position = framer.FlagOffered, must
		}, ActionDeliver, ReasonOpened, 0, false},
		"offer of longer queue": {func(c *Core, _ *Context, a *Arrival) {
			c.load.active = 2
			a.Header.Flags, a.Header.Position = framer.FlagOffered, 5<<queueShift
		}, ActionDeliver, ReasonOpened, 0, false},
		"last offer declined": {func(c *Core, _ *Context, a *Arrival) {
			c.load.active = 2
			a.Header.Flags, a.Header.Position = framer.FlagDeclined, 2
		}, ActionDeliver, ReasonOpened, 0, false},
		"nobody takes it": {func(c *Core, _ *Context, a *Arrival) {
			c.target = Target{}
			a.Header.Flags, a.Header.Position = framer.FlagDeclined, 2|must
		}, ActionRefuse, ReasonUnavailable, 0, false},
		"nobody but a leaver": {func(c *Core, _ *Context, a *Arrival) {
			c.target.Accepts = false
			a.Header.Flags, a.Header.Position = framer.FlagDeclined, 2|must
		}, ActionDeliver, ReasonOpened, 0, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c, x, a := newCore(), contextAt(10, member(1), table), syn(flow, 0)
			test.prepare(c, &x, &a)
			step := c.FromPeer(x, a)
			require.Equal(t, test.action, step.Action, step.Reason.String())
			require.Equal(t, test.reason, step.Reason, step.Reason.String())
			require.Equal(t, test.flags, step.Header.Flags)
			if test.flags == framer.FlagOffered {
				require.Equal(t, second.Address, step.To)
				require.Equal(t, test.must, step.Header.Position&must != 0)
			}
		})
	}
}

// TestChangeSeen guards against new flows that are dropped because of a newer revision that changed nothing for routes, and
// against the use of older rules after a change of a route was seen to work.
func TestChangeSeen(t *testing.T) {
	table := tableOf(1)
	for name, test := range map[string]struct {
		changed uint64
		want    Reason
	}{
		"other rules changed": {1, ReasonOpened},
		"the route changed":   {2, ReasonOldRules},
	} {
		t.Run(name, func(t *testing.T) {
			c, x := newCore(), contextAt(10, member(1), table)
			first := syn(key(3000), 0)
			first.Header.Revision, first.Header.Changed = 2, test.changed
			require.Equal(t, ReasonOpened, c.FromPeer(x, first).Reason)
			x.Now += c.limits.OldRules + 1
			require.Equal(t, test.want, c.FromPeer(x, syn(key(3001), 0)).Reason)
		})
	}
}

// TestCopies guards against a flow that opens at two targets because a copy of its first packet went elsewhere.
func TestCopies(t *testing.T) {
	table := tableOf(3)
	flow := ownedBy(t, table, member(1))
	second, _ := table.Second(flow)
	t.Run("to the target that took the first", func(t *testing.T) {
		c, x := newCore(), contextAt(10, member(1), table)
		c.FromPeer(x, syn(flow, 0))
		x.Now = 20
		c.FromTarget(x, synAck(flow))
		c.load.active = 5
		x.Now = 210
		step := c.FromPeer(x, syn(flow, 1))
		require.Equal(t, ActionDeliver, step.Action)
		require.Equal(t, 5, c.load.active, "a copy counts as another flow")
	})
	t.Run("to another agent when the offered one said nothing", func(t *testing.T) {
		c, x := newCore(), contextAt(10, member(1), table)
		c.load.active = 2
		require.Equal(t, second.Address, c.FromPeer(x, syn(flow, 0)).To)
		x.Now = 210
		step := c.FromPeer(x, syn(flow, 1))
		require.Equal(t, ReasonOffered, step.Reason)
		require.NotEqual(t, second.Address, step.To)
	})
	t.Run("to the agent that took the first", func(t *testing.T) {
		c, x := newCore(), contextAt(10, member(1), table)
		c.load.active = 2
		require.Equal(t, second.Address, c.FromPeer(x, syn(flow, 0)).To)
		c.load.active = 0
		c.FromPeer(x, Arrival{Header: framer.Header{Flow: flow, Flags: framer.FlagHeld}, Sender: second.Address})
		x.Now = 210
		step := c.FromPeer(x, syn(flow, 1))
		require.Equal(t, framer.FlagOffered, step.Header.Flags)
		require.Equal(t, second.Address, step.To)
	})
	t.Run("away from a target that did not answer", func(t *testing.T) {
		c, x := newCore(), contextAt(10, member(1), table)
		c.FromPeer(x, syn(flow, 0))
		c.changed = -settleTime
		x.Now = 210
		step := c.FromPeer(x, syn(flow, 1))
		require.Equal(t, ReasonOffered, step.Reason)
		require.Empty(t, c.flows)
		require.Zero(t, c.load.active)
	})
	t.Run("search after a change of the table", func(t *testing.T) {
		c, x := newCore(), contextAt(10, member(1), table)
		c.changed = x.Now
		c.generation = table.Generation()
		step := c.FromPeer(x, syn(flow, 1))
		require.Equal(t, framer.FlagProbe, step.Header.Flags)
	})
	t.Run("a port used again", func(t *testing.T) {
		c, x := newCore(), contextAt(10, member(1), table)
		c.FromPeer(x, syn(flow, 0))
		c.FromTarget(x, synAck(flow))
		next := syn(flow, 0)
		next.Packet.Sequence = 900
		require.Equal(t, ReasonOpened, c.FromPeer(x, next).Reason)
		require.Equal(t, 1, c.load.active)
	})
}

// TestLater guards against packets of open flows that reach a target that does not hold them.
func TestLater(t *testing.T) {
	table := tableOf(3)
	t.Run("held", func(t *testing.T) {
		c, flow := opened(t, table)
		require.Equal(t, ReasonHeld, c.FromPeer(contextAt(20, member(1), table), ack(flow, 520)).Reason)
	})
	t.Run("another target's acknowledgement", func(t *testing.T) {
		c, flow := newCore(), ownedBy(t, table, member(1))
		x := contextAt(10, member(1), table)
		c.FromPeer(x, syn(flow, 0))
		c.FromTarget(x, synAck(flow))
		step := c.FromPeer(x, ack(flow, 4_000_000))
		require.Equal(t, ActionPass, step.Action)
		require.Zero(t, c.load.active)
	})
	t.Run("unknown is searched and then left", func(t *testing.T) {
		c, flow := newCore(), ownedBy(t, table, member(1))
		x := contextAt(10, member(1), table)
		a := ack(flow, 501)
		step := c.FromPeer(x, a)
		asked := map[netip.AddrPort]bool{}
		for step.Reason == ReasonProbed {
			require.False(t, asked[step.To], "a candidate is asked twice")
			asked[step.To] = true
			a.Header, a.Sender = step.Header, step.To
			a.Header.Flags = framer.FlagReturned
			step = c.FromPeer(x, a)
		}
		require.Equal(t, ReasonNoHolder, step.Reason)
		require.Len(t, asked, 2)
	})
	t.Run("unknown goes back to the entry when another service may hold it", func(t *testing.T) {
		c, flow := newCore(), ownedBy(t, tableOf(1), member(1))
		a := ack(flow, 501)
		a.Header.Stages, a.Header.Entry = 2, netip.MustParseAddrPort("10.5.5.5:5")
		step := c.FromPeer(contextAt(10, member(1), tableOf(1)), a)
		require.Equal(t, ReasonStage, step.Reason)
		require.Equal(t, a.Header.Entry, step.To)
	})
	t.Run("probe for a flow that is not held", func(t *testing.T) {
		c, flow := newCore(), ownedBy(t, table, member(1))
		a := ack(flow, 501)
		a.Header.Flags, a.Header.Position = framer.FlagProbe, 1
		step := c.FromPeer(contextAt(10, member(2), table), a)
		require.Equal(t, framer.FlagReturned, step.Header.Flags)
		require.Equal(t, a.Sender, step.To)
	})
	t.Run("notice makes the way short", func(t *testing.T) {
		c, flow := newCore(), ownedBy(t, table, member(1))
		x := contextAt(10, member(1), table)
		notice := Arrival{Header: framer.Header{Flow: flow, Flags: framer.FlagHeld}, Sender: member(3).Address}
		require.Equal(t, ReasonNotice, c.FromPeer(x, notice).Reason)
		step := c.FromPeer(x, ack(flow, 501))
		require.Equal(t, member(3).Address, step.To)
		require.EqualValues(t, direct, step.Header.Position)
	})
}

// TestRestartedAgent guards against flows that a restart of the agent beside a living target breaks, and against a search
// that forgets where the flow was offered.
func TestRestartedAgent(t *testing.T) {
	table := tableOf(2)
	flow := ownedBy(t, table, member(1))
	unsure := func() *Core {
		c := NewCore(Limits{MaxAge: 60_000}, 0)
		c.SetTarget(Target{Slots: 2, Accepts: true, Older: true}, false)
		return c
	}
	x := contextAt(10, member(1), table)
	t.Run("the target holds it", func(t *testing.T) {
		c := unsure()
		require.Equal(t, ReasonUnsure, c.FromPeer(x, ack(flow, 501)).Reason)
		c.FromTarget(x, answer(flow, cherviltide.Packet{Flags: cherviltide.PacketAck}))
		require.Equal(t, ReasonHeld, c.FromPeer(x, ack(flow, 502)).Reason)
	})
	t.Run("the target does not hold it", func(t *testing.T) {
		c := unsure()
		step := c.FromPeer(x, ack(flow, 501))
		p := ack(flow, 501).Packet
		p.Flags |= cherviltide.PacketReturned
		p.Token = step.Token
		step = c.FromTarget(x, p)
		require.Equal(t, ReasonProbed, step.Reason)
		require.True(t, step.Restore)
		require.Equal(t, ReasonProbed, c.FromPeer(x, ack(flow, 502)).Reason, "the target is asked twice")
	})
	t.Run("offered before", func(t *testing.T) {
		c := unsure()
		c.load.active = 2
		require.Equal(t, ReasonOffered, c.FromPeer(x, syn(flow, 0)).Reason)
		step := c.FromPeer(x, ack(flow, 501))
		require.Equal(t, member(2).Address, step.To)
	})
	t.Run("no release while unsure", func(t *testing.T) {
		c := unsure()
		require.Zero(t, c.Oldest(10, table.Generation()))
		require.Equal(t, table.Generation(), c.Oldest(60_001, table.Generation()))
	})
}

// TestReturned guards against new flows that end because one target is full, and against packets that a target returns
// without having been given them.
func TestReturned(t *testing.T) {
	table := tableOf(2)
	flow := ownedBy(t, table, member(1))
	x := contextAt(10, member(1), table)
	returned := func(c *Core, a Arrival) Step {
		step := c.FromPeer(x, a)
		require.Equal(t, ActionDeliver, step.Action)
		p := a.Packet
		p.Flags |= cherviltide.PacketReturned
		p.Token = step.Token
		return c.FromTarget(x, p)
	}
	t.Run("owner offers", func(t *testing.T) {
		c := newCore()
		step := returned(c, syn(flow, 0))
		require.Equal(t, ReasonOffered, step.Reason)
		require.True(t, step.Restore)
		require.Zero(t, c.load.active)
	})
	t.Run("offered agent declines", func(t *testing.T) {
		a := syn(flow, 0)
		a.Header.Flags = framer.FlagOffered
		step := returned(newCore(), a)
		require.Equal(t, framer.FlagDeclined, step.Header.Flags)
		require.Equal(t, a.Sender, step.To)
	})
	t.Run("nobody else", func(t *testing.T) {
		x := contextAt(10, member(1), tableOf(1))
		c := newCore()
		a := syn(ownedBy(t, tableOf(1), member(1)), 0)
		step := c.FromPeer(x, a)
		p := a.Packet
		p.Flags |= cherviltide.PacketReturned
		p.Token = step.Token
		require.Equal(t, ActionRefuse, c.FromTarget(x, p).Action)
	})
	t.Run("foreign token", func(t *testing.T) {
		c := newCore()
		p := syn(flow, 0).Packet
		p.Flags |= cherviltide.PacketReturned
		p.Token = 77
		require.Equal(t, ReasonForged, c.FromTarget(x, p).Reason)
	})
	t.Run("a flow that the target has lost", func(t *testing.T) {
		c, flow := opened(t, table)
		p := ack(flow, 501).Packet
		p.Flags |= cherviltide.PacketReturned
		require.Equal(t, ReasonGone, c.FromTarget(x, p).Reason)
		require.Empty(t, c.flows)
		require.Zero(t, c.load.active)
	})
}

// TestLoad guards against flows that count as work for ever, which makes agents send new flows away from free targets.
func TestLoad(t *testing.T) {
	table := tableOf(1)
	ends := map[string]func(c *Core, x Context, flow cherviltide.FlowKey){
		"the target finishes": func(c *Core, x Context, flow cherviltide.FlowKey) {
			c.FromTarget(x, answer(flow, cherviltide.Packet{Flags: cherviltide.PacketFinish | cherviltide.PacketAck}))
		},
		"the target resets": func(c *Core, x Context, flow cherviltide.FlowKey) {
			c.FromTarget(x, answer(flow, cherviltide.Packet{Flags: cherviltide.PacketReset}))
		},
		"the caller resets": func(c *Core, x Context, flow cherviltide.FlowKey) {
			c.FromPeer(x, arrival(flow, cherviltide.Packet{Flags: cherviltide.PacketReset}))
		},
		"both are silent": func(c *Core, x Context, _ cherviltide.FlowKey) {
			x.Now += defaultIdle + 1
			c.Expire(x)
		},
		"another target": func(c *Core, _ Context, _ cherviltide.FlowKey) { c.SetTarget(Target{Slots: 2, Accepts: true}, true) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			c, flow := opened(t, table)
			require.Equal(t, 1, c.load.active)
			end(c, contextAt(30, member(1), table), flow)
			require.Zero(t, c.load.active)
		})
	}
	t.Run("a flow that is kept open", func(t *testing.T) {
		c, flow := opened(t, table)
		x := contextAt(30, member(1), table)
		data := func(length int) {
			c.FromTarget(x, answer(flow, cherviltide.Packet{Flags: cherviltide.PacketAck, Length: length}))
		}
		data(1_200)
		require.Equal(t, 1, c.load.active, "the answer goes on")
		data(300)
		require.Zero(t, c.load.active, "a pause between two requests counts as work")
		c.FromPeer(x, ack(flow, 2_001))
		require.Zero(t, c.load.active, "a repeated packet counts as a request")
		next := ack(flow, 2_001)
		next.Packet.Sequence += uint32(next.Packet.Length)
		c.FromPeer(x, next)
		require.Equal(t, 1, c.load.active, "the next request does not count")
		data(1_200)
		x.Now += restLimit + 1
		c.Expire(x)
		require.Zero(t, c.load.active, "an answer of full packets counts for ever")
	})
	t.Run("the caller never asks", func(t *testing.T) {
		c, flow := newCore(), ownedBy(t, table, member(1))
		x := contextAt(10, member(1), table)
		c.FromPeer(x, syn(flow, 0))
		c.FromTarget(x, synAck(flow))
		x.Now += askLimit + 1
		c.Expire(x)
		require.Zero(t, c.load.active)
		require.Len(t, c.flows, 1, "a late acknowledgement must still find its target")
	})
	t.Run("ended flows are forgotten", func(t *testing.T) {
		c, flow := opened(t, table)
		x := contextAt(30, member(1), table)
		ends["the target resets"](c, x, flow)
		x.Now += linger + 1
		c.Expire(x)
		require.Empty(t, c.flows)
	})
}

// TestOldest guards against a release of history that still holds flows.
func TestOldest(t *testing.T) {
	c, flow := opened(t, tableOf(3))
	require.Equal(t, tableOf(3).Generation(), c.flows[flow].opened)
	require.Equal(t, tableOf(3).Generation(), c.Oldest(20, 900))
	c.FromPeer(contextAt(30, member(1), tableOf(3)), arrival(flow, cherviltide.Packet{Flags: cherviltide.PacketReset}))
	x := contextAt(30+linger+1, member(1), tableOf(3))
	c.Expire(x)
	require.EqualValues(t, 900, c.Oldest(x.Now, 900))
}

// BenchmarkHeld measures the decision about a packet of an open flow.
func BenchmarkHeld(b *testing.B) {
	table := tableOf(3)
	c, x := newCore(), contextAt(10, member(1), table)
	var flow cherviltide.FlowKey
	for port := 1024; ; port++ {
		if m, _ := table.Pick(key(port)); m.Name == member(1).Name {
			flow = key(port)
			break
		}
	}
	c.FromPeer(x, syn(flow, 0))
	c.FromTarget(x, synAck(flow))
	later := ack(flow, 501)
	b.ReportAllocs()
	for b.Loop() {
		if c.FromPeer(x, later).Action != ActionDeliver {
			b.Fatal("the flow is not held")
		}
	}
}

// TestHeldAllocatesNothing guards against a packet path that makes work for the collector.
func TestHeldAllocatesNothing(t *testing.T) {
	c, flow := opened(t, tableOf(3))
	x, later := contextAt(20, member(1), tableOf(3)), ack(flow, 501)
	require.Zero(t, testing.AllocsPerRun(100, func() { c.FromPeer(x, later) }))
}
