package relayer

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/picker"
)

// evacuated returns a table of the agents 1 and 3 in z1 and 2 and 4 in z2, in which the given domains are evacuated.
func evacuated(domains ...string) *picker.Table {
	t := tableOf(4)
	for i, domain := range domains {
		t = t.WithEvent(uint64(5+i), cherviltide.MemberEvent{Type: cherviltide.EventEvacuated, Member: cherviltide.Member{FailureDomain: domain}})
	}
	return t
}

// TestAgentInEvacuatedDomain guards against a new flow that reaches a target of an evacuated domain, against one that is
// refused although an agent elsewhere takes it, and against an open flow that ends because of the order.
func TestAgentInEvacuatedDomain(t *testing.T) {
	flow := ownedBy(t, evacuated(), member(1))
	opened := func(d *Decider, in *Input, _ *Arrival) {
		before := *in
		before.Table = evacuated()
		d.FromPeer(before, syn(flow, 0))
		d.FromTarget(before, synAck(flow))
		d.FromPeer(before, ack(flow, 501))
	}
	waits := func(d *Decider, in *Input, a *Arrival) {
		before := *in
		before.Table, d.load.active = evacuated(), 2
		first := syn(flow, 0)
		first.Header.Flags, first.Header.Position = framer.FlagDeclined, maxOffers-1
		require.Equal(t, ActionWait, d.FromPeer(before, first).Action)
		*a = Arrival{}
	}
	for name, test := range map[string]struct {
		table   *picker.Table
		prepare func(d *Decider, in *Input, a *Arrival)
		action  Action
		reason  Reason
		flags   framer.Flags
	}{
		"entry with an older table":    {evacuated("b"), nil, ActionForward, ReasonNotOwner, 0},
		"agent with an older table":    {evacuated("b"), func(_ *Decider, _ *Input, a *Arrival) { a.Header.Hops = 1 }, ActionForward, ReasonOffered, framer.FlagOffered},
		"offer":                        {evacuated("b"), func(_ *Decider, _ *Input, a *Arrival) { a.Header.Flags = framer.FlagOffered }, ActionForward, ReasonDeclined, framer.FlagDeclined},
		"nobody elsewhere takes it":    {evacuated("b"), lastDecline, ActionRefuse, ReasonEvacuated, 0},
		"only a last resort is left":   {evacuated("b"), func(d *Decider, in *Input, a *Arrival) { d.target.AcceptsNewFlows = false; lastDecline(d, in, a) }, ActionRefuse, ReasonEvacuated, 0},
		"all domains":                  {evacuated("a", "b", "c"), nil, ActionRefuse, ReasonEvacuated, 0},
		"waiting flow":                 {evacuated("b"), waits, ActionForward, ReasonOffered, framer.FlagOffered},
		"waiting flow, all domains":    {evacuated("a", "b", "c"), waits, ActionRefuse, ReasonEvacuated, 0},
		"packet of an open flow":       {evacuated("a", "b", "c"), func(d *Decider, in *Input, a *Arrival) { opened(d, in, a); *a = ack(flow, 501) }, ActionDeliver, ReasonHeld, 0},
		"another domain":               {evacuated("c"), nil, ActionDeliver, ReasonOpened, 0},
		"agent without the order yet":  {evacuated(), nil, ActionDeliver, ReasonOpened, 0},
		"withdrawn":                    {evacuated("b").WithEvent(9, cherviltide.MemberEvent{Type: cherviltide.EventRestored, Member: member(1)}), nil, ActionDeliver, ReasonOpened, 0},
		"started, and no table is yet": {picker.New(cherviltide.Service{Name: service}).WithEvacuated([]string{"b"}), nil, ActionRefuse, ReasonEvacuated, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d, in, a := newDecider(), inputAt(10, member(1), test.table), syn(flow, 0)
			in.Rules = rules{accepts: true, revision: 1, route: cherviltide.Route{Goal: 250, Deadline: 2_500}}
			if test.prepare != nil {
				test.prepare(d, &in, &a)
			}
			var decision Decision
			if a.Header == (framer.Header{}) {
				var ok bool
				_, decision, ok = d.NextWaiting(in)
				require.True(t, ok, "a flow goes on waiting")
			} else {
				decision = d.FromPeer(in, a)
			}
			require.Equal(t, test.action, decision.Action, decision.Reason.String())
			require.Equal(t, test.reason, decision.Reason, decision.Reason.String())
			require.Equal(t, test.flags, decision.Header.Flags)
			if decision.Action == ActionForward && decision.Reason != ReasonDeclined {
				require.Contains(t, []netip.AddrPort{member(2).Address, member(3).Address}, decision.To)
			}
		})
	}
}

// lastDecline makes an arrival the last offer, which was declined.
func lastDecline(_ *Decider, _ *Input, a *Arrival) {
	a.Header.Flags, a.Header.Position = framer.FlagDeclined, maxOffers-1
}

// TestOpenFlowsAreCounted guards against an operator who stops a domain in which flows are still open.
func TestOpenFlowsAreCounted(t *testing.T) {
	d, in := newDecider(), inputAt(10, member(1), tableOf(1))
	d.FromPeer(in, syn(key(3000), 0))
	require.Zero(t, d.OpenFlows(), "the target has not answered")
	d.FromTarget(in, synAck(key(3000)))
	d.FromPeer(in, ack(key(3000), 501))
	require.Equal(t, 1, d.OpenFlows())
	d.FromPeer(in, arrival(key(3000), cherviltide.Packet{Flags: cherviltide.PacketReset, Sequence: 111}))
	require.Zero(t, d.OpenFlows())
}
